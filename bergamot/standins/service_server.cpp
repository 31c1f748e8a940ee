#include "bergamot/platform/platform_json.h"
#include "bergamot/standins/endpoint_servers.h"

namespace bergamot
{

ServiceServer::ServiceServer(const StandinContext &context, Address address, ServiceCoreOptions options)
    : m_context(context)
    , m_core(options)
    , m_port(context, "service", std::move(address))
    , m_pump(context.loop, m_port, [this] {
        pump();
    })
{
    m_port.add("GET", "/healthz", "", [this](const StandinCall &call) {
        const Answer<ServiceState> answer{m_core.state(m_context.clock.now())};
        m_port.deliver(call.responder, answer, [](const ServiceState &state) {
            return toJson(state);
        });
        pump();
    });
    m_port.addRuns(m_core.runs());
    m_port.addFaults([this](const FaultCommand &command) {
        return apply(command);
    });
    for (const char *method : {"GET", "POST", "PUT", "DELETE"}) {
        m_port.add(method, "/", "", [this](const StandinCall &call) {
            submit(call);
        });
    }
}

void ServiceServer::submit(const StandinCall &call)
{
    const std::string id = std::to_string(++m_lastId);
    const Result<void> accepted =
        m_core.submit({id, call.request.method, call.request.path, call.request.body}, m_context.clock.now());
    if (accepted) {
        m_pending[id] = call.responder;
    } else {
        m_port.deliver(call.responder, Answer<void>{accepted});
    }
    pump();
}

Result<void> ServiceServer::apply(const FaultCommand &command)
{
    if (command.fault == CrashFault) {
        // The answer to the command goes out before the port closes.
        m_context.loop.postAfter(CrashDelay, [this, command] {
            static_cast<void>(m_core.apply(command, m_context.clock.now()));
            pump();
        });
        return {};
    }
    Result<void> applied = m_core.apply(command, m_context.clock.now());
    pump();
    return applied;
}

void ServiceServer::pump()
{
    m_core.advance(m_context.clock.now());
    const std::vector<ServiceEvent> events = m_core.takeEvents();
    // The port closes first, so that the answers that are lost in a crash break off.
    m_pump.changed(m_core.nextDue(), m_core.down());
    for (const ServiceEvent &event : events) {
        handle(event);
    }
}

void ServiceServer::handle(const ServiceEvent &event)
{
    const auto found = m_pending.find(event.id);
    if (found == m_pending.end()) {
        return;
    }
    HttpResponse response;
    response.status = event.status;
    response.body = event.body;
    if (m_core.tellsOfLeaving()) {
        response.headers["X-Leaving"] = "true";
    }
    m_port.deliver(found->second, std::move(response), event.lost ? AnswerFate::Closed : event.fate, event.delay);
    m_pending.erase(found);
}

StandinPort &ServiceServer::port()
{
    return m_port;
}

} // namespace bergamot
