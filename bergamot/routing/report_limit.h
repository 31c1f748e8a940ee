#pragma once

// An adaptive limit of the requests that this instance has in flight at a group of endpoints that report their load.
// The instances share the endpoints' slots; when these are over-filled, each instance cuts its limit in proportion.
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
    double minLimit = 1;
    double maxLimit = 1e6;
    double target = 1.1; // requests per slot that a cut aims at
    double fullThreshold = 1.25; // requests per slot above which the limit is cut and up to which it grows
    double growth = 0.3; // the limit grows by this times the limit to the power of `growthPower` at each report
    double growthPower = 0.5; // below 1, so that small limits catch up with large ones
    double rounding = 0; // in [0, 1), added before the limit is rounded down; differs between instances, so that
                         // they don't all reach the next whole number at the same time
    double minCutFactor = 0.7; // minimum factor of a cut at one report
};

/// Not thread-safe.
class ReportLimit
{
public:
    explicit ReportLimit(ReportLimitOptions options = {});

    /// Records that this instance now has `inFlight` requests at the endpoints.
    void dispatched(std::uint32_t inFlight);
    /// Records that the endpoints had `requestsPerSlot` at `measuredAt`. A report no newer than the last is ignored.
    void reported(double requestsPerSlot, TimePoint measuredAt);
    /// The endpoints no longer report their load; there is no limit until they report again.
    void reportsStopped();

    double allowed() const;

private:
    void grow();

    ReportLimitOptions m_options;
    double m_limit;
    bool m_reporting = false;
    bool m_everFull = false; // the limit grows faster until the endpoints were full once
    std::uint32_t m_peak = 0; // maximum of requests in flight since the last report
    TimePoint m_measuredAt{};
};

} // namespace bergamot
