#pragma once

// The phases of a graceful shutdown. The process first reports not ready, so that the load balancer stops sending
// requests, and keeps serving until the balancer has noticed. Then it refuses new requests as not run, and it closes
// when the last request in flight is answered or `limit` has passed.
//
//     ShutdownSequence shutdown({.balancerGrace = 5s});
//     shutdown.begin(now);
//     if (shutdown.advance(now, inFlight) == ShutdownPhase::Closed) { ... }

#include "bergamot/base/clock.h"

namespace bergamot
{

enum class ShutdownPhase {
    Serving,
    Unready, // reports not ready, still accepts new requests
    Refusing, // refuses new requests, finishes those in flight
    Closed,
};

struct ShutdownOptions
{
    Duration balancerGrace = std::chrono::seconds(5); // time for the load balancer to notice the readiness change
    Duration limit = std::chrono::minutes(10); // after the grace period; then requests still in flight are cut off
};

/// Not thread-safe.
class ShutdownSequence
{
public:
    explicit ShutdownSequence(ShutdownOptions options);

    /// Starts the sequence; further calls have no effect.
    void begin(TimePoint now);
    /// Enters the next phase if it is due, by at most one phase, and returns the current phase.
    ShutdownPhase advance(TimePoint now, std::size_t inFlight);
    ShutdownPhase phase() const;

private:
    ShutdownOptions m_options;
    ShutdownPhase m_phase = ShutdownPhase::Serving;
    TimePoint m_startedAt{};
};

} // namespace bergamot
