#pragma once

// Finds the connections that a server of this process has accepted and closes those that break its limits. cpprestsdk's
// listener neither bounds nor shows them, so they are found among the process's own descriptors. Each is duplicated
// before it is looked at: a descriptor that the library closes and that is then reused can never be mistaken for it.
// For bergamot/http only.
//
//     ConnectionWatch watch(address, limits);
//     std::size_t open = watch.closeByLimits(); // every second

#include <map>
#include <utility>

#include "bergamot/base/address.h"
#include "bergamot/http/connection_rule.h"

namespace bergamot::http_internal
{

/// Not thread-safe.
class ConnectionWatch
{
public:
    /// Watches the connections accepted on `local`.
    ConnectionWatch(Address local, ConnectionLimits limits);

    /// Looks at every connection once; how many there were.
    std::size_t closeByLimits();

private:
    struct Accepted;
    using Peer = std::pair<std::uint32_t, std::uint16_t>; // as in the socket's address

    /// What had been received from a peer when it was last sent something.
    struct Mark
    {
        std::uint64_t sent = 0;
        std::uint64_t received = 0;
    };

    std::vector<Accepted> acceptedConnections() const;
    std::uint64_t unansweredBytes(const Accepted &accepted);

    Address m_local;
    ConnectionLimits m_limits;
    std::map<Peer, Mark> m_marks; // of the last look
    std::map<Peer, Mark> m_nextMarks; // of the look under way
};

} // namespace bergamot::http_internal
