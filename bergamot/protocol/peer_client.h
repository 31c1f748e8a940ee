#pragma once

// Sends frames of the inner protocol and matches the replies. One connection to each peer; after a timeout the next
// request gets a fresh one, since a connection that has gone silent may never speak again.
//
//     PeerClient client({"i1", "east"});
//     inner::BodyUnion body;
//     body.Set(inner::DigestT {});
//     client.request(peer, std::move(body), 500ms, [](Result<inner::FrameT> reply) { ... });

#include <chrono>
#include <memory>

#include "bergamot/base/address.h"
#include "bergamot/protocol/frame.h"

namespace bergamot
{

/// Thread-safe. Callbacks run once, on the client's own thread, and must not block.
class PeerClient
{
public:
    explicit PeerClient(PeerIdentity identity, std::size_t maxFrameBytes = MaxFrameBytes);
    /// Pending callbacks get their error before this returns.
    ~PeerClient();
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;

    /// Errors: `Unavailable` if the request was never sent, `Unknown` if it was and no answer came, and what the
    /// peer's `Refusal` says (the peer did not act).
    void
    request(const Address &to, inner::BodyUnion body, std::chrono::milliseconds timeout, Callback<inner::FrameT> done);
    Traffic traffic() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace bergamot
