#pragma once

// Constants shared by the files that implement `Dissemination`.

#include <cstdint>
#include <string_view>

#include "bergamot/base/clock.h"

namespace bergamot::internal
{

/// After this time without a digest to it, a peer is removed from the schedule.
inline constexpr Duration PeerLifetime = std::chrono::minutes(2);
/// Ticks are `epoch * TicksPerEpoch + counter`.
inline constexpr std::uint64_t TicksPerEpoch = std::uint64_t{1} << 32U;
/// Number of ticks for which removals of rows are kept for deltas.
inline constexpr std::uint64_t RemovalHistoryTicks = 1U << 16U;
/// Prefix of the peer name of a seed address, whose instance is not known yet.
inline constexpr std::string_view SeedPrefix = "seed/";

} // namespace bergamot::internal
