#pragma once

// Sends requests for instances that are cut off from the endpoints, and tells them whether this instance reaches any.
//
//     RelayService service(forwarder, reach, batchLog, eventLog, {});
//     service.handleRelay(exchange);

#include <memory>

#include "bergamot/base/event_log.h"
#include "bergamot/net/http_server.h"
#include "bergamot/node/batch_log.h"
#include "bergamot/node/endpoint_reach.h"
#include "bergamot/node/request_forwarder.h"

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
                 EventLog &eventLog,
                 RelayServiceOptions options);

    /// Sends the request in the body to an endpoint. It is refused if it does not come from an announced instance, or
    /// if this instance is cut off as well: a request is never handed on twice.
    void handleRelay(const std::shared_ptr<net::Exchange> &exchange);
    void handleReach(const std::shared_ptr<net::Exchange> &exchange);
    /// Requests of others that have no complete response yet.
    std::size_t pending() const;
    /// From now on all requests are refused.
    void stop();

private:
    class RelaySink;

    bool isAnnounced(const std::string &ip) const;
    void refuse(net::Exchange &exchange, int status, std::string_view reason);

    RequestForwarder &m_forwarder;
    EndpointReach &m_reach;
    BatchLog &m_log;
    EventLog &m_eventLog;
    RelayServiceOptions m_options;
    std::shared_ptr<std::size_t> m_requests = std::make_shared<std::size_t>(0); // being sent for others
    bool m_stopped = false;
};

} // namespace bergamot::node
