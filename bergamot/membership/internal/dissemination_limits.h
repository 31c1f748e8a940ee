#pragma once

// Constants shared by the files that implement `Dissemination`.

#include <cstdint>
#include <string_view>

#include "bergamot/base/clock.h"

namespace bergamot::internal
{

inline constexpr Duration PeerLifetime = std::chrono::minutes(2);
inline constexpr std::uint64_t TicksPerEpoch = std::uint64_t{1} << 32U;
inline constexpr std::uint64_t RemovalsKept = 1U << 16U; // ticks
inline constexpr std::string_view SeedPrefix = "seed/";

} // namespace bergamot::internal
