#pragma once

// Decides whether a request may be sent to an endpoint now, beyond the endpoint's load and health. Routing and dispatch
// ask it for each endpoint that they consider and tell it of each request that they send.
//
//     if (gate.admits(process, now)) { ... send ...; gate.dispatched(process, now); }

#include "bergamot/base/clock.h"
#include "bergamot/base/endpoint_process.h"

namespace bergamot::quota
{

/// Not thread-safe.
class DispatchGate
{
public:
    virtual ~DispatchGate() = default;

    /// Whether any process is limited. If not, all are admitted.
    virtual bool limitsAny() const = 0;
    /// Whether the process is limited.
    virtual bool limits(const EndpointProcess &process) const = 0;
    /// Whether one more request may be sent to the process.
    virtual bool admits(const EndpointProcess &process, TimePoint now) const = 0;
    /// A request is being sent to the process.
    virtual void dispatched(const EndpointProcess &process, TimePoint now) = 0;
};

} // namespace bergamot::quota
