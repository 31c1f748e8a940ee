#pragma once

// HTTP/1.1 client on one Boost.Asio loop. It reports the state of the connection that at-most-once calls need: whether
// the request went out on a reused connection, whether it was sent at all, and whether the response was complete. The
// client of cpprestsdk retries requests by itself and reports none of these.
//
//     HttpClient client(loop, {});
//     std::shared_ptr<ClientCall> call = client.start(request, {.onHead = ..., .onData = ..., .onEnd = ...});
//     call->cancel(); // closes the connection; no event follows

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_set>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bergamot/base/address.h"
#include "bergamot/base/clock.h"
#include "bergamot/net/memory_account.h"
#include "bergamot/net/message.h"

namespace bergamot::net
{

struct ClientRequest
{
    Address to;
    std::string method = "GET";
    std::string target;
    HeaderFields headers; // the client adds `Content-Length`
    std::string body;
    std::shared_ptr<const std::string>
        sharedBody; // sent instead of `body`, for a body that several calls send; may be null
    bool newConnection = false; // open a new connection instead of reusing an idle one
    Duration connectTimeout = std::chrono::milliseconds(500);
    Duration headTimeout = std::chrono::seconds(2); // from the start of the call to the end of the response head
    Duration bodyGapTimeout =
        std::chrono::seconds(2); // between two pieces of the body, or two events of an event stream
    Duration answerTimeout = std::chrono::seconds(30); // from the start of the call to its end; not for streams
    std::optional<Duration> streamTimeout; // the same for a stream; none: only the gaps are bounded
    std::size_t maxHeadBytes =
        std::size_t{16} * 1024; // heads including interim (1xx) ones; also one chunk header or the trailers
    std::size_t maxBodyBytes = std::size_t{4} * 1024 * 1024; // not for streams
    std::size_t maxEventBytes = std::size_t{256} * 1024; // one event of a stream, which is not bounded in total
    /// Whether the caller uses an event stream with this head piece by piece. Only then is the response a stream, whose
    /// bounds are looser: a peer cannot choose them. None: it never is.
    std::function<bool(const ResponseHead &)> acceptsStream;
    // The request's id, which the response repeats in `echoHeader`. A connection carries an id once, so a second copy
    // of an earlier response is never taken for the response to this request. With an empty `echoHeader` nothing is
    // checked: use a new connection if the peer may send responses twice.
    std::string expectedEcho;
    std::string echoHeader;
};

enum class CallFailure {
    None,
    NotConnected, // the request was not sent
    Lost, // the connection was lost; the request may have reached the peer
    TimedOut,
    Malformed, // not an HTTP response, larger than its bounds, or the response to another request
};

/// The outcome of a call.
struct CallEnd
{
    CallFailure failure = CallFailure::None;
    bool reused = false; // the connection had carried an earlier request
    bool delimitedByClose = false; // the response had no length: its body ended with the connection
    bool refused = false; // nobody listens at the address
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
    std::size_t maxIdlePerAddress = 64; // upper bound of the idle connections kept for reuse
    std::size_t maxConnections = 4096; // idle and in use; with more, no connection is kept for reuse
    Duration idleLimit = std::chrono::seconds(9); // unless the peer's Keep-Alive is shorter; exceeds the pause between
                                                  // two steps of a trainer
    // Body bytes of all calls in progress whose responses are no streams. When they exceed it, the call with the most
    // bytes ends: callers may keep whole responses until their ends.
    std::size_t maxPendingBytes = std::size_t{32} * 1024 * 1024;
    MemoryAccount *account = nullptr; // in which these bytes are counted; outlives the client; null: in none
    std::size_t maxRequestsPerConnection = 128; // bounds the ids that are kept of a connection
    Duration sweepPeriod = std::chrono::milliseconds(50); // granularity of the timeouts
};

/// One request in flight. Not thread-safe.
class ClientCall
{
public:
    virtual ~ClientCall() = default;
    /// Closes the connection, unless the call has ended; no event follows.
    virtual void cancel() = 0;
    /// While paused, the response is not read and its gaps are not timed; the peer is held back by flow control.
    virtual void setPaused(bool paused) = 0;
};

/// Not thread-safe: all calls and events run on the loop's thread. `start` itself never invokes an event.
class HttpClient
{
public:
    HttpClient(boost::asio::io_context &loop, HttpClientOptions options);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends `request` on an idle connection or a new one. The client keeps the call alive until its last event.
    std::shared_ptr<ClientCall> start(ClientRequest request, CallEvents events);
    /// `handler` runs with each outcome of opening a connection, before the events of its call.
    void onConnect(std::function<void(const Address &address, bool established)> handler);
    /// Closes the idle connections to `address`.
    void dropIdle(const Address &address);
    /// Number of calls that have not ended.
    std::size_t activeCalls() const;
    std::uint64_t connectionsOpened() const;

private:
    class Connection;
    class Call;

    /// An idle connection that has not carried the id of the request; null if there is none.
    std::shared_ptr<Connection> takeIdle(const ClientRequest &request);
    void keepIdle(std::shared_ptr<Connection> connection);
    void removeIdle(const Connection *connection);
    void scheduleSweep();
    void sweep();

    /// Counts body bytes of calls whose responses are no streams. Ends calls while there are too many.
    void addPendingBytes(std::size_t bytes);
    void removePendingBytes(std::size_t bytes);
    void reportConnect(const Address &address, bool established);

    boost::asio::io_context &m_loop;
    HttpClientOptions m_options;
    std::function<void(const Address &, bool)> m_connectHandler;
    std::map<Address, std::vector<std::shared_ptr<Connection>>> m_idle;
    std::unordered_set<std::shared_ptr<Call>> m_calls;
    boost::asio::steady_timer m_sweepTimer;
    bool m_sweepScheduled = false;
    Duration m_sweepDelay{}; // delay of the scheduled sweep
    std::uint64_t m_sweepGeneration = 0; // increases with each scheduled sweep; older timer callbacks do nothing
    std::uint64_t m_connectionsOpened = 0;
    std::size_t m_pendingBytes = 0;
};

} // namespace bergamot::net
