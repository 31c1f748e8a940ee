#include "bergamot/node/relay_service.h"

#include "bergamot/net/status.h"
#include "bergamot/relay/relay_messages.h"

namespace bergamot::node
{

using namespace net::status;

/// Passes the response on to the instance that relays the request.
class RelayService::RelaySink final : public ForwardSink
{
public:
    explicit RelaySink(const RelayService &service, std::shared_ptr<net::Exchange> exchange)
        : m_requests(service.m_requests)
        , m_exchange(std::move(exchange))
    {
        ++*m_requests;
    }
    ~RelaySink() override
    {
        --*m_requests;
    }
    RelaySink(const RelaySink &) = delete;
    RelaySink &operator=(const RelaySink &) = delete;

    void answer(net::Response response) override
    {
        response.headers.set(relay::OutcomeHeader, relay::Answered);
        m_exchange->respond(std::move(response));
    }
    void refuse(const RefuseAction &refusal) override
    {
        net::Response response{.status = refusal.status, .body = refusal.message};
        response.headers.add(relay::OutcomeHeader,
                             refusal.outcome == RequestOutcome::RefusedNotRun ? relay::NotRun : relay::MaybeRan);
        response.headers.add(relay::ReasonHeader, refusalReasonName(refusal.reason));
        m_exchange->respond(std::move(response));
    }
    void beginStream(const net::ResponseHead &head) override
    {
        net::ResponseHead marked = head;
        marked.headers.set(relay::OutcomeHeader, relay::Answered);
        m_exchange->beginStream(marked);
    }
    void write(std::string_view data) override
    {
        m_exchange->write(data);
    }
    void finishStream() override
    {
        m_exchange->finish();
    }
    void abortStream() override
    {
        m_exchange->abort();
    }
    std::size_t queuedBytes() const override
    {
        return m_exchange->queuedBytes();
    }

private:
    std::shared_ptr<std::size_t> m_requests; // outlives the service
    std::shared_ptr<net::Exchange> m_exchange;
};

RelayService::RelayService(
    RequestForwarder &forwarder, EndpointReach &reach, BatchLog &log, EventLog &eventLog, RelayServiceOptions options)
    : m_forwarder(forwarder)
    , m_reach(reach)
    , m_log(log)
    , m_eventLog(eventLog)
    , m_options(options)
{ }

std::size_t RelayService::pending() const
{
    return *m_requests;
}

void RelayService::stop()
{
    m_stopped = true;
}

bool RelayService::isAnnounced(const std::string &ip) const
{
    return std::any_of(m_log.instances().begin(), m_log.instances().end(), [&ip](const auto &entry) {
        const Result<Address> address = parseAddress(entry.second.address);
        return address && address->ip == ip;
    });
}

void RelayService::refuse(net::Exchange &exchange, int status, std::string_view reason)
{
    m_eventLog.write(
        EventKind::Request, "relay-refused", {{"caller", exchange.callerIp()}, {"reason", std::string(reason)}});
    net::Response response{.status = status, .body = std::string(reason)};
    response.headers.add(relay::OutcomeHeader, relay::Declined);
    response.headers.add(relay::ReasonHeader, reason);
    exchange.respond(std::move(response));
}

void RelayService::handleRelay(const std::shared_ptr<net::Exchange> &exchange)
{
    const std::size_t messageBytes = exchange->request().body.size();
    if (messageBytes > net::MemoryAccount::SmallBytes && !exchange->mayHold(messageBytes)) {
        refuse(*exchange, Unavailable, "too large");
        return;
    }
    Result<relay::RelayedRequest> relayed = relay::parseRelayed(exchange->takeBody());
    if (!relayed) {
        refuse(*exchange, BadRequest, relayed.error().message);
    } else if (!isAnnounced(exchange->callerIp())) {
        refuse(*exchange, Forbidden, "not an instance of this service");
    } else if (m_stopped || m_reach.cutOff() || *m_requests >= m_options.maxRequests) {
        refuse(*exchange, Unavailable, m_stopped ? "stopping" : m_reach.cutOff() ? "cut off as well" : "too many");
    } else {
        m_eventLog.write(EventKind::Request,
                         "relay-taken",
                         {{"request", relayed->id}, {"from", relayed->instance}, {"service", relayed->service}});
        ForwardRequest request{.id = std::move(relayed->id),
                               .streamName = std::move(relayed->streamName),
                               .request = std::move(relayed->request),
                               .route = std::move(relayed->route),
                               .service = std::move(relayed->service),
                               .receivedAt = exchange->receivedAt(),
                               .softwareVersion = std::move(relayed->softwareVersion),
                               .callerTimeout = relayed->deadlineLeft,
                               .owed = relayed->owed,
                               .relayed = true};
        request.route.timeout = relayed->deadlineLeft;
        const RequestId id = m_forwarder.forward(std::move(request), std::make_shared<RelaySink>(*this, exchange));
        exchange->onCallerDisconnected([this, id] {
            m_forwarder.callerDisconnected(id);
        });
    }
}

void RelayService::handleReach(const std::shared_ptr<net::Exchange> &exchange)
{
    m_reach.find([exchange](bool reaches) {
        exchange->respond({.body = reaches ? std::string(relay::ReachesAnswer) : std::string("cut off")});
    });
}

} // namespace bergamot::node
