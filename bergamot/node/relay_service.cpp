#include "bergamot/node/relay_service.h"

#include "bergamot/net/status.h"
#include "bergamot/node/request_host.h"
#include "bergamot/node/service_choice.h"
#include "bergamot/node/store_events.h"

namespace bergamot::node
{

using namespace net::status;

/// Passes the response on to the instance that relays the request.
class RelayService::RelaySink final : public ForwardSink
{
public:
    RelaySink(const RelayService &service,
              std::string request,
              relay::RequestBasis basis,
              std::shared_ptr<net::Exchange> exchange)
        : m_request(std::move(request))
        , m_basis(std::move(basis))
        , m_requests(service.m_requests)
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
    /// The request was ended, as the instance that relays it acts on what is not so any more. It may have run.
    void refuseOutdated(std::string_view reason)
    {
        net::Response response{.status = Unavailable, .body = std::string(reason)};
        response.headers.add(relay::OutcomeHeader, relay::MaybeRan);
        response.headers.add(relay::ReasonHeader, reason);
        response.headers.add(relay::OutdatedHeader, reason);
        m_exchange->respond(std::move(response));
    }
    const std::string &request() const
    {
        return m_request;
    }
    const relay::RequestBasis &basis() const
    {
        return m_basis;
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
    std::string m_request; // id
    relay::RequestBasis m_basis;
    std::shared_ptr<std::size_t> m_requests; // outlives the service
    std::shared_ptr<net::Exchange> m_exchange;
};

RelayService::RelayService(RequestForwarder &forwarder,
                           EndpointReach &reach,
                           BatchLog &log,
                           const FleetView &view,
                           const HeaderNames &headers,
                           EventLog &eventLog,
                           RelayServiceOptions options,
                           std::uint64_t seed)
    : m_forwarder(forwarder)
    , m_reach(reach)
    , m_log(log)
    , m_view(view)
    , m_headers(headers)
    , m_eventLog(eventLog)
    , m_options(options)
    , m_random(seed)
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
        relay::LocalView view = localView(relayed->basis);
        view.route = m_view.configuration().findRoute(hostOf(relayed->request), relayed->request.path());
        const std::string_view tenant = relayed->request.headers.find(m_headers.tenant).value_or("");
        relay::RelayDecision decision = relay::decideRelay(*relayed, tenant, view);
        if (decision.verdict == relay::RelayVerdict::Send) {
            send(std::move(*relayed), std::move(decision), exchange);
        } else {
            refuseByDecision(*exchange, *relayed, decision);
        }
    }
}

relay::LocalView RelayService::localView(const relay::RequestBasis &basis) const
{
    const fleet::Configuration &configuration = m_view.configuration();
    relay::LocalView view{.configuration = configuration.version(),
                          .tenants = configuration.tenants() ? &*configuration.tenants() : nullptr,
                          .ownerEpoch = m_log.ownership().epoch()};
    const batch::BatchEntry *entry = basis.batch.empty() ? nullptr : m_log.index().find(basis.batch);
    if (entry != nullptr && (entry->ended || m_log.mayConfirm())) { // without the log, its end may be unread
        view.batchOpen = !entry->ended;
    }
    return view;
}

void RelayService::refuseByDecision(net::Exchange &exchange,
                                    const relay::RelayedRequest &relayed,
                                    const relay::RelayDecision &decision)
{
    writeDecision("relay-refused", relayed, decision.reason);
    net::Response response{.status = Unavailable, .body = std::string(decision.reason)};
    response.headers.add(relay::OutcomeHeader, relay::NotRun);
    response.headers.add(relay::ReasonHeader, decision.reason);
    if (decision.verdict == relay::RelayVerdict::Outdated) {
        response.headers.add(relay::OutdatedHeader, decision.reason);
    }
    exchange.respond(std::move(response));
}

void RelayService::send(relay::RelayedRequest relayed,
                        relay::RelayDecision decision,
                        const std::shared_ptr<net::Exchange> &exchange)
{
    if (decision.service.empty()) {
        decision.service = chooseService(decision.route, m_random);
    }
    writeDecision("relay-taken", relayed, decision.service);
    const auto sink = std::make_shared<RelaySink>(*this, relayed.id, relayed.basis, exchange);
    const RequestId id = m_forwarder.forward({.id = std::move(relayed.id),
                                              .streamName = std::move(relayed.streamName),
                                              .request = std::move(relayed.request),
                                              .route = std::move(decision.route),
                                              .service = std::move(decision.service),
                                              .receivedAt = exchange->receivedAt(),
                                              .softwareVersion = std::move(relayed.softwareVersion),
                                              .callerTimeout = relayed.deadlineLeft,
                                              .owed = relayed.owed,
                                              .relayed = true},
                                             sink);
    if (!sink->basis().batch.empty()) {
        m_scoring[id] = sink;
    }
    exchange->onCallerDisconnected([this, id] {
        m_forwarder.callerDisconnected(id);
    });
}

void RelayService::reviewScoring()
{
    std::erase_if(m_scoring, [](const auto &scoring) {
        return scoring.second.expired();
    });
    const auto scoring = m_scoring; // ending a call may end others
    for (const auto &[id, weak] : scoring) {
        const std::shared_ptr<RelaySink> sink = weak.lock();
        if (sink == nullptr) {
            continue;
        }
        const relay::RelayDecision decision = relay::decideScoring(sink->basis(), localView(sink->basis()));
        if (decision.verdict != relay::RelayVerdict::Outdated) {
            continue;
        }
        m_eventLog.write(
            EventKind::Request,
            "relay-ended",
            {{"request", sink->request()}, {"batch", sink->basis().batch}, {"reason", std::string(decision.reason)}});
        m_forwarder.callerDisconnected(id);
        sink->refuseOutdated(decision.reason);
    }
}

void RelayService::writeDecision(std::string_view event, const relay::RelayedRequest &relayed, std::string_view detail)
{
    m_eventLog.write(EventKind::Request,
                     event,
                     {{"request", relayed.id},
                      {"from", relayed.instance},
                      {"batch", relayed.basis.batch},
                      {"from_epoch", std::to_string(relayed.basis.ownerEpoch)},
                      {"epoch", std::to_string(m_log.ownership().epoch())},
                      {"log_age_ms", milliseconds(m_log.timeSinceResponse(BootClock::now()))},
                      {"from_configuration", std::to_string(relayed.basis.configuration)},
                      {"configuration", std::to_string(m_view.configuration().version())},
                      {"detail", std::string(detail)}});
}

void RelayService::handleReach(const std::shared_ptr<net::Exchange> &exchange)
{
    m_reach.find([this, exchange](bool reaches) {
        const std::string_view whether = m_log.mayConfirm() ? relay::ReachesAnswer : relay::ReachesWithoutLogAnswer;
        exchange->respond({.body = reaches ? std::string(whether) : std::string("cut off")});
    });
}

} // namespace bergamot::node
