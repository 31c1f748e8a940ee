#pragma once

// A limit on calls a second, with bursts of up to one second's worth.
//
//     RateLimit limit(400);
//     if (const std::optional<Duration> wait = limit.take(now)) { // refused; try again after *wait

#include <cstdint>
#include <optional>

#include "bergamot/base/clock.h"

namespace bergamot
{

/// A token bucket, counted in time: each call costs one second divided by the rate. Single-threaded.
class RateLimit
{
public:
    explicit RateLimit(std::uint32_t perSecond);

    /// Takes one call; if none is left, how long until there is.
    std::optional<Duration> take(TimePoint now);
    void setRate(std::uint32_t perSecond);

private:
    std::uint32_t m_perSecond;
    Duration m_budget;
    std::optional<TimePoint> m_refilled;
};

} // namespace bergamot
