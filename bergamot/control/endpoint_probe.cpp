#include "bergamot/control/endpoint_probe.h"

namespace bergamot
{

namespace
{

Result<EngineState> toState(const CallOutcome &outcome)
{
    if (!outcome) {
        const bool isRefused = outcome.error().delivery == Delivery::NotSent;
        return failure(isRefused ? ErrorCode::Unavailable : ErrorCode::DeadlineExceeded, outcome.error().message);
    }
    EngineState state;
    state.leaving = headerOr(outcome->headers, "X-Leaving", "") == "true";
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
