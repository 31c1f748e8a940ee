#pragma once

// How many requests an endpoint has now: those of this instance, which are known, and those of the others, by the
// endpoint's own report. The report lags; what it says of the others fades into their usual number as it grows older
// than a request lasts.
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

/// A report that was measured longer ago says nothing any more; this also bounds the memory of changes.
inline constexpr Duration OldestLoadReport = std::chrono::seconds(10);

/// Not thread-safe.
class LoadEstimate
{
public:
    void dispatched(TimePoint now);
    void finished(TimePoint now);
    /// The endpoint had `requests` running and waiting, from all instances, at `measuredAt`. Older reports than the
    /// newest one are ignored.
    void reported(std::uint32_t requests, TimePoint measuredAt);

    /// Requests on the endpoint, from all instances; never below `inFlight`. A request lasts about `duration`. A report
    /// older than ten seconds counts for nothing.
    double load(TimePoint now, Duration duration) const;
    /// How much of the newest report still holds, from 1 (new) to 0.
    double freshness(TimePoint now, Duration duration) const;
    /// Requests of this instance on the endpoint.
    std::uint32_t inFlight() const;

private:
    struct Change
    {
        TimePoint at;
        std::int32_t difference = 0;
    };

    void remember(TimePoint now, std::int32_t difference);
    void forgetChanges(TimePoint until);

    std::deque<Change> m_changes; // since the newest report, oldest first
    std::int64_t m_changedSinceReport = 0;
    double m_others = 0; // requests of other instances, by the newest report
    double m_usualOthers = 0;
    bool m_hasReport = false;
    std::uint32_t m_inFlight = 0;
    TimePoint m_measuredAt{};
};

} // namespace bergamot
