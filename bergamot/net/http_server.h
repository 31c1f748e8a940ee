#pragma once

// HTTP/1.1 server on one Boost.Asio loop. Beyond requests and responses it tells when a caller goes while its response
// is pending, which cpprestsdk's listener does not.
//
//     HttpServer server(loop, address, limits, [](std::shared_ptr<Exchange> exchange) {
//         exchange->respond({.status = 200});
//     });
//     server.start();
//     server.drain(); // from now on every response closes its connection

#include <chrono>
#include <functional>
#include <memory>
#include <unordered_set>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bergamot/base/address.h"
#include "bergamot/base/clock.h"
#include "bergamot/base/error.h"
#include "bergamot/net/message.h"

namespace bergamot::net
{

/// What a caller may send and how long it may take.
struct ServerLimits
{
    std::uint32_t headerBytes = 16384;
    std::uint64_t bodyBytes = 32 * 1024 * 1024;
    Duration requestTimeout = std::chrono::seconds(3); // from a request's first byte to the end of its head
    Duration bodyGapTimeout = std::chrono::seconds(10); // between two pieces of a body
    Duration idleTimeout = std::chrono::seconds(15); // between two requests
    Duration writeTimeout = std::chrono::seconds(10); // for a caller that does not read its response

    bool operator==(const ServerLimits &) const = default;
};

/// One request and the response to it. Exactly one of `respond`, `finish` and `abort` ends it. Calls after the end,
/// or after the caller has gone, do nothing.
class Exchange
{
public:
    virtual ~Exchange() = default;

    virtual const Request &request() const = 0;
    /// The time at which the request had been read.
    virtual TimePoint receivedAt() const = 0;
    /// `handler` runs at most once, if the caller closes its connection before the end.
    virtual void onCallerGone(std::function<void()> handler) = 0;
    virtual void respond(Response response) = 0;
    /// Begins a response in pieces, sent in chunks.
    virtual void beginStream(const ResponseHead &head) = 0;
    virtual void write(std::string_view data) = 0;
    virtual void finish() = 0;
    /// Closes the connection, so that what was sent is seen as incomplete.
    virtual void abort() = 0;
    /// Bytes handed to `write` that the caller has not taken yet.
    virtual std::size_t backlog() const = 0;
};

/// Not thread-safe: everything runs on the loop's thread.
class HttpServer
{
public:
    using Handler = std::function<void(std::shared_ptr<Exchange>)>;

    HttpServer(boost::asio::io_context &loop, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Binds and listens. Port 0 takes a free one, which `port` then tells.
    Result<void> listen(const Address &address);
    std::uint16_t port() const;
    /// Holds for what is read from now on.
    void setLimits(const ServerLimits &limits);
    /// From now on each response closes its connection.
    void drain();
    /// Closes the connections that wait for a request.
    void closeIdle();
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

    Handler m_handler;
    ServerLimits m_limits;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_retryAccept;
    boost::asio::steady_timer m_timer;
    std::unordered_set<std::shared_ptr<Connection>> m_connections;
    std::size_t m_pending = 0;
    bool m_draining = false;
    bool m_sweeping = false;
};

} // namespace bergamot::net
