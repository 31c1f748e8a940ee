#pragma once

// An HTTP server on cpprestsdk with the bounds that its listener lacks: size of the body, number of requests at
// once, and a drain that cuts off no answer.
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
#include "bergamot/http/message.h"

namespace bergamot
{

struct HttpServerOptions
{
    Address address;
    std::size_t maxBodyBytes = 16U << 20U;
    std::size_t maxRequestsAtOnce = 4096; // one more is answered 503 with Retry-After
};

/// Thread-safe. The handler runs on the library's threads and must not block.
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
    /// Waits until no request is in flight; false if `limit` passed first. New requests are still handled.
    bool drain(std::chrono::milliseconds limit);
    /// Closes the port and whatever is still open. Drain first.
    void stop();

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace bergamot
