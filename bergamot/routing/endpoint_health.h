#pragma once

// Tracks whether an endpoint may receive requests: it is ejected after failures, then probed with one request at a
// time, and after a successful probe its load rises gradually (slow start).
//
//     EndpointHealth health;
//     health.failed(EndpointFailure::Refused, now, random);
//     if (health.admits(now)) { health.dispatched(now); ... }

#include <cstdint>
#include <random>

#include "bergamot/base/clock.h"

namespace bergamot
{

enum class EndpointFailure {
    Refused, // the connection was refused
    Lost, // the connection broke during a request
    Stalled, // no answer before the timeout on a new connection
    Faulty, // the endpoint answers with server errors
    Slow, // the endpoint answers several times slower than its peers
};

struct EndpointHealthOptions
{
    std::uint32_t failuresToEject = 3; // consecutive `Lost`, `Stalled` or `Faulty` failures that eject the endpoint;
                                       // `Refused` and `Slow` eject it at once
    Duration minEjection = std::chrono::seconds(1);
    Duration maxEjection = std::chrono::seconds(30);
    Duration slowStart = std::chrono::seconds(10);
};

/// Not thread-safe.
class EndpointHealth
{
public:
    explicit EndpointHealth(EndpointHealthOptions options = {});

    void dispatched(TimePoint now);
    void succeeded(TimePoint now);
    void failed(EndpointFailure failure, TimePoint now, std::mt19937_64 &random);
    /// An attempt ended without showing whether the endpoint works, for example because it was cancelled.
    void endedInconclusively();

    /// Whether the endpoint may take one request now: always if it is not ejected, else one probe at a time once the
    /// ejection time has passed.
    bool admits(TimePoint now) const;
    bool ejected() const;
    bool probing() const;
    /// The share of its concurrency limit that the endpoint may use, in (0, 1]; rises to 1 during the slow start.
    double share(TimePoint now) const;

private:
    void eject(TimePoint now, std::mt19937_64 &random);

    EndpointHealthOptions m_options;
    std::uint32_t m_consecutiveFailures = 0;
    std::uint32_t m_consecutiveEjections = 0;
    bool m_ejected = false;
    bool m_probeInFlight = false;
    TimePoint m_probeAt{};
    TimePoint m_reinstatedAt{};
};

} // namespace bergamot
