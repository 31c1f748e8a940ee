#pragma once

// Sends requests for instances that are cut off from the endpoints, and tells them whether this instance reaches any.
//
//     RelayService service(forwarder, reach, batchLog, fleetView, headerNames, eventLog, {}, seed);
//     service.handleRelay(exchange);
//
// The other instance may be cut off from the store as well: `relay::decideRelay` compares what its request rests on
// with what this instance has read.

#include <map>
#include <memory>
#include <random>

#include "bergamot/base/event_log.h"
#include "bergamot/net/http_server.h"
#include "bergamot/node/batch_log.h"
#include "bergamot/node/endpoint_reach.h"
#include "bergamot/node/fleet_view.h"
#include "bergamot/node/request_forwarder.h"
#include "bergamot/relay/relay_admission.h"

namespace bergamot::node
{

struct RelayServiceOptions
{
    std::size_t maxRequests = 64; // of others at a time; further ones are refused
};

/// Not thread-safe.
class RelayService
{
public:
    RelayService(RequestForwarder &forwarder,
                 EndpointReach &reach,
                 BatchLog &log,
                 const FleetView &view,
                 const HeaderNames &headers,
                 EventLog &eventLog,
                 RelayServiceOptions options,
                 std::uint64_t seed);

    /// Sends the request in the body to an endpoint. It is refused if it does not come from an announced instance, if
    /// it rests on what is outdated, or if this instance is cut off as well: a request is never handed on twice.
    void handleRelay(const std::shared_ptr<net::Exchange> &exchange);
    void handleReach(const std::shared_ptr<net::Exchange> &exchange);
    /// Ends the scoring calls of others whose batch has ended or whose owner was succeeded. Call it whenever records of
    /// the batch log have been applied.
    void reviewScoring();
    /// Requests of others that have no complete response yet.
    std::size_t pending() const;
    /// From now on all requests are refused.
    void stop();

private:
    class RelaySink;

    bool isAnnounced(const std::string &ip) const;
    relay::LocalView localView(const relay::RequestBasis &basis) const;
    void refuse(net::Exchange &exchange, int status, std::string_view reason);
    void refuseByDecision(net::Exchange &exchange,
                          const relay::RelayedRequest &relayed,
                          const relay::RelayDecision &decision);
    void
    send(relay::RelayedRequest relayed, relay::RelayDecision decision, const std::shared_ptr<net::Exchange> &exchange);
    /// Logs a decision on a request with what it rests on, here and at the other instance.
    void writeDecision(std::string_view event, const relay::RelayedRequest &relayed, std::string_view detail);

    RequestForwarder &m_forwarder;
    EndpointReach &m_reach;
    BatchLog &m_log;
    const FleetView &m_view;
    const HeaderNames &m_headers;
    EventLog &m_eventLog;
    RelayServiceOptions m_options;
    std::mt19937_64 m_random;
    std::map<RequestId, std::weak_ptr<RelaySink>> m_scoring; // scoring calls of others; expired once they have ended
    std::shared_ptr<std::size_t> m_requests = std::make_shared<std::size_t>(0); // being sent for others
    bool m_stopped = false;
};

} // namespace bergamot::node
