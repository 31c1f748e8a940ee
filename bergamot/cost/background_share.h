#pragma once

// The share of an endpoint's slots that work may fill for which no caller waits.
//
//     const double share = backgroundShare(300ms);
//
// Load pattern: scoring calls of 200 ms come in waves at the same endpoints as lookups of 20 ms that are due in 150 ms.
// Half of the slots keep up with the calls at most times, and a lookup hardly ever waits. When endpoints are lost, half
// is too little: the calls pile up and the steps that need them become late, for which the trainers wait as well. Then
// they get more, up to all slots.

#include <algorithm>

#include "bergamot/base/clock.h"

namespace bergamot::cost
{

/// `backlog` is the time that the waiting work would take in half of the slots.
inline double backgroundShare(Duration backlog)
{
    constexpr double Least = 0.5;
    constexpr double Most = 1.0;
    constexpr Duration FullAt = std::chrono::milliseconds(250); // a step is due in seconds
    const double pressure = std::chrono::duration<double>(backlog) / std::chrono::duration<double>(FullAt);
    return Least + (Most - Least) * std::clamp(pressure, 0.0, 1.0);
}

} // namespace bergamot::cost
