#include "bergamot/node/node.h"

#include <charconv>
#include <cstdio>

#include "bergamot/base/outer_duration.h"
#include "bergamot/net/status.h"
#include "bergamot/node/owner_probe.h"
#include "bergamot/node/request_host.h"
#include "bergamot/node/service_choice.h"
#include "bergamot/relay/relay_messages.h"
#include "bergamot/usage/usage_messages.h"

namespace bergamot::node
{

using namespace net::status;

namespace
{

constexpr Duration OwnerTick = std::chrono::milliseconds(50); // period at the owner: runs and loads
constexpr Duration FollowerTick = std::chrono::milliseconds(100); // period elsewhere: claims and waiting readers
constexpr Duration DrainTick = std::chrono::milliseconds(50);
constexpr Duration MaxConfigurationAge =
    std::chrono::milliseconds(1500); // with an older configuration, a route that is not in it may still exist
constexpr Duration MaxStoreSilence = std::chrono::milliseconds(1500); // two long polls without a response
constexpr Duration MaxTellTime =
    std::chrono::milliseconds(4600); // from the stop request, in which an owner has to tell its usage
constexpr Duration FirstAnnounceJitter = std::chrono::milliseconds(800); // hundreds of instances start at once
constexpr Duration OrderLeaseMargin = std::chrono::milliseconds(400); // orders reach their engine within this time
constexpr Duration DefaultCallerWait = std::chrono::seconds(30); // for a caller that sends no deadline
constexpr Duration CrashReportDelay =
    std::chrono::milliseconds(200); // sound requests that were beside a crash have finished elsewhere by then
constexpr double SmallCpuShare = 0.25; // a smaller share cannot process hundreds of streams
constexpr Duration SmallInstanceClaimDelay = std::chrono::milliseconds(1500); // larger instances claim first

net::HttpClientOptions clientOptions(net::MemoryAccount &account, std::size_t maxOutgoingConnections)
{
    net::HttpClientOptions options;
    options.maxConnections = maxOutgoingConnections;
    options.account = &account;
    options.maxPendingBytes = std::min(options.maxPendingBytes, account.maxBytes() / 2); // callers keep the other half
    return options;
}

RouterOptions routerOptions(const NodeOptions &options, quota::DispatchGate &gate)
{
    RouterOptions router;
    router.target.pool.instance = options.instance;
    router.target.pool.gate = &gate;
    router.target.pool.domain = FailureDomainId(options.zone);
    router.target.pool.limit.initial = 8; // a small service has some six slots, which several instances share
    router.target.pool.limit.minimum = 2;
    router.quarantine.reportDelay = CrashReportDelay;
    router.clientResendsOnPooled = false; // net::HttpClient sends each request once
    return router;
}

BatchLogOptions batchLogOptions(const NodeOptions &options)
{
    BatchLogOptions log;
    log.instance = options.instance;
    log.maxRecordBytes = options.maxRecordBytes;
    log.maxCallBytes = options.maxCallBytes;
    log.payloadPartitions = options.storePartitions;
    log.followerReadPause = options.followInterval;
    log.index.resultRetention = options.resultsKept;
    log.ownership.expiresAfter = options.poolExpiry;
    log.ownership.orderLease = options.orderLease + OrderLeaseMargin;
    if (options.cpuShare < SmallCpuShare) {
        log.ownership.extraClaimDelay = SmallInstanceClaimDelay;
    }
    return log;
}

EnginePoolOptions poolOptions(const NodeOptions &options)
{
    constexpr std::size_t MemoryParts = 16; // of the machine's memory
    constexpr std::size_t PoolParts =
        5; // callers get half of it; the rest is for what an idle process takes and copies
    EnginePoolOptions pool;
    pool.holder = options.instance;
    pool.scheduler.maxBytes = options.memoryBytes / MemoryParts * PoolParts;
    return pool;
}

/// `source` tells what this instance observed from what it read in the log.
void writeCrashReport(EventLog &log, std::string_view source, const CrashReport &report)
{
    std::string crashes; // as endpoint/incarnation, with "/alone" if the request was the only one
    for (const CrashUnderRequest &crash : report.crashes) {
        crashes += (crashes.empty() ? "" : ",") + crash.process.endpoint.value() + "/"
            + std::to_string(crash.process.incarnation) + (crash.alone ? "/alone" : "");
    }
    log.write(
        EventKind::State,
        report.cleared ? "crash-suspect-cleared" : "crash-suspect",
        {{"source", std::string(source)}, {"fingerprint", std::to_string(report.fingerprint)}, {"crashes", crashes}});
}

BatchServiceOptions batchServiceOptions(const net::MemoryAccount &account)
{
    BatchServiceOptions options;
    options.maxReadBytes = std::min(options.maxReadBytes, account.maxLargeBytes() / 2);
    return options;
}

UsageReporterOptions usageOptions(const NodeOptions &options)
{
    return {.instance = options.instance,
            .platform = options.usageAddress,
            .windowLength = options.usageWindow,
            .dueAfter = options.usageDue,
            .holderLease = options.orderLease + OrderLeaseMargin};
}

std::vector<std::string> serviceNames(const fleet::Route &route)
{
    std::vector<std::string> names;
    for (const fleet::WeightedService &service : route.services) {
        names.push_back(service.service);
    }
    return names;
}

} // namespace

/// Passes the response to a forwarded request on to the caller.
class Node::CallerSink final : public ForwardSink
{
public:
    CallerSink(Node &node, std::shared_ptr<net::Exchange> exchange, std::string route)
        : m_node(node)
        , m_exchange(std::move(exchange))
        , m_route(std::move(route))
    { }

    void answer(net::Response response) override
    {
        count(response.status);
        m_exchange->respond(std::move(response));
    }
    void refuse(const RefuseAction &refusal) override
    {
        count(refusal.status);
        net::Response response{.status = refusal.status, .body = refusal.message};
        if (refusal.outcome == RequestOutcome::RefusedNotRun) {
            response.headers.add("Retry-After", retryAfterText(refusal.retryAfter));
        }
        response.headers.add("Content-Type", "text/plain");
        m_exchange->respond(std::move(response));
    }
    void beginStream(const net::ResponseHead &head) override
    {
        m_exchange->beginStream(head);
    }
    void write(std::string_view data) override
    {
        m_exchange->write(data);
    }
    void finishStream() override
    {
        count(Ok);
        m_exchange->finish();
    }
    void abortStream() override
    {
        count(0);
        m_exchange->abort();
    }
    std::size_t queuedBytes() const override
    {
        return m_exchange->queuedBytes();
    }

private:
    void count(int status)
    {
        const TimePoint now = BootClock::now();
        const Duration duration = now - m_exchange->receivedAt();
        m_node.m_metrics.recordRequest(m_route, status, duration);
        m_node.m_stopPolicy.recordCall(m_route, duration, now);
    }

    Node &m_node;
    std::shared_ptr<net::Exchange> m_exchange;
    std::string m_route;
};

Node::Node(boost::asio::io_context &loop,
           logstore::LogStore &store,
           const PlatformCodec &codec,
           EventLog &log,
           NodeOptions options)
    : m_loop(loop)
    , m_codec(codec)
    , m_log(log)
    , m_options(std::move(options))
    , m_random(m_options.seed)
    , m_memory(m_options.memoryBytes / 2) // the other half is for what the process knows and for copies in transit
    , m_client(loop, clientOptions(m_memory, maxConnections(OutgoingPart)))
    , m_view(loop, store, codec, log, {.topicReadPause = m_options.followInterval}, m_random())
    , m_batchLog(loop, store, batchLogOptions(m_options), log, m_random())
    , m_quota(loop, m_client, m_batchLog, log, {}, m_random())
    , m_streams(m_batchLog, log, {}, m_options.seed)
    , m_usage(m_client, m_batchLog, codec, log, usageOptions(m_options))
    , m_reach(loop, m_client, log, m_options.seed)
    , m_forwarder(loop, m_client, codec.headers(), log, routerOptions(m_options, m_quota), m_random())
    , m_relayClient(loop,
                    m_client,
                    m_batchLog,
                    log,
                    {.instance = m_options.instance, .zone = m_options.zone, .account = &m_memory},
                    m_options.seed)
    , m_relayService(m_forwarder, m_reach, m_batchLog, m_view, codec.headers(), log, {}, m_random())
    , m_batchService(loop, m_batchLog, codec, log, batchServiceOptions(m_memory), m_random())
    , m_pool(loop, m_client, m_forwarder, m_batchLog, m_view, m_quota, codec, log, poolOptions(m_options), m_random())
    , m_callerServer(
          loop,
          [this](std::shared_ptr<net::Exchange> exchange) {
              handleCall(std::move(exchange));
          },
          &m_memory)
    , m_readinessServer(
          loop,
          [this](std::shared_ptr<net::Exchange> exchange) {
              handleReadiness(exchange);
          },
          &m_memory)
    , m_metricsServer(
          loop,
          [this](std::shared_ptr<net::Exchange> exchange) {
              m_metrics.updatePool(m_pool.active(), m_pool.runningSamples(), m_pool.waitingSamples());
              m_metrics.updatePoolMemory(m_pool.memory().sum());
              const QuotaExchange::Counts quota = m_quota.counts();
              m_metrics.updateUsage(m_usage.acceptedReports());
              m_metrics.updateQuota(quota.limitedEndpoints, quota.grantedTokens, quota.refusedTokens);
              m_metrics.updateMemory(m_memory.heldBytes(), m_memory.maxBytes());
              exchange->respond({.body = m_metrics.exposition()});
          },
          &m_memory)
    , m_peerServer(
          loop,
          [this](std::shared_ptr<net::Exchange> exchange) {
              handlePeerCall(exchange);
          },
          &m_memory)
    , m_tickTimer(loop)
    , m_drainTimer(loop)
    , m_stopPolicy({.grace = m_options.gracePeriod})
{ }

Node::~Node() = default;

std::string Node::retryAfterText(Duration duration)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.2f", std::chrono::duration<double>(duration).count());
    return text.data();
}

Result<void> Node::start()
{
    boundListeners();
    for (const auto &[server, address] :
         {std::pair{&m_callerServer, m_options.callerAddress}, {&m_readinessServer, m_options.readinessAddress}}) {
        if (Result<void> listening = server->listen(address); !listening) {
            return listening;
        }
    }
    if (m_options.metricsAddress) {
        if (Result<void> listening = m_metricsServer.listen(*m_options.metricsAddress); !listening) {
            m_log.write(EventKind::State, "no-metrics", {{"reason", listening.error().message}});
        }
    }
    if (m_options.peerAddress) {
        if (Result<void> listening = m_peerServer.listen(*m_options.peerAddress); !listening) {
            return listening;
        }
        m_batchLog.setPeerAddress(toString({m_options.peerAddress->ip, m_peerServer.port()}));
        m_batchLog.onProbeOwner([this](const std::string &owner, const std::string &address) {
            probePoolOwner(owner, address);
        });
    }
    m_announceAt = BootClock::now() + drawUpTo(FirstAnnounceJitter);
    m_reach.onChange([this] {
        reachChanged();
    });
    m_forwarder.onUnserved([this](const UnservedRequest &unserved) {
        return relayRequest(unserved);
    });
    m_forwarder.onProcessDoubted(
        [this](const EndpointProcess &process, const Address &address, const RequestForwarder::ProcessProven &done) {
            proveProcess(process, address, done);
        });
    m_forwarder.onTakenOverCallerLeft([this](RequestId id) {
        m_relayClient.callerDisconnected(id);
    });
    m_view.onConfiguration([this] {
        applyLimits();
        choosePlacement();
        updateRoutingTable();
        m_pool.configurationChanged();
    });
    m_forwarder.setEndpointsAge([this](TimePoint now) {
        return m_view.endpointsAge(now);
    });
    m_view.onEndpoints([this] {
        updateRoutingTable();
        m_pool.endpointsChanged();
    });
    m_view.onEndpointLeaving([this] {
        updateRoutingTable();
        m_pool.endpointLeaving();
    });
    m_forwarder.onLeaving([this](const std::string &endpoint, std::uint64_t incarnation) {
        m_view.endpointLeaving(endpoint, incarnation, "request");
    });
    m_forwarder.onAnswerHead([this](const EndpointProcess &process, const net::ResponseHead &head) {
        if (const std::optional<cost::LoadReport> load = m_codec.endpointLoad(head.headers)) {
            m_forwarder.recordLoad(process.endpoint.value(), *load);
            m_slownessReported = m_slownessReported || load->slowness.has_value();
            choosePlacement();
        }
        m_quota.heardAnswer(process, head.status, head.headers.find(m_codec.headers().limit).value_or(""));
    });
    m_forwarder.onBegan([this](const ForwardRequest &request, TimePoint begunAt) {
        const std::optional<std::string_view> tenant = request.request.headers.find(m_codec.headers().tenant);
        if (tenant && m_view.configuration().tenants()) {
            m_usage.record(std::string(*tenant), begunAt);
            m_metrics.recordTenant(std::string(*tenant));
        }
    });
    m_forwarder.onTokensNeeded([this](const TokenRequest &request, RequestForwarder::TokensGranted done) {
        m_quota.request(request, std::move(done));
    });
    m_view.onHeartbeat([this](const std::string &endpoint, std::uint64_t incarnation, TimePoint aliveAt) {
        m_forwarder.recordHeartbeat(endpoint, incarnation, aliveAt);
        m_pool.endpointAlive(endpoint, incarnation, aliveAt);
        m_streams.endpointAlive({EndpointId(endpoint), incarnation}, aliveAt);
    });
    m_view.onNamedVersion([this] {
        m_pool.tick(BootClock::now());
    });
    m_batchLog.onOwnership([this](bool owns) {
        m_view.setTopicReadPause(owns ? m_batchLog.options().ownerReadPause : m_options.followInterval);
        owns ? m_pool.begin() : m_pool.end();
        m_usage.setOwner(owns);
    });
    m_batchLog.onBatchChange([this](batch::BatchChange change, const batch::log::Record &record) {
        m_pool.batchChanged(change, record);
    });
    m_batchLog.onCrashReport([this](const CrashReport &report) {
        writeCrashReport(m_log, "read", report);
        m_forwarder.applyCrashReport(report);
    });
    m_batchLog.onLimitReport([this](const quota::LimitReport &report) {
        m_quota.applyReport(report);
    });
    m_batchLog.onOutlooks([this](const std::vector<cost::SharedOutlook> &outlooks) {
        if (m_placesByCompletion) {
            m_forwarder.applyOutlooks(outlooks);
        }
    });
    m_batchLog.onSoftware([this] {
        updateRoutingTable();
    });
    m_forwarder.onStreamBegan([this](const StreamBeginning &stream) {
        m_streams.began({.attempt = stream.name,
                         .services = serviceNames(stream.route),
                         .origin = {stream.service, stream.softwareVersion},
                         .process = stream.process});
    });
    m_batchLog.onRecordsApplied([this] {
        m_relayService.reviewScoring();
        m_batchService.answerReadyReaders();
    });
    m_view.start();
    m_batchLog.start();
    scheduleTick();
    m_log.write(
        EventKind::State,
        "start",
        {{"instance", m_options.instance}, {"zone", m_options.zone}, {"callers", toString(m_options.callerAddress)}});
    return {};
}

std::uint16_t Node::callersPort() const
{
    return m_callerServer.port();
}

bool Node::ownsPool() const
{
    return m_pool.active();
}

void Node::stop(std::function<void()> stopped)
{
    if (m_stopPolicy.stopping()) {
        return;
    }
    const TimePoint now = BootClock::now();
    m_log.write(EventKind::State, "stop-requested", {{"pending", std::to_string(m_callerServer.pending())}});
    m_stopPolicy.stopRequested(now);
    m_stoppedHandler = std::move(stopped);
    m_callerServer.drain();
    m_relayService.stop();
    m_usage.stop();
    announce(now, true);
    m_pool.save();
    m_batchLog.stopClaiming();
    continueDrain();
}

void Node::continueDrain()
{
    const TimePoint now = BootClock::now();
    if (m_stopPolicy.mayCloseIdle(now)) {
        m_callerServer.closeIdle();
    }
    if (m_stopPolicy.mustEndCalls(now) && !std::exchange(m_callsEnded, true)) {
        endCalls();
    }
    const bool idle = m_callerServer.pending() == 0 && m_callerServer.connections() == 0
        && m_relayService.pending() == 0 && m_batchLog.unwrittenRecords() == 0;
    const bool told = m_usage.told() || m_stopPolicy.elapsed(now) >= MaxTellTime;
    if ((m_stopPolicy.mayCloseIdle(now) && idle && told) || m_stopPolicy.mustEnd(now)) {
        m_callerServer.stopListening();
        m_log.write(EventKind::State, "stop", {{"pending", std::to_string(m_callerServer.pending())}});
        m_stoppedHandler();
        return;
    }
    m_drainTimer.expires_after(DrainTick);
    m_drainTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            continueDrain();
        }
    });
}

void Node::endCalls()
{
    m_log.write(EventKind::State,
                "stop-ends-calls",
                {{"pending", std::to_string(m_callerServer.pending())},
                 {"forwarded", std::to_string(m_forwarder.pending())},
                 {"relayed", std::to_string(m_relayService.pending())}});
    m_callerServer.stopListening();
    m_forwarder.stop();
    // What has become of the others is not known here.
    m_callerServer.answerPending({.status = GatewayTimeout, .body = "the instance stops"});
}

bool Node::takesCall(const fleet::Route &route, net::Exchange &exchange)
{
    const TimePoint now = BootClock::now();
    const Duration budget = std::min(callerWait(exchange.request()), route.timeout) - (now - exchange.receivedAt());
    if (m_stopPolicy.mayTake(route.name, budget, now)) {
        return true;
    }
    const auto milliseconds = [](Duration duration) {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
    };
    refuse(exchange,
           Unavailable,
           "stopping in " + milliseconds(m_stopPolicy.timeLeft(now)) + " ms; the call may take " + milliseconds(budget)
               + " ms",
           retryAfterStop());
    return false;
}

Duration Node::retryAfterStop() const
{
    const auto &instances = m_batchLog.instances();
    const bool othersServe = std::any_of(instances.begin(), instances.end(), [this](const auto &entry) {
        return entry.first != m_options.instance && !entry.second.stopping;
    });
    return othersServe ? Duration::zero() : RetryElsewhere;
}

Duration Node::callerWait(const net::Request &request) const
{
    const std::string_view wait = request.headers.find(m_codec.headers().deadline).value_or("");
    std::int64_t milliseconds = 0;
    const bool hasDeadline = std::from_chars(wait.data(), wait.data() + wait.size(), milliseconds).ec == std::errc();
    return hasDeadline ? durationOf(std::chrono::milliseconds(milliseconds)) : DefaultCallerWait;
}

void Node::probePoolOwner(const std::string &owner, const std::string &address)
{
    const Result<Address> parsed = parseAddress(address);
    if (!parsed) {
        m_log.write(EventKind::State,
                    "pool-owner-not-probed",
                    {{"instance", owner}, {"address", address}, {"reason", parsed.error().message}});
        return;
    }
    probeOwner(m_client, *parsed, owner, [this, owner](ProbeOutcome outcome) {
        if (outcome == ProbeOutcome::Gone) {
            m_batchLog.ownerGone(owner);
        }
    });
}

void Node::handlePeerCall(const std::shared_ptr<net::Exchange> &exchange)
{
    const std::string_view path = exchange->request().path();
    if (path == TokensPath) {
        exchange->respond(m_quota.answer(exchange->request().body));
    } else if (path == usage::TotalsPath) {
        exchange->respond(m_usage.answer(exchange->request().body));
    } else if (path == relay::RelayPath) {
        m_relayService.handleRelay(exchange);
    } else if (path == relay::ReachPath) {
        m_relayService.handleReach(exchange);
    } else {
        exchange->respond(probeResponse(m_options.instance));
    }
}

void Node::routeRequest(const Caller &caller, std::shared_ptr<net::Exchange> exchange)
{
    const net::Request &request = exchange->request();
    if (m_view.configuration().version() == 0) {
        refuse(*exchange, Unavailable, "no configuration yet");
        return;
    }
    const fleet::Route *route = m_view.configuration().findRoute(hostOf(request), request.path());
    if (route == nullptr) {
        const bool stale = m_view.configurationAge(BootClock::now()) > MaxConfigurationAge;
        refuse(*exchange, stale ? Unavailable : NotFound, stale ? "no route in a stale configuration" : "no route");
        return;
    }
    const HeaderNames &names = m_codec.headers();
    const bool resumes = request.headers.has(names.resumes) || request.headers.has(names.lastEvent);
    if (route->kind == fleet::RouteKind::Streaming && resumes) {
        resumeStream(*route, caller, std::move(exchange));
    } else if (fleet::activeServices(*route).empty()) {
        refuse(*exchange, Unavailable, "no service of the route takes traffic");
    } else if (route->kind != fleet::RouteKind::Batch) {
        forwardRequest(*route, chooseService(*route, m_random), {}, caller, std::move(exchange));
    } else if (request.method == "POST" && !takesCall(*route, *exchange)) {
        return; // refused
    } else if (request.method == "POST") {
        m_batchService.submit({.tenant = caller.tenant,
                               .scoped = caller.known,
                               .maxTokens =
                                   [this, host = std::string(hostOf(request))](const batch::Item &item) {
                                       const fleet::Route *own = m_view.configuration().findRoute(host, item.path);
                                       return own == nullptr ? std::nullopt
                                                             : m_view.configuration().largestMemory(*own);
                                   }},
                              std::move(exchange));
    } else {
        refuse(*exchange, MethodNotAllowed, "a batch is submitted with POST");
    }
}

void Node::resumeStream(const fleet::Route &route, const Caller &caller, std::shared_ptr<net::Exchange> exchange)
{
    const auto disconnected = std::make_shared<bool>(false);
    exchange->onCallerDisconnected([disconnected] {
        *disconnected = true;
    });
    const std::string named(exchange->request().headers.find(m_codec.headers().resumes).value_or(""));
    const std::string attempt = caller.known ? tenants::scopedId(caller.tenant, named) : named;
    m_streams.find(attempt, serviceNames(route), [this, route, caller, exchange, disconnected](const auto &origin) {
        if (*disconnected) {
            return;
        }
        const std::vector<std::string> active = fleet::activeServices(route);
        if (origin && std::find(active.begin(), active.end(), origin->service) == active.end()) {
            // The caller may begin the stream anew at once.
            refuse(*exchange,
                   Unavailable,
                   "the service that began the stream takes no traffic of the route",
                   Duration::zero());
        } else if (origin) {
            forwardRequest(route, origin->service, origin->softwareVersion, caller, exchange);
        } else {
            // The caller may begin the stream anew at once.
            refuse(*exchange, Unavailable, "the software version that began the stream is unknown", Duration::zero());
        }
    });
}

void Node::forwardRequest(const fleet::Route &route,
                          const std::string &service,
                          const std::string &softwareVersion,
                          const Caller &caller,
                          std::shared_ptr<net::Exchange> exchange)
{
    if (!takesCall(route, *exchange)) {
        return;
    }
    std::string body = exchange->takeBody();
    const net::Request &request = exchange->request();
    ForwardRequest forwarded{.id = std::string(request.headers.find(m_codec.headers().requestId).value_or("")),
                             .request = request,
                             .body = std::make_shared<const std::string>(std::move(body)),
                             .route = route,
                             .service = service,
                             .receivedAt = exchange->receivedAt(),
                             .softwareVersion = softwareVersion,
                             .callerTimeout = callerWait(request),
                             .basis = {.configuration = m_view.configuration().version(), .callerKey = caller.key}};
    if (caller.known) {
        nameTenant(m_codec.headers(), caller.tenant, forwarded.request.headers);
        forwarded.tenant = caller.tenant;
        forwarded.streamName = tenants::scopedId(caller.tenant, forwarded.id);
    }
    const RequestId id =
        m_forwarder.forward(std::move(forwarded), std::make_shared<CallerSink>(*this, exchange, route.name));
    exchange->onCallerDisconnected([this, id] {
        m_forwarder.callerDisconnected(id);
    });
}

void Node::handleReadiness(const std::shared_ptr<net::Exchange> &exchange)
{
    const bool isReady = ready();
    if (isReady != m_wasReady) {
        m_wasReady = isReady;
        m_log.write(EventKind::State, isReady ? "ready" : "not-ready", {});
    }
    exchange->respond({.status = isReady ? Ok : Unavailable});
}

bool Node::ready() const
{
    const TimePoint now = BootClock::now();
    return !m_stopPolicy.stopping() && m_view.complete() && m_batchLog.started()
        && m_view.timeSinceResponse(now) <= MaxStoreSilence;
}

void Node::refuse(net::Exchange &exchange, int status, std::string_view reason, Duration retryAfter)
{
    m_log.write(EventKind::Request,
                "refused",
                {{"request", std::string(exchange.request().headers.find(m_codec.headers().requestId).value_or(""))},
                 {"status", std::to_string(status)},
                 {"reason", std::string(reason)},
                 {"configuration", std::to_string(m_view.configuration().version())}});
    m_metrics.recordRequest("none", status, BootClock::now() - exchange.receivedAt());
    net::Response response{.status = status, .body = std::string(reason)};
    response.headers.add("Content-Type", "text/plain");
    if (status == Unavailable) {
        response.headers.add("Retry-After", retryAfterText(retryAfter));
    }
    exchange.respond(std::move(response));
}

void Node::shareCrashReports()
{
    if (m_reach.cutOff()) {
        return; // connections that broke with this instance's links prove nothing about a request
    }
    for (const CrashReport &report : m_forwarder.takeCrashReports()) {
        writeCrashReport(m_log, "observed", report);
        m_batchLog.reportSuspect(report);
    }
}

void Node::updateRoutingTable()
{
    m_streams.setEndpoints(m_view.endpoints(), BootClock::now());
    std::set<Address> addresses;
    for (const auto &[id, endpoint] : m_view.endpoints()) {
        addresses.insert(endpoint.address);
    }
    m_reach.setEndpoints(addresses);
    RoutingTable table;
    table.configVersion = m_view.configuration().version();
    for (const auto &[name, service] : m_view.configuration().services()) {
        table.targets[name];
    }
    for (const auto &[id, endpoint] : m_view.endpoints()) {
        const auto target = table.targets.find(endpoint.service);
        if (target == table.targets.end()) {
            continue;
        }
        target->second.endpoints.push_back({.id = EndpointId(id),
                                            .domain = FailureDomainId(endpoint.zone),
                                            .address = endpoint.address,
                                            .leaving = endpoint.leaving(),
                                            .slots = endpoint.slots,
                                            .loadAge = std::chrono::hours(1),
                                            .incarnation = endpoint.incarnation,
                                            .softwareVersion = endpoint.softwareVersion,
                                            .beginsStreams = m_streams.mayBegin(endpoint)});
    }
    m_forwarder.updateEndpoints(table);
    const auto listed = [this](const EndpointId &endpoint) {
        return m_view.endpoints().contains(endpoint.value());
    };
    m_quota.retain(listed);
    m_batchLog.retainLimits(listed);
}

void Node::scheduleTick()
{
    m_tickTimer.expires_after(m_pool.active() ? OwnerTick : FollowerTick);
    m_tickTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            tick();
        }
    });
}

void Node::tick()
{
    const TimePoint now = BootClock::now();
    m_view.tick(now);
    m_reach.tick(now);
    announce(now, false);
    m_batchLog.allowClaims(m_view.complete() && mayClaimPool(now));
    yieldPoolIfCutOff(now);
    m_batchLog.setResultAwaited(m_batchService.waitingReaders() > 0);
    m_batchLog.tick(now);
    m_streams.tick(now);
    m_batchService.tick(now);
    m_pool.tick(now);
    shareCrashReports();
    m_quota.tick(now);
    m_usage.tick(now);
    shareOutlooks(now);
    logReleases();
    m_log.flush();
    scheduleTick();
}

} // namespace bergamot::node
