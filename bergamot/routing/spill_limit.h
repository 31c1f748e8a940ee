#pragma once

// A limit of the requests that this instance has in flight at endpoints of other failure domains while its own domain
// serves: its share of the slots that those endpoints report as free. The reports are seconds old, so each one adjusts
// the limit by the remaining difference and at most doubles it. Switching spill on and off would oscillate.
//
//     SpillLimit limit;
//     limit.reported({.requestsPerSlot = 0.6, .slots = 48, .share = 0.1}, measuredAt);
//     limit.allowed();

#include <cstdint>

#include "bergamot/base/clock.h"

namespace bergamot
{

struct SpillReport
{
    double requestsPerSlot = 0; // requests per slot of the other domains' endpoints
    double slots = 0; // of the other domains' endpoints
    double share = 0; // this instance's share of the free slots
};

/// Not thread-safe.
class SpillLimit
{
public:
    /// Endpoints count as free below `fullThreshold` requests per slot.
    explicit SpillLimit(double fullThreshold);

    /// Records that this instance now has `inFlight` requests at endpoints of other domains.
    void dispatched(std::uint32_t inFlight);
    /// Applies a report. A report at most 500 ms newer than the last is treated as the same one and ignored.
    void reported(const SpillReport &report, TimePoint measuredAt);
    /// The endpoints no longer report their load, so none of their slots is known to be free: sets the limit to zero.
    void reportsStopped();

    std::uint32_t allowed() const;

private:
    double m_fullThreshold;
    double m_limit = 0;
    std::uint32_t m_peak = 0; // maximum of requests in flight since the last report
    TimePoint m_measuredAt{};
};

} // namespace bergamot
