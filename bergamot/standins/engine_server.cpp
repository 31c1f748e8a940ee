#include "bergamot/platform/platform_json.h"
#include "bergamot/standins/endpoint_servers.h"

namespace bergamot
{

namespace
{

Result<std::string> parseRequestId(const web::json::value &json, const std::string &path)
{
    FieldReader reader(json, path);
    std::string id = reader.requiredString("request_id");
    if (const Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    return id;
}

Result<bool> parseStreaming(const web::json::value &json, const std::string &path)
{
    FieldReader reader(json, path);
    const bool streaming = reader.optionalBool("stream", false);
    if (const Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    return streaming;
}

} // namespace

EngineServer::EngineServer(const StandinContext &context,
                           Address address,
                           EngineCoreOptions options,
                           WeightSource *weights)
    : m_context(context)
    , m_core(std::move(options), weights)
    , m_port(context, "engine", std::move(address))
    , m_pump(context.loop, m_port, [this] {
        pump();
    })
{
    addRoutes();
    m_port.addRuns(m_core.runs());
    m_port.addFaults([this](const FaultCommand &command) {
        return apply(command);
    });
}

void EngineServer::addRoutes()
{
    m_port.add("POST", "/generate", "", [this](const StandinCall &call) {
        generate(call);
    });
    m_port.add("POST", "/cancel", "", [this](const StandinCall &call) {
        cancel(call);
    });
    m_port.add("POST", "/order", "", [this](const StandinCall &call) {
        order(call);
    });
    m_port.add("POST", "/export", "", [this](const StandinCall &call) {
        exportCache(call);
    });
    m_port.add("GET", "/state", "", [this](const StandinCall &call) {
        const Answer<EngineState> answer = m_core.state(m_context.clock.now());
        m_port.deliver(call.responder, answer, [](const EngineState &state) {
            return toJson(state);
        });
        pump();
    });
}

void EngineServer::generate(const StandinCall &call)
{
    const std::optional<GenerateRequest> request = readBody<GenerateRequest>(call, parseGenerateRequest);
    const std::optional<bool> streaming = request ? readBody<bool>(call, parseStreaming) : std::nullopt;
    if (!streaming) {
        return;
    }
    const Answer<void> answer = m_core.submit(*request, m_context.clock.now());
    if (answer.result) {
        m_pending[request->requestId] = {request->requestId, call.responder, answer, *streaming, false};
    } else {
        m_port.deliver(call.responder, answer);
    }
    pump();
}

void EngineServer::cancel(const StandinCall &call)
{
    if (const std::optional<std::string> id = readBody<std::string>(call, parseRequestId)) {
        m_port.deliver(call.responder, m_core.cancel(*id, m_context.clock.now()));
        pump();
    }
}

void EngineServer::order(const StandinCall &call)
{
    if (const std::optional<EngineOrder> order = readBody<EngineOrder>(call, parseEngineOrder)) {
        m_port.deliver(call.responder, m_core.order(*order, m_context.clock.now()));
        pump();
    }
}

void EngineServer::exportCache(const StandinCall &call)
{
    if (const std::optional<std::string> id = readBody<std::string>(call, parseRequestId)) {
        const Answer<std::string> answer = m_core.exportCache(*id, m_context.clock.now());
        m_port.deliver(call.responder, answer, [](const std::string &handle) {
            web::json::value json = web::json::value::object();
            json["handle"] = web::json::value(handle);
            return json;
        });
        pump();
    }
}

Result<void> EngineServer::apply(const FaultCommand &command)
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

void EngineServer::pump()
{
    m_core.advance(m_context.clock.now());
    const std::vector<EngineEvent> events = m_core.takeEvents();
    // The port closes first, so that the answers that are lost in a crash break off.
    m_pump.changed(m_core.nextDue(), m_core.down());
    for (const EngineEvent &event : events) {
        handle(event);
    }
    for (const std::string &requestId : std::exchange(m_abandoned, {})) {
        m_core.cancel(requestId, m_context.clock.now());
    }
}

void EngineServer::handle(const EngineEvent &event)
{
    const auto found = m_pending.find(event.requestId);
    if (found == m_pending.end()) {
        return;
    }
    switch (event.kind) {
    case EngineEvent::Kind::Token:
        token(event, found->second);
        return;
    case EngineEvent::Kind::Finished:
        finish(event, found->second);
        break;
    case EngineEvent::Kind::Lost:
        m_port.deliver(found->second.responder, HttpResponse(), AnswerFate::Closed, Duration::zero());
        break;
    }
    m_pending.erase(found);
}

void EngineServer::token(const EngineEvent &event, Pending &pending)
{
    if (!pending.streaming) {
        return;
    }
    web::json::value line = web::json::value::object();
    line["text"] = web::json::value(event.text);
    line["version"] = web::json::value(event.version);
    writeLine(pending, line);
}

void EngineServer::writeLine(Pending &pending, const web::json::value &line)
{
    if (!pending.begun) {
        HttpResponse head;
        head.contentType = "application/x-ndjson";
        pending.responder->beginStream(std::move(head));
        pending.begun = true;
    }
    if (!pending.responder->write(line.serialize() + "\n")) {
        m_abandoned.push_back(pending.requestId);
    }
}

void EngineServer::finish(const EngineEvent &event, const Pending &pending)
{
    if (!pending.streaming) {
        m_port.deliver(pending.responder,
                       StandinPort::jsonResponse(toJson(event.generation)),
                       pending.answer.fate,
                       pending.answer.delay);
        return;
    }
    m_context.loop.postAfter(pending.answer.delay,
                             [this, pending = Pending(pending), generation = event.generation]() mutable {
                                 endStream(pending, generation);
                             });
}

void EngineServer::endStream(Pending &pending, const Generation &generation)
{
    if (pending.answer.fate == AnswerFate::Silent) {
        m_port.holdForGood(pending.responder);
        return;
    }
    if (pending.answer.fate != AnswerFate::Whole) {
        pending.responder->abortStream();
        return;
    }
    web::json::value line = web::json::value::object();
    line["finish"] = web::json::value(generation.finish);
    line["spans"] = toJson(generation.spans);
    writeLine(pending, line);
    pending.responder->endStream();
}

StandinPort &EngineServer::port()
{
    return m_port;
}

} // namespace bergamot
