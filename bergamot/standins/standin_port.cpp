#include "bergamot/standins/standin_port.h"

namespace bergamot
{

namespace
{

constexpr std::string_view MetricsContentType = "text/plain; version=0.0.4";

Result<FaultCommand> parseFaultCommand(const web::json::value &json, const std::string &path)
{
    FieldReader reader(json, path);
    FaultCommand command;
    command.fault = reader.requiredString("fault");
    command.call = reader.optionalString("call", "");
    command.count = reader.optionalUnsigned("count", 1);
    command.duration = std::chrono::milliseconds(reader.optionalUnsigned("duration_ms", 0));
    command.text = reader.optionalString("text", "");
    if (command.duration < std::chrono::milliseconds::zero() || command.duration > std::chrono::hours(24)) {
        reader.reject("duration_ms", "must be at most one day");
    }
    if (const Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    return command;
}

web::json::value runsToJson(const RunCounter &runs)
{
    web::json::value counts = web::json::value::object();
    for (const auto &[name, count] : runs.counts()) {
        counts[name] = web::json::value(count);
    }
    web::json::value json = web::json::value::object();
    json["runs"] = std::move(counts);
    json["total"] = web::json::value(runs.total());
    json["leaving"] = web::json::value(runs.leaving());
    if (const std::optional<Duration> last = runs.lastAfterLeaving()) {
        const auto rounded = std::chrono::duration_cast<std::chrono::milliseconds>(*last);
        json["last_after_leaving_ms"] = web::json::value(static_cast<std::uint64_t>(rounded.count()));
    }
    return json;
}

} // namespace

StandinPort::StandinPort(const StandinContext &context, const std::string &role, Address address)
    : m_loop(context.loop)
    , m_requests(context.metrics.counters("bergamot_standin_requests_total", "Requests that reached a stand-in.")
                     .Add({{"role", role}}))
    , m_server(context.threads, std::move(address), [this, gate = m_gate](HttpRequest request, auto responder) {
        const std::lock_guard lock(gate->mutex);
        if (!gate->open) {
            return;
        }
        m_loop.post([this, request = std::move(request), responder = std::move(responder)] {
            dispatch(request, responder);
        });
    })
{
    addCommon(context.metrics);
}

StandinPort::~StandinPort()
{
    stop();
}

void StandinPort::addCommon(Metrics &metrics)
{
    for (const char *path : {"/healthz", "/readyz"}) {
        add("GET", path, "", [](const StandinCall &call) {
            call.responder->reply(jsonResponse(web::json::value::object()));
        });
    }
    add("GET", "/metrics", "", [&metrics](const StandinCall &call) {
        HttpResponse response;
        response.body = metrics.exposition();
        response.contentType = std::string(MetricsContentType);
        call.responder->reply(std::move(response));
    });
}

void StandinPort::add(std::string method, std::string prefix, std::string suffix, Handler handler)
{
    std::erase_if(m_routes, [&](const Route &route) {
        return route.method == method && route.prefix == prefix && route.suffix == suffix;
    });
    m_routes.push_back({std::move(method), std::move(prefix), std::move(suffix), std::move(handler)});
}

void StandinPort::addFaults(std::function<Result<void>(const FaultCommand &command)> apply)
{
    add("POST", "/faults", "", [this, apply = std::move(apply)](const StandinCall &call) {
        if (const std::optional<FaultCommand> command = readBody<FaultCommand>(call, parseFaultCommand)) {
            deliver(call.responder, Answer<void>{apply(*command)});
        }
    });
}

void StandinPort::addRuns(const RunCounter &runs)
{
    add("GET", "/runs", "", [&runs](const StandinCall &call) {
        call.responder->reply(jsonResponse(runsToJson(runs)));
    });
}

void StandinPort::dispatch(const HttpRequest &request, const DroppableResponderPtr &responder)
{
    m_requests.Increment();
    const std::string_view path = request.path;
    for (const Route &route : m_routes) {
        const std::size_t fixed = route.prefix.size() + route.suffix.size();
        const bool open = path.size() > fixed && route.prefix.ends_with('/');
        const bool fits = path.size() == fixed || open;
        if (fits && request.method == route.method && path.starts_with(route.prefix) && path.ends_with(route.suffix)) {
            const std::string name(path.substr(route.prefix.size(), path.size() - fixed));
            route.handler({request, name, responder});
            return;
        }
    }
    responder->reply(errorResponse({ErrorCode::NotFound, "no such path here: " + request.method + " " + request.path}));
}

Result<void> StandinPort::start()
{
    return m_server.start();
}

Address StandinPort::address() const
{
    return m_server.address();
}

void StandinPort::stop()
{
    m_gate->close();
    m_server.stop();
}

void StandinPort::goDown()
{
    m_server.stop();
    m_held.clear();
}

Result<void> StandinPort::comeBack()
{
    return m_server.start();
}

void StandinPort::deliver(const DroppableResponderPtr &responder,
                          HttpResponse response,
                          AnswerFate fate,
                          Duration delay)
{
    if (delay == Duration::zero()) {
        send(responder, std::move(response), fate);
        return;
    }
    m_loop.postAfter(delay, [this, responder, response = std::move(response), fate] {
        send(responder, response, fate);
    });
}

void StandinPort::deliver(const DroppableResponderPtr &responder, const Answer<void> &answer)
{
    HttpResponse response =
        answer.result ? jsonResponse(web::json::value::object()) : errorResponse(answer.result.error());
    deliver(responder, std::move(response), answer.fate, answer.delay);
}

void StandinPort::send(const DroppableResponderPtr &responder, HttpResponse response, AnswerFate fate)
{
    if (fate == AnswerFate::Whole) {
        responder->reply(std::move(response));
        return;
    }
    if (fate == AnswerFate::Silent) {
        holdForGood(responder);
        return;
    }
    if (fate == AnswerFate::Closed) {
        responder->drop();
        return;
    }
    const std::string half = response.body.substr(0, response.body.size() / 2);
    responder->beginStream(std::move(response));
    responder->write(half);
    responder->abortStream();
}

void StandinPort::holdForGood(const DroppableResponderPtr &responder)
{
    m_held.push_back(responder);
}

HttpResponse StandinPort::jsonResponse(const web::json::value &json)
{
    HttpResponse response;
    response.body = json.serialize();
    return response;
}

} // namespace bergamot
