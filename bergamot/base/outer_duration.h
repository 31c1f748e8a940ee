#pragma once

// Durations from numbers that other programs send. Out of range, a conversion to `Duration` is undefined.
//
//     route.timeout = durationOf(std::chrono::duration<double, std::milli>(number));

#include <algorithm>
#include <cmath>

#include "bergamot/base/clock.h"

namespace bergamot
{

/// Upper bound of such a duration; points in time that are so far away are representable.
constexpr Duration MaxOuterDuration = std::chrono::hours(24 * 365);

/// Returns `duration`, limited to the range from zero to `MaxOuterDuration`; zero if it is not a number.
template<typename Rep, typename Period>
Duration durationOf(std::chrono::duration<Rep, Period> duration)
{
    using Wide = std::chrono::duration<double, Period>;
    const Wide wide(static_cast<double>(duration.count()));
    if (std::isnan(wide.count())) {
        return Duration::zero();
    }
    return std::chrono::duration_cast<Duration>(std::clamp<Wide>(wide, Wide::zero(), MaxOuterDuration));
}

} // namespace bergamot
