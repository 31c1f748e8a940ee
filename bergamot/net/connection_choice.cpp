#include "bergamot/net/connection_choice.h"

#include <tuple>

namespace bergamot::net
{

namespace
{

constexpr Duration StallTime = std::chrono::seconds(1); // without progress, of a peer that takes its response

bool mayClose(const ConnectionState &connection, TimePoint now)
{
    const bool stalled = now - connection.progressAt > StallTime;
    return connection.use < ConnectionUse::Sending || (connection.use == ConnectionUse::Sending && stalled);
}

} // namespace

std::optional<std::size_t> connectionToClose(std::span<const ConnectionState> connections, TimePoint now)
{
    std::optional<std::size_t> chosen;
    for (std::size_t index = 0; index < connections.size(); ++index) {
        const ConnectionState &connection = connections[index];
        if (!mayClose(connection, now)) {
            continue;
        }
        const auto rank = [&connections](std::size_t position) {
            return std::tuple(connections[position].use, connections[position].progressAt);
        };
        if (!chosen || rank(index) < rank(*chosen)) {
            chosen = index;
        }
    }
    return chosen;
}

} // namespace bergamot::net
