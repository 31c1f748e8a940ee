#pragma once

// Forwards requests to the endpoints of a service: the shell around the router's decisions, with the connections.
//
//     RequestForwarder forwarder(loop, client, headers, log, options, seed);
//     forwarder.updateEndpoints(table);
//     forwarder.forward(request, sink);
//
// Callers' requests and the service's own scoring calls take the same path.

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bergamot/base/event_log.h"
#include "bergamot/fleet/configuration.h"
#include "bergamot/net/http_client.h"
#include "bergamot/node/platform_codec.h"
#include "bergamot/routing/router.h"

namespace bergamot::node
{

/// Takes the answer of a forwarded request: either `answer`, or `refuse`, or `beginStream` followed by `write`s and one
/// of `finishStream` and `abortStream`.
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
};

struct ForwardRequest
{
    std::string id; // for logs
    net::Request request;
    fleet::Route route;
    std::string service; // chosen among the route's
    TimePoint receivedAt{};
    Duration callerWaits{}; // how long the caller waits, from `receivedAt`
};

/// Not thread-safe.
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

    void updateEndpoints(const RoutingTable &table);
    /// The endpoint has written a heartbeat.
    void endpointAlive(const std::string &endpoint);
    RequestId forward(ForwardRequest request, std::shared_ptr<ForwardSink> sink);
    void callerGone(RequestId id);
    std::size_t pending() const;

private:
    struct Pending
    {
        ForwardRequest request;
        std::shared_ptr<ForwardSink> sink;
        std::uint32_t attempts = 0;
    };

    struct Attempt
    {
        RequestId request = 0;
        std::string endpoint;
        std::shared_ptr<net::ClientCall> call;
        net::Response response;
        bool streaming = false;
        bool complete = false;
    };

    void run();
    void perform(const DispatchAction &action);
    void attemptHead(AttemptId id, const net::ResponseHead &head);
    void attemptData(AttemptId id, std::string_view data);
    void attemptEnd(AttemptId id, const net::CallEnd &end);
    void schedule();
    void finish(RequestId id, int status, std::string_view reason);

    boost::asio::io_context &m_loop;
    net::HttpClient &m_client;
    const HeaderNames &m_headers;
    EventLog &m_log;
    Router m_router;
    boost::asio::steady_timer m_timer;
    std::map<RequestId, Pending> m_pending;
    std::map<AttemptId, Attempt> m_attempts;
    RequestId m_lastRequest = 0;
    bool m_scheduled = false;
    bool m_running = false;
};

} // namespace bergamot::node
