#pragma once

// An HTTP server on cpprestsdk with the bounds that its listener lacks: size of the head and the body, number of
// requests and connections at once, silent connections, streams that their caller does not take, and a drain that cuts
// off no answer.
//
//     HttpServer server({.address = {"127.0.0.1", 8080}}, [](HttpRequest request, ResponderPtr responder) {
//         responder->reply({.body = "{}"});
//     });
//     Result<void> started = server.start();
//     server.drain(std::chrono::seconds(30)); // waits until every answer has gone out
//     server.stop();

#include <chrono>
#include <functional>
#include <memory>

#include "bergamot/base/address.h"
#include "bergamot/http/connection_rule.h"
#include "bergamot/http/message.h"

namespace bergamot
{

struct HttpServerOptions
{
    Address address;
    std::size_t maxHeadBytes = 64U << 10U; // request line and headers; more is answered 431
    std::size_t maxBodyBytes = 16U << 20U; // more is answered 413; far above it the caller is cut off
    std::size_t maxRequestsAtOnce = 4096; // one more is answered 503 with Retry-After
    // Bytes written to streams that their callers have not taken: of one, and of all together. A stream above the
    // bound is aborted. Above the second one, every stream with more than a sixteenth of its own bound is.
    std::size_t maxStreamBacklogBytes = 256U << 10U;
    std::size_t maxStreamBacklogBytesInAll = 64U << 20U;
    ConnectionLimits connections;
    HttpHeaders refusalHeaders; // on each answer that the server gives without its handler
};

/// Thread-safe. The handler runs on the library's threads, must not block and may not call `stop`.
class HttpServer
{
public:
    using Handler = std::function<void(HttpRequest request, ResponderPtr responder)>;

    HttpServer(HttpServerOptions options, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Opens the port. With port 0 a free one is chosen; `address` tells which.
    Result<void> start();
    Address address() const;
    std::size_t requestsInFlight() const;
    /// Accepted connections, at the last look.
    std::size_t openConnections() const;
    /// Bytes that are written to streams and not taken by their callers: now, and at most so far.
    std::size_t streamBacklogBytes() const;
    std::size_t mostStreamBacklogBytes() const;
    /// Waits until no request is in flight; false if `limit` passed first. New requests are still handled.
    bool drain(std::chrono::milliseconds limit);
    /// Closes the port and whatever is still open; the handler no longer runs once this returns. Drain first. While
    /// another server of this process is open, the library keeps the port: new requests there are refused with 503
    /// until the last one stops.
    void stop();

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace bergamot
