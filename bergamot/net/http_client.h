#pragma once

// HTTP/1.1 client on one Boost.Asio loop, with the facts of single connections that at-most-once rules need: whether
// the request went out on a used connection, whether it was sent at all, whether the answer was complete. cpprestsdk's
// client repeats a request by itself and shows none of these.
//
//     HttpClient client(loop, {});
//     std::shared_ptr<ClientCall> call = client.start(request, {.onHead = ..., .onData = ..., .onEnd = ...});
//     call->cancel(); // closes the connection; no event follows

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <unordered_set>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bergamot/base/address.h"
#include "bergamot/base/clock.h"
#include "bergamot/net/message.h"

namespace bergamot::net
{

struct ClientRequest
{
    Address to;
    std::string method = "GET";
    std::string target;
    HeaderFields headers; // `Content-Length` is added
    std::string body;
    bool fresh = false; // open a connection for this request
    Duration connectTimeout = std::chrono::milliseconds(500);
    Duration headTimeout = std::chrono::seconds(2); // from the start to the response's head
    Duration gapTimeout = std::chrono::seconds(2); // between two pieces of the body
    std::string expectedEcho; // value that the response repeats in `echoHeader`; another one belongs to another request
    std::string echoHeader;
};

enum class CallFailure {
    None,
    NotConnected, // the request was not sent
    Lost, // the connection broke; the request may have arrived
    TimedOut,
    Malformed, // bytes that are no response, or the response to another request
};

/// How a call ended.
struct CallEnd
{
    CallFailure failure = CallFailure::None;
    bool reused = false; // the connection had carried another request before
    bool delimitedByClose = false; // no length: the body ended with the connection
    std::string detail;
};

struct CallEvents
{
    std::function<void(const ResponseHead &)> onHead;
    std::function<void(std::string_view)> onData;
    std::function<void(const CallEnd &)> onEnd; // the last event, exactly once unless cancelled
};

struct HttpClientOptions
{
    std::size_t mostIdlePerAddress = 64; // connections kept for reuse
    Duration idleLimit = std::chrono::seconds(9); // unless the peer names a shorter time; longer than the pause between
                                                  // two steps of a trainer
    Duration sweepPeriod = std::chrono::milliseconds(50); // granularity of the timeouts
};

/// One request on its way. Not thread-safe.
class ClientCall
{
public:
    virtual ~ClientCall() = default;
    /// Closes the connection, unless the call has ended; no event follows.
    virtual void cancel() = 0;
};

/// Not thread-safe: everything runs on the loop's thread. Events never come from within `start`.
class HttpClient
{
public:
    HttpClient(boost::asio::io_context &loop, HttpClientOptions options);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    std::shared_ptr<ClientCall> start(ClientRequest request, CallEvents events);
    /// Closes the connections to `address` that nobody uses.
    void dropIdle(const Address &address);
    std::size_t active() const;
    std::uint64_t connectionsOpened() const;

private:
    class Connection;
    class Call;

    std::shared_ptr<Connection> takeIdle(const Address &address);
    void keep(std::shared_ptr<Connection> connection);
    void forget(const Connection *connection);
    void scheduleSweep();
    void sweep();

    boost::asio::io_context &m_loop;
    HttpClientOptions m_options;
    std::map<Address, std::vector<std::shared_ptr<Connection>>> m_idle;
    std::unordered_set<std::shared_ptr<Call>> m_calls;
    boost::asio::steady_timer m_timer;
    bool m_sweeping = false;
    Duration m_sweepAfter{}; // of the sweep that is due
    std::uint64_t m_sweepTurn = 0;
    std::uint64_t m_opened = 0;
};

} // namespace bergamot::net
