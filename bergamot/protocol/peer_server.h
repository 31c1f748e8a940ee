#pragma once

// Takes frames of the inner protocol over TCP and answers them. Bounds on connections, frame size and frames in flight
// keep a broken peer from exhausting the process; a malformed frame closes its connection only.
//
//     PeerServer server({.address = {"127.0.0.1", 0}, .identity = {"i1", "east"}},
//                       [](inner::FrameT request, PeerServer::Reply reply) { reply(answer(request)); });
//     Result<void> started = server.start();

#include <functional>
#include <memory>

#include "bergamot/base/address.h"
#include "bergamot/protocol/frame.h"

namespace bergamot
{

struct PeerServerOptions
{
    Address address;
    PeerIdentity identity;
    std::size_t maxConnections = 1024; // one more closes the connection that has been idle the longest
    std::size_t maxFramesInFlight = 4096; // one more is refused as overloaded
    std::size_t maxFrameBytes = MaxFrameBytes;
    std::size_t maxQueuedBytes = 4 * MaxFrameBytes; // unread replies on one connection; more closes it
};

/// Thread-safe. The handler runs on the server's own thread and must not block.
class PeerServer
{
public:
    /// Answers one request, from any thread; only the first call counts. A request whose `Reply` is dropped
    /// gets no answer.
    using Reply = std::function<void(inner::BodyUnion body)>;
    /// Gets requests whose protocol version fits and whose body is known.
    using Handler = std::function<void(inner::FrameT request, Reply reply)>;

    PeerServer(PeerServerOptions options, Handler handler);
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    /// Opens the port. With port 0 a free one is chosen; `address` tells which.
    Result<void> start();
    Address address() const;
    Traffic traffic() const;
    /// Closes the port and every connection, and joins the thread.
    void stop();

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace bergamot
