#pragma once

// How many requests this instance keeps on all endpoints of a target at once, where they report their load: the
// instances share the endpoints' slots, and each gives way in the same proportion when the slots are over-filled.
//
//     ReportLimit limit;
//     limit.dispatched(inFlight);
//     limit.reported(1.4, measuredAt); // the endpoints have 1.4 requests for each slot
//     limit.allowed();

#include <cstdint>

#include "bergamot/base/clock.h"

namespace bergamot
{

struct ReportLimitOptions
{
    double initial = 8;
    double least = 1;
    double most = 1e6;
    double target = 1.1; // requests for each slot that a cut aims at
    double fullAt = 1.25; // requests for each slot above which the limit is cut and below which it grows
    double growth = 0.3; // for each report, times the limit to the power of `growthPower`
    double growthPower = 0.5; // below 1, so that small limits catch up with large ones
    double rounding = 0; // in [0, 1), added before the limit is cut to a whole number; differs between instances, so
                         // that not all step over the same number at once
    double steepestCut = 0.7; // factor for one report
};

/// Not thread-safe.
class ReportLimit
{
public:
    explicit ReportLimit(ReportLimitOptions options = {});

    /// This instance has `inFlight` requests there now.
    void dispatched(std::uint32_t inFlight);
    /// The endpoints had `perSlot` requests for each slot at `measuredAt`. A report no newer than the last is ignored.
    void reported(double perSlot, TimePoint measuredAt);
    /// The endpoints report no load any more; there is no limit until they do.
    void silent();

    double allowed() const;

private:
    void grow();

    ReportLimitOptions m_options;
    double m_limit;
    bool m_reporting = false;
    bool m_everFull = false; // before that the limit grows faster
    std::uint32_t m_peak = 0; // since the last report
    TimePoint m_measuredAt{};
};

} // namespace bergamot
