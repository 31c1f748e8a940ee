#pragma once

// Estimates the number of requests at an endpoint: those of this instance, which are counted, plus those of other
// instances, which follow from the endpoint's load report. The report lags: as it grows older than the duration of a
// request, the estimate moves from the reported number to the smoothed average of the other instances' requests.
//
//     LoadEstimate load;
//     load.reported(12, now - std::chrono::seconds(1));
//     load.dispatched(now);
//     load.load(now, std::chrono::seconds(5)); // 13

#include <cstdint>
#include <deque>

#include "bergamot/base/clock.h"

namespace bergamot
{

/// The maximum age of a load report; older ones are ignored. Also bounds the history of this instance's changes.
inline constexpr Duration MaxReportAge = std::chrono::seconds(10);

/// Not thread-safe.
class LoadEstimate
{
public:
    void dispatched(TimePoint now);
    void finished(TimePoint now);
    /// Records that the endpoint had `requests` running and waiting, from all instances, at `measuredAt`. A report that
    /// is not newer than the last one is ignored.
    void reported(std::uint32_t requests, TimePoint measuredAt);

    /// The estimated number of requests at the endpoint from all instances; never below `inFlight`. `duration` is the
    /// mean duration of a request. A report older than ten seconds is ignored.
    double load(TimePoint now, Duration duration) const;
    /// The weight of the newest report, from 1 (new) towards 0 as it ages relative to `duration`.
    double freshness(TimePoint now, Duration duration) const;
    /// Requests of this instance at the endpoint.
    std::uint32_t inFlight() const;

private:
    struct Change
    {
        TimePoint at;
        std::int32_t difference = 0;
    };

    void recordChange(TimePoint now, std::int32_t difference);
    void dropChanges(TimePoint until);

    std::deque<Change> m_changes; // since the newest report, oldest first
    std::int64_t m_changedSinceReport = 0;
    double m_others = 0; // requests of other instances, from the newest report
    double m_smoothedOthers = 0;
    bool m_hasReport = false;
    std::uint32_t m_inFlight = 0;
    TimePoint m_measuredAt{};
};

} // namespace bergamot
