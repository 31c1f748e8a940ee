#pragma once

// The time of day of a process whose clock may be set forward or back for a while.
//
//     TrueTime time;
//     time.sample(BootClock::now(), systemTime);      // about once a second
//     const WallTime at = time.at(BootClock::now());
//
// Failure that it answers: the time of day jumps by seconds and comes back later, so that counts land in other windows
// and a window ends twice. Times are read from the monotonic clock plus the median of the offsets of the last
// `MaxSamples` samples, which a jump moves only when it has lasted for half of them.

#include <algorithm>
#include <deque>

#include "bergamot/usage/usage_report.h"

namespace bergamot::usage
{

/// Not thread-safe.
class TrueTime
{
public:
    static constexpr std::size_t MaxSamples = 121; // at one a second, jumps of up to a minute do not count

    void sample(TimePoint now, WallTime systemTime)
    {
        m_offsets.push_back(systemTime.time_since_epoch() - now.time_since_epoch());
        if (m_offsets.size() > MaxSamples) {
            m_offsets.pop_front();
        }
        std::deque<Duration> sorted = m_offsets;
        const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>((sorted.size() - 1) / 2);
        std::nth_element(sorted.begin(), middle, sorted.end());
        m_offset = *middle;
    }
    /// At least one sample is needed.
    WallTime at(TimePoint time) const
    {
        return WallTime(time.time_since_epoch() + m_offset);
    }

private:
    std::deque<Duration> m_offsets;
    Duration m_offset{};
};

} // namespace bergamot::usage
