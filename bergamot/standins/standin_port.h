#pragma once

// One port of a stand-in: routes requests to handlers on the process's event loop, delivers answers with the faults
// that a core asked for, and can go down and come back as a crashing process does.
//
//     StandinPort port(context, "log", address);
//     port.add("POST", "/log/", "/append", [&](const StandinCall &call) { ... });
//     port.start();

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <cpprest/json.h>

#include "bergamot/base/event_loop.h"
#include "bergamot/base/json.h"
#include "bergamot/base/metrics.h"
#include "bergamot/standins/crashable_http_server.h"
#include "bergamot/standins/faults.h"
#include "bergamot/standins/internal/gate.h"
#include "bergamot/standins/run_counter.h"

namespace bergamot
{

/// What the servers of one stand-in process share; all of it outlives them. Servers are confined to `loop`.
struct StandinContext
{
    EventLoop &loop;
    const Clock &clock;
    Metrics &metrics;
    IoThreads &threads;
};

/// One request on the event loop.
struct StandinCall
{
    HttpRequest request;
    std::string name; // the part of the path that the route leaves open
    DroppableResponderPtr responder;
};

/// Thread-confined to the event loop, except `start`, `stop` and `address`. Every port answers GET /healthz, /readyz
/// and /metrics, unless a route is added for them; where added, GET /runs and POST /faults.
class StandinPort
{
public:
    using Handler = std::function<void(const StandinCall &call)>;

    /// `role` labels the metrics.
    StandinPort(const StandinContext &context, const std::string &role, Address address);
    ~StandinPort();
    StandinPort(const StandinPort &) = delete;
    StandinPort &operator=(const StandinPort &) = delete;

    /// Routes `method` on paths that start with `prefix` and end with `suffix`. Routes added first go first, and a
    /// route for the same paths replaces the earlier one; all are added before `start`.
    void add(std::string method, std::string prefix, std::string suffix, Handler handler);
    /// POST /faults {fault, call, count, duration_ms, text}.
    void addFaults(std::function<Result<void>(const FaultCommand &command)> apply);
    /// GET /runs: {"runs": {name: count}, "total", "leaving", "last_after_leaving_ms"}.
    void addRuns(const RunCounter &runs);

    Result<void> start();
    Address address() const;
    /// Closes the port and every connection; answers not yet sent are lost.
    void stop();
    /// As `stop`, until `comeBack` opens the port again.
    void goDown();
    Result<void> comeBack();

    /// Sends `response` after `delay`, in the way of `fate`.
    void deliver(const DroppableResponderPtr &responder, HttpResponse response, AnswerFate fate, Duration delay);
    /// Sends the outcome of a core; `write` turns its value into JSON.
    template<typename T, typename Write>
    void deliver(const DroppableResponderPtr &responder, const Answer<T> &answer, Write write)
    {
        deliver(responder,
                answer.result ? jsonResponse(write(*answer.result)) : errorResponse(answer.result.error()),
                answer.fate,
                answer.delay);
    }
    /// The same for calls without a value: an empty object.
    void deliver(const DroppableResponderPtr &responder, const Answer<void> &answer);
    /// Keeps an answer open for good, until the port goes down.
    void holdForGood(const DroppableResponderPtr &responder);

    static HttpResponse jsonResponse(const web::json::value &json);

private:
    struct Route
    {
        std::string method;
        std::string prefix;
        std::string suffix;
        Handler handler;
    };

    void addCommon(Metrics &metrics);
    void dispatch(const HttpRequest &request, const DroppableResponderPtr &responder);
    void send(const DroppableResponderPtr &responder, HttpResponse response, AnswerFate fate);

    EventLoop &m_loop;
    prometheus::Counter &m_requests;
    std::vector<Route> m_routes;
    std::vector<DroppableResponderPtr> m_held;
    std::shared_ptr<Gate> m_gate = std::make_shared<Gate>();
    CrashableHttpServer m_server;
};

/// Reads the body of `call` with `parse(json, "body")`; without a result, the error has been answered.
template<typename T>
std::optional<T> readBody(const StandinCall &call, Result<T> (*parse)(const web::json::value &, const std::string &))
{
    const Result<web::json::value> json = parseJson(call.request.body);
    Result<T> parsed = json ? parse(*json, "body") : Result<T>(tl::unexpected(json.error()));
    if (!parsed) {
        call.responder->reply(errorResponse(parsed.error()));
        return std::nullopt;
    }
    return std::move(*parsed);
}

} // namespace bergamot
