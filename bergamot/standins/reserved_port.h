#pragma once

// A free TCP port of one IP number that stays ours while nothing listens on it, for tests and stand-ins whose endpoint
// is down for a while. A port that is merely closed can be taken by another process at once, which then answers in its
// place.
//
//     ReservedPort port("127.0.0.1");
//     connect(port.address()); // refused, for as long as `port` lives
//
// A server that comes and goes on the port sets `SO_REUSEPORT` on its listening socket, see `allowSharing`.

#include "bergamot/base/address.h"

namespace bergamot
{

/// Not copied or moved. Thread-safe, since nothing changes after construction.
class ReservedPort
{
public:
    /// Takes a free port of `ip`; see `held`.
    explicit ReservedPort(const std::string &ip);
    ~ReservedPort();
    ReservedPort(const ReservedPort &) = delete;
    ReservedPort &operator=(const ReservedPort &) = delete;

    /// False if there is no free port or `ip` is no IP number of this machine.
    bool held() const;
    const Address &address() const;

    /// Lets the socket `descriptor` of this process bind a reserved port. To be called before its `bind`.
    static void allowSharing(int descriptor);

private:
    Address m_address;
    int m_descriptor = -1;
    bool m_held = false;
};

} // namespace bergamot
