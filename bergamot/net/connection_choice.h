#pragma once

// Decides which connection a server closes to make room for a new one, when it has as many as it may have.
//
//     const std::optional<std::size_t> index = connectionToClose(states, now);

#include <optional>
#include <span>

#include "bergamot/base/clock.h"

namespace bergamot::net
{

/// What a connection is used for, in the order in which connections are closed.
enum class ConnectionUse {
    Lingering, // its response is sent; what still arrives is discarded
    Idle,
    Receiving,
    Sending,
    Handling,
};

struct ConnectionState
{
    ConnectionUse use = ConnectionUse::Idle;
    TimePoint progressAt{}; // when the peer last sent or took bytes, or connected
};

/// Index of the connection to close: of the first use in the order above, the one without progress for longest. A peer
/// that takes its response is closed only if it has stalled, and one whose request is handled never. None: the new
/// connection has to go.
std::optional<std::size_t> connectionToClose(std::span<const ConnectionState> connections, TimePoint now);

} // namespace bergamot::net
