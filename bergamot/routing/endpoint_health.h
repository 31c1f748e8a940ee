#pragma once

// Whether an endpoint gets work: ejection after failures, probing back with one request at a time, and a slow start
// after that.
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
    Refused, // no connection: it is not there
    Lost, // the connection broke under a request
    Stalled, // no answer in time, on a fresh connection
    Faulty, // it answers with server errors
    Slow, // it answers, several times slower than its peers
};

struct EndpointHealthOptions
{
    std::uint32_t failuresInRow =
        3; // `Lost`, `Stalled` and `Faulty` before ejection; `Refused` and `Slow` eject at once
    Duration shortestEjection = std::chrono::seconds(1);
    Duration longestEjection = std::chrono::seconds(30);
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
    /// An attempt ended without a verdict, for example cancelled.
    void withdrawn();

    /// Whether it may take one request now: always if not ejected; one probe at a time after the ejection.
    bool admits(TimePoint now) const;
    bool ejected() const;
    bool probing() const;
    /// The share of its limit that it may use, in (0, 1]; rises during the slow start.
    double share(TimePoint now) const;

private:
    void eject(TimePoint now, std::mt19937_64 &random);

    EndpointHealthOptions m_options;
    std::uint32_t m_failures = 0; // in a row
    std::uint32_t m_ejections = 0; // in a row
    bool m_ejected = false;
    bool m_probeInFlight = false;
    TimePoint m_probeAt{};
    TimePoint m_returnedAt{};
};

} // namespace bergamot
