#pragma once

// The order of a graceful shutdown: unready first, so that the balancer sends nothing more; serve on until it has seen
// that; then refuse what still comes as not run; close when the last request has its answer.
//
//     ShutdownSequence shutdown({.balancerGrace = 5s});
//     shutdown.begin(now);
//     if (shutdown.advance(now, inFlight) == ShutdownPhase::Closed) { ... }

#include "bergamot/base/clock.h"

namespace bergamot
{

enum class ShutdownPhase {
    Serving,
    Unready, // still takes new requests
    Refusing, // finishes those in flight
    Closed,
};

struct ShutdownOptions
{
    Duration balancerGrace = std::chrono::seconds(5);
    Duration limit = std::chrono::minutes(10); // after the grace; then what is still in flight is cut off
};

/// Not thread-safe.
class ShutdownSequence
{
public:
    explicit ShutdownSequence(ShutdownOptions options);

    /// Starts the sequence; a second call changes nothing.
    void begin(TimePoint now);
    ShutdownPhase advance(TimePoint now, std::size_t inFlight);
    ShutdownPhase phase() const;

private:
    ShutdownOptions m_options;
    ShutdownPhase m_phase = ShutdownPhase::Serving;
    TimePoint m_begunAt{};
};

} // namespace bergamot
