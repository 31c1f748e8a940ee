#pragma once

// Asks one endpoint for its state: an engine by its own report, a plain service by GET /healthz. Any answer of a
// service shows that it lives; its body may report the load, and its header X-Leaving says whether it is leaving.
//
//     EndpointProbe probe(engines, http);
//     probe.ask(poll, 1s, [](Result<EngineState> state) { ... });

#include "bergamot/http/client.h"
#include "bergamot/membership/endpoint_poller.h"

namespace bergamot
{

/// Thread-safe; `done` runs on the threads of the clients, which outlive this.
class EndpointProbe
{
public:
    EndpointProbe(EngineClient &engines, HttpClient &http);

    void ask(const EndpointPoll &poll, std::chrono::milliseconds timeout, Callback<EngineState> done);

private:
    EngineClient &m_engines;
    HttpClient &m_http;
};

} // namespace bergamot
