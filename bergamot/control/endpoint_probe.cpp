#include "bergamot/control/endpoint_probe.h"

#include "bergamot/base/json.h"
#include "bergamot/platform/platform_json.h"

namespace bergamot
{

namespace
{

constexpr int HttpOk = 200;

/// What a service says of itself; an answer without a report, or with one that cannot be read, says nothing.
ServiceState reportedState(const HttpResponse &response)
{
    const Result<web::json::value> json = parseJson(response.body);
    if (response.status != HttpOk || !json || !json->is_object()) {
        return {};
    }
    return parseServiceState(*json, "answer").value_or(ServiceState());
}

Result<EngineState> toState(const CallOutcome &outcome)
{
    if (!outcome) {
        const bool isRefused = outcome.error().delivery == Delivery::NotSent;
        return failure(isRefused ? ErrorCode::Unavailable : ErrorCode::DeadlineExceeded, outcome.error().message);
    }
    const ServiceState reported = reportedState(*outcome);
    EngineState state;
    state.running = reported.running;
    state.waiting = reported.waiting;
    state.slots = reported.slots;
    state.loadAge = reported.loadAge;
    state.leaving = reported.leaving || headerOr(outcome->headers, "X-Leaving", "") == "true";
    return state;
}

} // namespace

EndpointProbe::EndpointProbe(EngineClient &engines, HttpClient &http)
    : m_engines(engines)
    , m_http(http)
{ }

void EndpointProbe::ask(const EndpointPoll &poll, std::chrono::milliseconds timeout, Callback<EngineState> done)
{
    if (poll.kind == inner::EndpointKind::Engine) {
        m_engines.state(poll.address, timeout, std::move(done));
        return;
    }
    HttpRequest request;
    request.path = "/healthz";
    m_http.call(poll.address, std::move(request), {.timeout = timeout}, [done = std::move(done)](CallOutcome outcome) {
        done(toState(outcome));
    });
}

} // namespace bergamot
