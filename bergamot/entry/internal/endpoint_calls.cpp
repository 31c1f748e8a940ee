#include "bergamot/entry/internal/endpoint_calls.h"

namespace bergamot::entry_internal
{

namespace
{

constexpr std::chrono::milliseconds CancelTimeout{1000};

std::chrono::milliseconds atLeastOneMillisecond(Duration duration)
{
    return std::max(std::chrono::ceil<std::chrono::milliseconds>(duration), std::chrono::milliseconds(1));
}

HttpRequest requestFor(const DispatchAction &action, const CallerCall &call, const std::string &engineRequestId)
{
    HttpRequest request = call.toEndpoint;
    request.headers["X-Deadline-Ms"] = std::to_string(atLeastOneMillisecond(action.deadlineLeft).count());
    if (call.generation) {
        web::json::value body = *call.generation;
        body["request_id"] = web::json::value(engineRequestId);
        request.body = body.serialize();
    }
    return request;
}

} // namespace

EndpointCalls::EndpointCalls(std::string idPrefix, Events events)
    : m_idPrefix(std::move(idPrefix))
    , m_events(std::move(events))
{ }

void EndpointCalls::dispatch(const DispatchAction &action,
                             const CallerCall &call,
                             const std::shared_ptr<SharedCallerStream> &callerStream)
{
    const AttemptId id = action.attempt;
    Attempt &attempt = m_attempts[id];
    attempt.address = action.address;
    attempt.engineRequestId = call.generation ? m_idPrefix + std::to_string(id) : std::string();
    const CallOptions options{.timeout = atLeastOneMillisecond(action.timeout),
                              .repeatable = action.connection == Connection::Pooled};
    HttpRequest request = requestFor(action, call, attempt.engineRequestId);
    const auto done = [id, report = m_events.done](CallOutcome outcome) {
        report(id, std::move(outcome));
    };
    if (!call.facts.streaming) {
        attempt.pending = m_client.call(action.address, std::move(request), options, done);
        return;
    }
    attempt.relay = std::make_shared<StreamRelay>(
        id,
        callerStream,
        StreamRelay::Events{.started =
                                [id, report = m_events.started] {
                                    report(id);
                                },
                            .callerLost =
                                [request = action.request, report = m_events.callerLost](CallerLoss loss) {
                                    report(request, loss);
                                }});
    HttpClient::StreamSink sink{
        .head =
            [relay = attempt.relay](const HttpResponse &head) {
                relay->onHead(head);
            },
        .chunk =
            [relay = attempt.relay](std::string_view bytes) {
                return relay->onChunk(bytes);
            },
    };
    attempt.pending = m_client.callStreaming(action.address, std::move(request), options, std::move(sink), done);
}

void EndpointCalls::cancel(AttemptId attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end()) {
        return;
    }
    const Attempt ended = std::move(found->second);
    m_attempts.erase(found);
    ended.pending->cancel();
    if (ended.engineRequestId.empty()) {
        return;
    }
    web::json::value body = web::json::value::object();
    body["request_id"] = web::json::value(ended.engineRequestId);
    HttpRequest request{.method = "POST", .path = "/cancel", .query = {}, .headers = {}, .body = body.serialize()};
    m_client.call(ended.address, std::move(request), {.timeout = CancelTimeout}, [](const CallOutcome &) {});
}

void EndpointCalls::dropConnections(const Address &address)
{
    m_client.dropConnections(address);
}

void EndpointCalls::storeAnswer(AttemptId attempt, HttpResponse answer)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end()) {
        return;
    }
    if (found->second.relay) {
        answer.body = found->second.relay->takeBody();
    }
    found->second.answer = std::move(answer);
}

const HttpResponse *EndpointCalls::peekAnswer(AttemptId attempt) const
{
    const auto found = m_attempts.find(attempt);
    return found == m_attempts.end() ? nullptr : &found->second.answer;
}

HttpResponse EndpointCalls::takeAnswer(AttemptId attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end()) {
        return {};
    }
    HttpResponse answer = std::move(found->second.answer);
    m_attempts.erase(found);
    return answer;
}

bool EndpointCalls::wasStreamed(AttemptId attempt) const
{
    const auto found = m_attempts.find(attempt);
    return found != m_attempts.end() && found->second.relay && found->second.relay->streaming();
}

void EndpointCalls::discard(AttemptId attempt)
{
    m_attempts.erase(attempt);
}

} // namespace bergamot::entry_internal
