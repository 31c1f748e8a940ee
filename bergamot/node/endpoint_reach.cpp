#include "bergamot/node/endpoint_reach.h"

#include <boost/asio/ip/tcp.hpp>

namespace bergamot::node
{

namespace
{

using boost::asio::ip::tcp;

constexpr Duration ProbeTimeout = std::chrono::milliseconds(300); // hundreds of times the round trip within a region
constexpr Duration QuestionTimeout = std::chrono::milliseconds(750); // covers the pause between two rounds of probes

} // namespace

/// A connection that is closed as soon as it is established.
struct EndpointReach::Probe
{
    tcp::socket socket;
    Address address;
    TimePoint startedAt{};
    bool ended = false;
};

EndpointReach::EndpointReach(boost::asio::io_context &loop, net::HttpClient &client, EventLog &log, std::uint64_t seed)
    : m_loop(loop)
    , m_log(log)
    , m_monitor({}, seed)
{
    client.onConnect([this](const Address &address, bool established) {
        observe(address, established);
    });
}

EndpointReach::~EndpointReach()
{
    for (const std::shared_ptr<Probe> &probe : m_probes) {
        probe->ended = true;
    }
}

void EndpointReach::setEndpoints(const std::set<Address> &endpoints)
{
    m_monitor.setEndpoints(endpoints);
}

bool EndpointReach::cutOff() const
{
    return m_monitor.cutOff();
}

bool EndpointReach::suspects() const
{
    return m_monitor.suspects();
}

bool EndpointReach::reachesSince(TimePoint since)
{
    if (m_monitor.cutOff()) {
        return false;
    }
    const bool reached = m_monitor.reachedSince(since);
    if (!reached) {
        m_monitor.requestProbe();
    }
    return reached;
}

void EndpointReach::probeUnlessReached(TimePoint now, Duration within)
{
    if (!m_monitor.reachedSince(now - within)) {
        m_monitor.requestProbe();
    }
}

void EndpointReach::find(std::function<void(bool)> done)
{
    const TimePoint now = BootClock::now();
    m_questions.push_back({now, std::move(done)});
    m_monitor.requestProbe();
    tick(now);
}

void EndpointReach::onChange(std::function<void()> handler)
{
    m_changeHandler = std::move(handler);
}

void EndpointReach::tick(TimePoint now)
{
    for (const Address &address : m_monitor.takeProbes(now)) {
        startProbe(address);
    }
    for (const std::shared_ptr<Probe> &probe : std::vector(m_probes)) {
        if (!probe->ended && now - probe->startedAt > ProbeTimeout) {
            probe->ended = true;
            boost::system::error_code ignored; // a failure to close cannot be handled
            probe->socket.close(ignored);
            observe(probe->address, false);
        }
    }
    std::erase_if(m_probes, [](const std::shared_ptr<Probe> &probe) {
        return probe->ended;
    });
    for (Question &question : std::exchange(m_questions, {})) {
        const bool reached = m_monitor.connectedSince(question.askedAt);
        if (reached || now - question.askedAt >= QuestionTimeout) {
            question.done(reached);
        } else {
            m_questions.push_back(std::move(question));
        }
    }
}

void EndpointReach::observe(const Address &address, bool established)
{
    if (established) {
        m_monitor.connected(address, BootClock::now());
    } else {
        m_monitor.failed(address);
    }
    if (std::exchange(m_wasCutOff, m_monitor.cutOff()) == m_monitor.cutOff()) {
        return;
    }
    m_log.write(EventKind::State,
                m_monitor.cutOff() ? "endpoints-lost" : "endpoints-returned",
                {{"last", toString(address)}, {"established", established ? "yes" : "no"}});
    if (m_changeHandler) {
        m_changeHandler();
    }
}

void EndpointReach::startProbe(const Address &address)
{
    boost::system::error_code error;
    const boost::asio::ip::address ip = boost::asio::ip::make_address(address.ip, error);
    const auto probe = std::make_shared<Probe>(
        Probe{.socket = tcp::socket(m_loop), .address = address, .startedAt = BootClock::now()});
    m_probes.push_back(probe);
    probe->socket.async_connect(tcp::endpoint(ip, address.port),
                                [this, probe](const boost::system::error_code &failed) {
                                    if (probe->ended) {
                                        return;
                                    }
                                    probe->ended = true;
                                    boost::system::error_code ignored; // a failure to close cannot be handled
                                    probe->socket.close(ignored);
                                    observe(probe->address, !failed);
                                });
}

} // namespace bergamot::node
