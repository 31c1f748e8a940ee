#pragma once

// HTTP/1.1 server on one Boost.Asio loop. Unlike the listener of cpprestsdk, it also reports a caller that disconnects
// while its response is pending.
//
//     HttpServer server(loop, [](std::shared_ptr<Exchange> exchange) {
//         exchange->respond({.status = 200});
//     });
//     server.setLimits(limits);
//     server.listen(address);
//     server.drain(); // from now on every response closes its connection

#include <chrono>
#include <functional>
#include <limits>
#include <memory>
#include <unordered_set>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bergamot/base/address.h"
#include "bergamot/base/clock.h"
#include "bergamot/base/error.h"
#include "bergamot/net/memory_account.h"
#include "bergamot/net/message.h"

namespace bergamot::net
{

/// Limits on the size and timing of requests and responses.
struct ServerLimits
{
    std::uint32_t headerBytes = 16384;
    std::uint64_t bodyBytes = 32 * 1024 * 1024;
    Duration requestTimeout = std::chrono::seconds(3); // from a request's first byte to the end of its head
    Duration bodyGapTimeout = std::chrono::seconds(10); // between two pieces of a body
    Duration idleTimeout = std::chrono::seconds(15); // while a connection waits for a request
    Duration writeTimeout = std::chrono::seconds(10); // for one write, if the caller does not read its response
    // After a response that was sent before the request had ended, while the rest is discarded so that the caller can
    // read the response.
    Duration lingerTimeout = std::chrono::seconds(2);
    std::size_t maxConnections = std::numeric_limits<std::size_t>::max(); // those that are open at once

    bool operator==(const ServerLimits &) const = default;
};

/// Why a server has closed a connection or refused a request on its own.
enum class ReleaseReason {
    RefusedForMemory, // the request was refused, as the process holds too many bytes
    ClosedForMemory, // the connection was closed for the same reason
    ClosedForConnections, // to make room for a new connection
    RejectedConnection, // a new connection, as there was no room
    Oversized, // the head, the framing or the body exceeds its limit
};

struct Release
{
    ReleaseReason reason = ReleaseReason::RefusedForMemory;
    std::size_t bytes = 0; // that the connection held
    Duration sinceProgress{}; // since the caller last sent or took bytes
};

/// One request and the response to it. Exactly one of `respond`, `finish` and `abort` ends it. Do not use the exchange
/// after its end: the object also serves the connection's next request. Calls after the caller has disconnected have no
/// effect.
class Exchange
{
public:
    virtual ~Exchange() = default;

    virtual const Request &request() const = 0;
    /// Moves the body out of the request. Its bytes count as held until the exchange ends.
    virtual std::string takeBody() = 0;
    /// Whether the process may hold `bytes` more for this request.
    virtual bool mayHold(std::size_t bytes) const = 0;
    /// Replaces what counts as held for the request beside its head, until the exchange ends.
    virtual void hold(std::size_t bytes) = 0;
    /// IP address of the caller; empty if it is not known.
    virtual std::string callerIp() const = 0;
    /// The time at which the request had been read completely.
    virtual TimePoint receivedAt() const = 0;
    /// Sets the handler for a caller that disconnects before the exchange ends. It runs at most once.
    virtual void onCallerDisconnected(std::function<void()> handler) = 0;
    /// Sends a complete response.
    virtual void respond(Response response) = 0;
    /// Starts a response that `write` continues and `finish` completes, with chunked transfer encoding.
    virtual void beginStream(const ResponseHead &head) = 0;
    virtual void write(std::string_view data) = 0;
    virtual void finish() = 0;
    /// Closes the connection, so that the caller sees the response as incomplete.
    virtual void abort() = 0;
    /// Bytes of the response that are queued and not being sent yet.
    virtual std::size_t queuedBytes() const = 0;
};

/// Not thread-safe: all calls and handlers run on the loop's thread.
class HttpServer
{
public:
    using Handler = std::function<void(std::shared_ptr<Exchange>)>;

    /// Counts what it holds in `account`, which several servers may share and which outlives them; null: in one of its
    /// own without a bound.
    HttpServer(boost::asio::io_context &loop, Handler handler, MemoryAccount *account = nullptr);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Binds and listens. With port 0 the system chooses a free port, which `port` returns.
    Result<void> listen(const Address &address);
    std::uint16_t port() const;
    /// Applies to requests that are read from now on.
    void setLimits(const ServerLimits &limits);
    /// The response to a request that is refused because the process holds too many bytes. The request was not passed
    /// to the handler.
    void setOverloadResponse(Response response);
    void onRelease(std::function<void(const Release &)> handler);
    /// From now on each response closes its connection.
    void drain();
    /// Closes the connections that are waiting for a request.
    void closeIdle();
    /// Drains, and sends the response to every request that has none yet; later responses of their exchanges have no
    /// effect. A stream that has begun is aborted.
    void answerPending(const Response &response);
    /// Stops listening.
    void stopListening();
    std::size_t connections() const;
    /// Requests that have no complete response yet.
    std::size_t pending() const;

private:
    class Connection;

    void accept();
    void scheduleSweep();
    void sweep();
    /// Closes a connection if there are as many as there may be. Returns whether there is room for one more.
    bool makeRoom();
    /// Lets holders give way while the account is overdrawn. They may belong to any server of the account.
    void relieve();
    /// The same in a later turn of the loop, for callers that must not lose an exchange meanwhile.
    void scheduleRelief();

    boost::asio::io_context &m_loop;
    Handler m_handler;
    MemoryAccount m_ownAccount;
    MemoryAccount *m_account;
    Response m_overloadResponse{.status = 503};
    std::function<void(const Release &)> m_releaseHandler;
    std::shared_ptr<int> m_alive = std::make_shared<int>(); // expires with the server
    bool m_reliefScheduled = false;
    ServerLimits m_limits;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_acceptRetryTimer;
    boost::asio::steady_timer m_sweepTimer;
    std::unordered_set<std::shared_ptr<Connection>> m_connections;
    std::size_t m_pending = 0;
    bool m_draining = false;
    bool m_sweepScheduled = false;
};

} // namespace bergamot::net
