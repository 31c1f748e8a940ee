#pragma once

// Model engines and endpoints of plain services as HTTP servers on the stand-ins' cores, working in real time.
//
//     EngineServer engine(context, address, options, &store.source());
//     engine.port().start();

#include <map>
#include <memory>
#include <string>

#include "bergamot/standins/engine_core.h"
#include "bergamot/standins/platform_servers.h"
#include "bergamot/standins/service_core.h"

namespace bergamot
{

inline constexpr std::string_view CrashFault = "crash";
inline constexpr std::chrono::milliseconds CrashDelay{20}; // after the command

/// Runs a core in real time: calls `pump` when the core has something due, and closes its port while it is down.
class CorePump
{
public:
    /// `pump` advances the core and hands out its events.
    CorePump(EventLoop &loop, StandinPort &port, std::function<void()> pump);

    /// To be called after each change of the core.
    void changed(std::optional<TimePoint> nextDue, bool down);

private:
    EventLoop &m_loop;
    StandinPort &m_port;
    std::function<void()> m_pump;
    std::optional<TimePoint> m_scheduled;
    bool m_closed = false;
};

/// POST /generate, /cancel, /order, /export, GET /state, /runs, POST /faults. A streamed generation is a line of JSON
/// for each token, {text, version}, then {finish, spans}; if its caller goes, it is cancelled.
class EngineServer
{
public:
    EngineServer(const StandinContext &context, Address address, EngineCoreOptions options, WeightSource *weights);
    StandinPort &port();

private:
    struct Pending
    {
        std::string requestId;
        DroppableResponderPtr responder;
        Answer<void> answer; // how the end travels
        bool streaming = false;
        bool begun = false;
    };

    void addRoutes();
    void generate(const StandinCall &call);
    void cancel(const StandinCall &call);
    void order(const StandinCall &call);
    void exportCache(const StandinCall &call);
    Result<void> apply(const FaultCommand &command);
    void pump();
    void handle(const EngineEvent &event);
    void token(const EngineEvent &event, Pending &pending);
    void finish(const EngineEvent &event, const Pending &pending);
    void endStream(Pending &pending, const Generation &generation);
    void writeLine(Pending &pending, const web::json::value &line);

    StandinContext m_context;
    EngineCore m_core;
    StandinPort m_port;
    CorePump m_pump;
    std::map<std::string, Pending> m_pending; // by request id
    std::vector<std::string> m_abandoned; // whose callers have gone
};

/// Every path that the service knows, GET /healthz with its load, GET /runs, POST /faults.
class ServiceServer
{
public:
    ServiceServer(const StandinContext &context, Address address, ServiceCoreOptions options);
    StandinPort &port();

private:
    void submit(const StandinCall &call);
    Result<void> apply(const FaultCommand &command);
    void pump();
    void handle(const ServiceEvent &event);

    StandinContext m_context;
    ServiceCore m_core;
    StandinPort m_port;
    CorePump m_pump;
    std::map<std::string, DroppableResponderPtr> m_pending; // by id
    std::uint64_t m_lastId = 0;
};

} // namespace bergamot
