#include "bergamot/standins/standin.h"

#include "bergamot/base/invariant.h"
#include "bergamot/platform/platform_json.h"

namespace bergamot
{

namespace
{

constexpr std::size_t IoThreadCount = 2;
constexpr std::chrono::milliseconds RegisterTimeout{1000};
constexpr std::chrono::milliseconds RegisterRetry{500};

template<typename Server>
Address addressOf(const std::unique_ptr<Server> &server)
{
    checkInvariant(server != nullptr, "Only the address of a role that is played is asked for.");
    return server->port().address();
}

template<typename Server>
void addPorts(std::vector<StandinPort *> &ports, const std::vector<std::unique_ptr<Server>> &servers)
{
    for (const std::unique_ptr<Server> &server : servers) {
        ports.push_back(&server->port());
    }
}

} // namespace

Standin::Standin(StandinOptions options)
    : m_options(std::move(options))
    , m_threads(IoThreadCount)
    , m_context{m_loop, m_clock, m_metrics, m_threads}
{
    if (m_options.log) {
        m_log = std::make_unique<LogServer>(m_context, *m_options.log, m_options.logOptions);
    }
    if (m_options.list) {
        m_list = std::make_unique<ListServer>(m_context, *m_options.list, m_options.listLag);
    }
    if (m_options.weightStore) {
        m_weightStore =
            std::make_unique<WeightStoreServer>(m_context, *m_options.weightStore, m_options.weightStoreOptions);
    }
    if (m_options.scoring) {
        m_scoring = std::make_unique<ScoringServer>(m_context, *m_options.scoring, m_options.scoringTime);
    }
    WeightSource *weights = m_weightStore ? &m_weightStore->source() : nullptr;
    for (const EndpointPlace &place : m_options.engines) {
        EngineCoreOptions engine = m_options.engineOptions;
        engine.name = place.name;
        m_engines.push_back(std::make_unique<EngineServer>(m_context, place.address, engine, weights));
    }
    for (const EndpointPlace &place : m_options.services) {
        m_services.push_back(std::make_unique<ServiceServer>(m_context, place.address, m_options.serviceOptions));
    }
}

Standin::~Standin()
{
    stop();
}

Result<void> Standin::start()
{
    for (StandinPort *port : ports()) {
        if (Result<void> started = port->start(); !started) {
            stop();
            return started;
        }
    }
    m_loop.post([this] {
        for (const ListedMember &member : members()) {
            registerMember(member);
        }
    });
    return {};
}

void Standin::stop()
{
    m_gate->close();
    for (StandinPort *port : ports()) {
        port->stop();
    }
    m_loop.stop();
}

std::vector<StandinPort *> Standin::ports() const
{
    std::vector<StandinPort *> ports;
    if (m_log) {
        ports.push_back(&m_log->port());
    }
    if (m_list) {
        ports.push_back(&m_list->port());
    }
    if (m_weightStore) {
        ports.push_back(&m_weightStore->port());
    }
    if (m_scoring) {
        ports.push_back(&m_scoring->port());
    }
    addPorts(ports, m_engines);
    addPorts(ports, m_services);
    return ports;
}

std::vector<ListedMember> Standin::members() const
{
    std::vector<ListedMember> members;
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        const EndpointPlace &place = m_options.engines[i];
        const std::string &model = m_options.engineOptions.model.value();
        members.push_back({ListedKind::Engine, place.name, place.domain, engineAddress(i), ListedState::Live, model});
    }
    for (std::size_t i = 0; i < m_services.size(); ++i) {
        const EndpointPlace &place = m_options.services[i];
        members.push_back(
            {ListedKind::Endpoint, place.name, place.domain, serviceAddress(i), ListedState::Live, m_options.service});
    }
    return members;
}

void Standin::registerMember(const ListedMember &member)
{
    if (!m_list && !m_options.registerAt) {
        return;
    }
    const Address list = m_list ? m_list->port().address() : *m_options.registerAt;
    HttpRequest request;
    request.method = "POST";
    request.path = "/instances/register";
    web::json::value body = web::json::value::object();
    body["member"] = toJson(member);
    request.body = body.serialize();
    m_client.call(list, request, {.timeout = RegisterTimeout}, [this, gate = m_gate, member](CallOutcome outcome) {
        const std::lock_guard lock(gate->mutex);
        if (!gate->open || (outcome && outcome->status == 200)) {
            return;
        }
        m_loop.postAfter(RegisterRetry, [this, member] {
            registerMember(member);
        });
    });
}

Address Standin::logAddress() const
{
    return addressOf(m_log);
}

Address Standin::listAddress() const
{
    return addressOf(m_list);
}

Address Standin::weightStoreAddress() const
{
    return addressOf(m_weightStore);
}

Address Standin::scoringAddress() const
{
    return addressOf(m_scoring);
}

Address Standin::engineAddress(std::size_t index) const
{
    return addressOf(m_engines.at(index));
}

Address Standin::serviceAddress(std::size_t index) const
{
    return addressOf(m_services.at(index));
}

} // namespace bergamot
