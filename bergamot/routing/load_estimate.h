#pragma once

// How many requests an endpoint has now: its own report, which is old, corrected by what this instance has sent and
// finished since the report was made.
//
//     LoadEstimate load;
//     load.reported(12, now - std::chrono::seconds(1));
//     load.dispatched(now);
//     load.load(now); // 13

#include <cstdint>
#include <deque>

#include "bergamot/base/clock.h"

namespace bergamot
{

/// Not thread-safe.
class LoadEstimate
{
public:
    void dispatched(TimePoint now);
    void finished(TimePoint now);
    /// The endpoint had `requests` running and waiting, from all instances, at `measuredAt`. Older reports than the
    /// newest one are ignored.
    void reported(std::uint32_t requests, TimePoint measuredAt);

    /// Requests on the endpoint, from all instances; never below `inFlight`. A report older than ten seconds counts
    /// for nothing.
    std::uint32_t load(TimePoint now) const;
    /// Requests of this instance on the endpoint.
    std::uint32_t inFlight() const;

private:
    struct Change
    {
        TimePoint at;
        std::int32_t difference = 0;
    };

    void remember(TimePoint now, std::int32_t difference);

    std::deque<Change> m_changes; // since the newest report, oldest first
    std::int64_t m_changedSinceReport = 0;
    std::uint32_t m_reported = 0;
    std::uint32_t m_inFlight = 0;
    TimePoint m_measuredAt{};
};

} // namespace bergamot
