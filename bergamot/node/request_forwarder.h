#pragma once

// Forwards requests to the endpoints of a service. This is the I/O layer around the decisions of `Router`.
//
//     RequestForwarder forwarder(loop, client, headers, log, options, seed);
//     forwarder.updateEndpoints(table);
//     forwarder.forward(request, sink);
//
// It forwards callers' requests as well as the scoring calls of the engine pool.

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bergamot/base/event_log.h"
#include "bergamot/cost/learned_work.h"
#include "bergamot/fleet/configuration.h"
#include "bergamot/net/http_client.h"
#include "bergamot/node/platform_codec.h"
#include "bergamot/relay/request_basis.h"
#include "bergamot/routing/router.h"

namespace bergamot::node
{

/// Receives the response to a forwarded request: either `answer`, or `refuse`, or `beginStream` followed by `write`s
/// and one of `finishStream` and `abortStream`.
class ForwardSink
{
public:
    virtual ~ForwardSink() = default;
    virtual void answer(net::Response response) = 0;
    virtual void refuse(const RefuseAction &refusal) = 0;
    virtual void beginStream(const net::ResponseHead &head) = 0;
    virtual void write(std::string_view data) = 0;
    virtual void finishStream() = 0;
    virtual void abortStream() = 0;
    /// Bytes of a stream that the receiver has not taken yet.
    virtual std::size_t queuedBytes() const = 0;
};

struct ForwardRequest
{
    std::string id; // for logs
    std::string tenant; // to which it belongs; empty: to none
    std::string streamName; // under which a caller may take up its stream; empty: `id`
    net::Request request;
    // The body of `request`, which all attempts share; null: it is in `request`.
    std::shared_ptr<const std::string> body;
    fleet::Route route;
    std::string service; // chosen among the services of the route
    TimePoint receivedAt{};
    std::string softwareVersion; // of the endpoints that may resume the stream; empty: it is not resumed
    Duration callerTimeout{}; // time from `receivedAt` for which the caller waits
    bool owed = false; // sent again until it is answered; never held or refused because endpoints crashed under it
    bool relayed = false; // for an instance that is cut off from the endpoints
    relay::RequestBasis basis; // for an instance that is asked to send it
};

/// A request that ends without an answer of an endpoint.
struct UnservedRequest
{
    RequestId id = 0;
    const ForwardRequest &request;
    const RefuseAction &refusal;
    std::uint32_t attemptsLeft = 0; // further endpoints that it may be sent to
    const std::shared_ptr<ForwardSink> &sink;
};

/// An endpoint began to answer with a stream that its caller may resume.
struct StreamBeginning
{
    std::string name; // under which its caller may take it up
    fleet::Route route;
    std::string service;
    std::string softwareVersion; // of the endpoint; empty: not known
    EndpointProcess process;
};

/// Repeats failed attempts as the router decides. Not thread-safe.
class RequestForwarder
{
public:
    RequestForwarder(boost::asio::io_context &loop,
                     net::HttpClient &client,
                     const HeaderNames &headers,
                     EventLog &log,
                     RouterOptions options,
                     std::uint64_t seed);
    ~RequestForwarder();

    /// `handler` runs when an answer says that its endpoint is leaving. It has to take the endpoint out by
    /// `updateEndpoints` before it returns.
    void onLeaving(std::function<void(const std::string &endpoint, std::uint64_t incarnation)> handler);
    /// `handler` receives the head of each answer of an endpoint.
    void onAnswerHead(std::function<void(const EndpointProcess &process, const net::ResponseHead &head)> handler);
    /// `handler` runs once for each request that an endpoint began to run, as far as is known; `begunAt` is when it was
    /// sent there.
    void onBegan(std::function<void(const ForwardRequest &request, TimePoint begunAt)> handler);
    /// `handler` runs before the first event of a stream is passed on.
    void onStreamBegan(std::function<void(const StreamBeginning &)> handler);
    /// `handler` requests tokens for requests to limited endpoints, and calls `done` later.
    using TokensGranted = std::function<void(const std::array<quota::ReturnTimes, quota::TokenUses> &returns)>;
    void onTokensNeeded(std::function<void(const TokenRequest &request, TokensGranted done)> handler);
    /// `handler` may take over a request that would be refused; then it returns true and uses the sink from now on.
    void onUnserved(std::function<bool(const UnservedRequest &)> handler);
    /// `handler` runs when the caller of a request that was taken over has left.
    void onTakenOverCallerLeft(std::function<void(RequestId)> handler);
    /// From now on the work of requests is learned, and they go where they are expected to be complete first.
    void setPlacesByCompletion(bool places);
    /// An endpoint has reported its load in an answer.
    void recordLoad(const std::string &endpoint, const cost::LoadReport &report);
    /// Requests that no caller waits for (`ForwardRequest::owed`) that may be in flight at the endpoints of the
    /// service, while `waiting` requests of the route wait.
    std::size_t roomForOwed(const std::string &service, const std::string &route, std::size_t waiting);
    /// What this instance itself knows of the endpoints of which it has heard lately.
    std::vector<cost::SharedOutlook> outlooks(TimePoint now) const;
    /// The owner of the pool has told what it knows of endpoints.
    void applyOutlooks(const std::vector<cost::SharedOutlook> &outlooks);
    const cost::LearnedWork &learnedWork() const
    {
        return m_work;
    }
    /// While this instance is cut off from the endpoints, requests are not sent to any.
    void setCutOff(bool cutOff);
    /// `handler` finds out whether it is `process` that has begun to answer at the address, and calls `done`. The
    /// events of a stream that is taken up wait for that.
    using ProcessProven = std::function<void(bool proven)>;
    void onProcessDoubted(
        std::function<void(const EndpointProcess &process, const Address &address, ProcessProven done)> handler);
    /// `age` returns an upper bound of the age of what `updateEndpoints` was told; for logs.
    void setEndpointsAge(std::function<Duration(TimePoint now)> age);
    /// Replaces the endpoints that requests may go to.
    void updateEndpoints(const RoutingTable &table);
    /// Records that the store has a heartbeat of the endpoint that was written after `aliveAt`.
    void recordHeartbeat(const std::string &endpoint, std::uint64_t incarnation, TimePoint aliveAt);
    /// Applies what instances have reported about requests that crash endpoints.
    void applyCrashReport(const CrashReport &report);
    /// What this instance has learned about such requests, to be reported to all instances. Call it often.
    std::vector<CrashReport> takeCrashReports();
    /// Forwards a request; `sink` receives the response, never from within this call.
    RequestId forward(ForwardRequest request, std::shared_ptr<ForwardSink> sink);
    /// Cancels a request; its sink is not called any more. No effect if the request has ended.
    void callerDisconnected(RequestId id);
    /// Ends every request now: one that was not sent is refused as not run, any other as one that may have run. Later
    /// requests are refused as not run.
    void stop();
    /// Requests without a complete response.
    std::size_t pending() const;

private:
    /// The newest attempt of a request, for logs.
    struct LastAttempt
    {
        std::string endpoint; // empty: there was none
        Duration startedAfter{}; // from the receipt of the request
        Duration endpointsAge{}; // of what was known of the endpoints then
    };

    struct Pending
    {
        ForwardRequest request;
        std::shared_ptr<ForwardSink> sink;
        std::uint64_t fingerprint = 0; // the same for the same request at every instance
        std::uint32_t attempts = 0;
        LastAttempt last;
        bool began = false; // an endpoint began to run it
        cost::RequestKind kind;
    };

    struct Attempt
    {
        RequestId request = 0;
        TimePoint startedAt{};
        std::string endpoint;
        std::uint64_t incarnation = 0; // of the endpoint
        std::string softwareVersion; // of the endpoint
        Address address;
        std::shared_ptr<net::ClientCall> call;
        net::Response response;
        bool acceptsStream = false; // an event stream is passed on to the caller as it arrives
        bool streaming = false;
        bool unproven = false; // another process of the endpoint may answer; its stream waits
        std::optional<net::CallEnd> heldEnd; // the call ended while its process was not proven
        bool paused = false; // the receiver of the stream is behind
        std::optional<cost::LoadReport> load; // that the endpoint reported in its answer
    };

    TrafficClass classOf(const ForwardRequest &request) const;
    /// Whether the endpoint says that it did not run the request.
    bool saysNotRun(const net::ResponseHead &head) const;
    void performActions();
    void requestTokens();
    void startAttempt(const DispatchAction &action);
    void handleAttemptHead(AttemptId id, const net::ResponseHead &head);
    void handleAttemptData(AttemptId id, std::string_view data);
    void handleAttemptEnd(AttemptId id, const net::CallEnd &end);
    /// Begins the caller's stream with what an attempt has sent so far.
    void passStreamOn(AttemptId id);
    void handleProof(AttemptId id, bool proven);
    void recordBegan(const Attempt &attempt);
    /// Learns from an attempt that has its whole answer.
    void learnWork(const Attempt &attempt, TimePoint now);
    /// Holds back the streams whose receivers are behind.
    void adjustFlow(Attempt &attempt, const ForwardSink &sink);
    static void setPaused(Attempt &attempt, bool paused);
    void scheduleTick();
    bool takeOver(RequestId id, const Pending &pending, const RefuseAction &refusal);
    void finishRequest(RequestId id, int status, std::string_view reason);

    boost::asio::io_context &m_loop;
    net::HttpClient &m_client;
    const HeaderNames &m_headers;
    EventLog &m_log;
    Router m_router;
    cost::LearnedWork m_work;
    bool m_placesByCompletion = false;
    boost::asio::steady_timer m_timer;
    std::function<void(const std::string &, std::uint64_t)> m_leavingHandler;
    std::function<void(const EndpointProcess &, const net::ResponseHead &)> m_answerHeadHandler;
    std::function<void(const TokenRequest &, TokensGranted)> m_tokensHandler;
    std::function<void(const ForwardRequest &, TimePoint)> m_beganHandler;
    std::function<void(const StreamBeginning &)> m_streamHandler;
    std::function<void(const EndpointProcess &, const Address &, ProcessProven)> m_doubtHandler;
    std::function<bool(const UnservedRequest &)> m_unservedHandler;
    std::function<void(RequestId)> m_takenOverCallerLeftHandler;
    std::function<Duration(TimePoint)> m_endpointsAge;
    std::map<RequestId, Pending> m_pending;
    std::map<AttemptId, Attempt> m_attempts;
    RequestId m_lastRequest = 0;
    bool m_tickScheduled = false;
    bool m_performing = false;
};

} // namespace bergamot::node
