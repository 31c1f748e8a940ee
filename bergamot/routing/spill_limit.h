#pragma once

// How many requests this instance keeps on the endpoints of other failure domains while its own domain serves: its
// share of the places that their reports show to be free. The reports are seconds old, so each one moves the number by
// what it lacks, and at most doubles it, instead of opening and closing the way.
//
//     SpillLimit limit;
//     limit.reported({.perSlot = 0.6, .slots = 48, .share = 0.1}, measuredAt);
//     limit.allowed();

#include <cstdint>

#include "bergamot/base/clock.h"

namespace bergamot
{

struct SpillReport
{
    double perSlot = 0; // requests for each slot of the other domains' endpoints
    double slots = 0;
    double share = 0; // of what is free that falls to this instance
};

/// Not thread-safe.
class SpillLimit
{
public:
    /// Endpoints are free up to `fullAt` requests for each slot.
    explicit SpillLimit(double fullAt);

    /// This instance has `inFlight` requests there now.
    void dispatched(std::uint32_t inFlight);
    /// A report that is hardly newer than the last is the same one and is ignored.
    void reported(const SpillReport &report, TimePoint measuredAt);
    /// The endpoints report no load any more: nothing shows that they have room.
    void silent();

    std::uint32_t allowed() const;

private:
    double m_fullAt;
    double m_limit = 0;
    std::uint32_t m_peak = 0; // since the last report
    TimePoint m_measuredAt{};
};

} // namespace bergamot
