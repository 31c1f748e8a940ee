#include "bergamot/node/node.h"

#include <charconv>
#include <cstdio>

#include "bergamot/net/status.h"
#include "bergamot/node/service_choice.h"

namespace bergamot::node
{

using namespace net::status;

namespace
{

constexpr Duration OwnerTick = std::chrono::milliseconds(50); // runs and loads are looked at this often
constexpr Duration FollowerTick = std::chrono::milliseconds(100); // claims, waiting readers
constexpr Duration DrainTick = std::chrono::milliseconds(50);
constexpr Duration StaleAfter = std::chrono::milliseconds(1500); // two long reads without an answer
constexpr Duration ServeOnFor = std::chrono::milliseconds(2600); // the platform takes two misses, a second apart
constexpr Duration GraceMargin = std::chrono::milliseconds(700); // before the process is killed
constexpr Duration RetryElsewhere = std::chrono::milliseconds(300); // another instance can serve at once
constexpr Duration OrderLeaseMargin = std::chrono::milliseconds(400); // an order is on its way for less than this
constexpr Duration DefaultCallerWait = std::chrono::seconds(30); // for a caller that names no deadline
constexpr double SmallCpuShare = 0.25; // less cannot follow hundreds of streams
constexpr Duration SmallHandicap = std::chrono::milliseconds(1500); // lets the larger instances claim first

net::HttpClientOptions clientOptions()
{
    return {};
}

RouterOptions routerOptions(const NodeOptions &options)
{
    RouterOptions router;
    router.target.pool.instance = options.instance;
    router.target.pool.domain = FailureDomainId(options.zone);
    router.target.pool.limit.initial = 8; // a small service has some six slots, and several instances share them
    router.target.pool.limit.least = 2;
    return router;
}

BatchLogOptions batchLogOptions(const NodeOptions &options)
{
    BatchLogOptions log;
    log.instance = options.instance;
    log.recordBytes = options.recordBytes;
    log.callBytes = options.callBytes;
    log.payloadPartitions = options.storePartitions;
    log.followerPace = options.followPace;
    log.index.keepFor = options.resultsKept;
    log.ownership.orderLease = options.orderLease + OrderLeaseMargin;
    if (options.cpuShare < SmallCpuShare) {
        log.ownership.handicap = SmallHandicap;
    }
    return log;
}

EnginePoolOptions poolOptions(const NodeOptions &options)
{
    EnginePoolOptions pool;
    pool.holder = options.instance;
    return pool;
}

std::string seconds(Duration duration)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.2f", std::chrono::duration<double>(duration).count());
    return text.data();
}

} // namespace

/// Hands a forwarded request's answer to the caller.
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
            response.headers.add("Retry-After", seconds(refusal.retryAfter));
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

private:
    void count(int status)
    {
        m_node.m_metrics.answered(m_route, status, BootClock::now() - m_exchange->receivedAt());
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
    , m_client(loop, clientOptions())
    , m_view(loop, store, codec, log, m_options.followPace)
    , m_forwarder(loop, m_client, codec.headers(), log, routerOptions(m_options), m_random())
    , m_batches(loop, store, batchLogOptions(m_options), log, m_random())
    , m_batchService(loop, m_batches, codec, log, {}, m_random())
    , m_pool(loop, m_client, m_forwarder, m_batches, m_view, codec, log, poolOptions(m_options), m_random())
    , m_callers(loop,
                [this](std::shared_ptr<net::Exchange> exchange) {
                    handle(std::move(exchange));
                })
    , m_readiness(loop,
                  [this](std::shared_ptr<net::Exchange> exchange) {
                      handleReadiness(exchange);
                  })
    , m_metricsServer(loop,
                      [this](std::shared_ptr<net::Exchange> exchange) {
                          m_metrics.setPool(m_pool.active(), m_pool.running(), m_pool.waiting());
                          exchange->respond({.body = m_metrics.exposition()});
                      })
    , m_tickTimer(loop)
    , m_drainTimer(loop)
{ }

Node::~Node() = default;

Result<void> Node::start()
{
    for (const auto &[server, address] :
         {std::pair{&m_callers, m_options.callers}, {&m_readiness, m_options.readiness}}) {
        if (Result<void> listening = server->listen(address); !listening) {
            return listening;
        }
    }
    if (m_options.metrics) {
        if (Result<void> listening = m_metricsServer.listen(*m_options.metrics); !listening) {
            m_log.write(EventKind::State, "no-metrics", {{"reason", listening.error().message}});
        }
    }
    m_view.onConfiguration([this] {
        applyLimits();
        publishEndpoints();
        m_pool.configurationChanged();
    });
    m_view.onEndpoints([this] {
        publishEndpoints();
        m_pool.endpointsChanged();
    });
    m_view.onHeartbeat([this](const std::string &endpoint) {
        m_forwarder.endpointAlive(endpoint);
    });
    m_view.onNamedVersion([this] {
        m_pool.tick(BootClock::now());
    });
    m_batches.onOwnership([this](bool owns) {
        m_view.setPace(owns ? m_batches.options().ownerPace : m_options.followPace);
        owns ? m_pool.begin() : m_pool.end();
    });
    m_batches.onChange([this](batch::BatchChange change, const batch::log::Record &record) {
        m_pool.batchChanged(change, record);
    });
    m_batches.onProgress([this] {
        m_batchService.progress();
    });
    m_view.start();
    m_batches.start();
    scheduleTick();
    m_log.write(EventKind::State,
                "start",
                {{"instance", m_options.instance}, {"zone", m_options.zone}, {"callers", toString(m_options.callers)}});
    return {};
}

std::uint16_t Node::callersPort() const
{
    return m_callers.port();
}

bool Node::ownsPool() const
{
    return m_pool.active();
}

void Node::stop(std::function<void()> stopped)
{
    if (m_stopping) {
        return;
    }
    m_log.write(EventKind::State, "stop-requested", {{"pending", std::to_string(m_callers.pending())}});
    m_stopping = true;
    m_stopped = std::move(stopped);
    m_stopAt = BootClock::now();
    m_callers.drain();
    m_pool.save();
    m_batches.retire();
    drainStep();
}

void Node::drainStep()
{
    const Duration passed = BootClock::now() - m_stopAt;
    if (passed >= ServeOnFor) {
        m_callers.closeIdle();
    }
    const bool idle = m_callers.pending() == 0 && m_callers.connections() == 0 && m_batches.unwritten() == 0;
    const bool late = passed >= m_options.grace - GraceMargin;
    if ((passed >= ServeOnFor && idle) || late) {
        m_callers.stopListening();
        m_log.write(EventKind::State, "stop", {{"pending", std::to_string(m_callers.pending())}});
        m_stopped();
        return;
    }
    m_drainTimer.expires_after(DrainTick);
    m_drainTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            drainStep();
        }
    });
}

void Node::handle(std::shared_ptr<net::Exchange> exchange)
{
    const EdgeCall call = m_codec.edgeCall(exchange->request());
    if (std::holds_alternative<RoutedCall>(call)) {
        route(std::move(exchange));
    } else if (const auto *read = std::get_if<ReadResultsCall>(&call)) {
        m_batchService.readResults(*read, std::move(exchange));
    } else if (const auto *item = std::get_if<ReadItemCall>(&call)) {
        m_batchService.readItem(*item, std::move(exchange));
    } else if (const auto *end = std::get_if<EndBatchCall>(&call)) {
        m_batchService.end(*end, std::move(exchange));
    } else if (std::holds_alternative<ReadinessCall>(call)) {
        handleReadiness(exchange);
    } else if (const auto *bad = std::get_if<BadCall>(&call)) {
        refuse(*exchange, BadRequest, bad->problem);
    }
}

void Node::route(std::shared_ptr<net::Exchange> exchange)
{
    const net::Request &request = exchange->request();
    std::string_view host = request.headers.find("Host").value_or("");
    host = host.substr(0, host.find(':'));
    if (m_view.configuration().version() == 0) {
        refuse(*exchange, Unavailable, "no configuration yet");
        return;
    }
    const fleet::Route *route = m_view.configuration().match(host, request.path());
    if (route == nullptr) {
        const bool stale = m_view.configurationAge(BootClock::now()) > StaleAfter;
        refuse(*exchange, stale ? Unavailable : NotFound, stale ? "no route in a stale configuration" : "no route");
        return;
    }
    if (route->kind != fleet::RouteKind::Batch) {
        forward(*route, std::move(exchange));
    } else if (request.method == "POST") {
        m_batchService.submit(std::move(exchange));
    } else {
        refuse(*exchange, MethodNotAllowed, "a batch is submitted with POST");
    }
}

void Node::forward(const fleet::Route &route, std::shared_ptr<net::Exchange> exchange)
{
    const net::Request &request = exchange->request();
    const std::string_view wait = request.headers.find(m_codec.headers().deadline).value_or("");
    std::int64_t milliseconds = 0;
    const bool named = std::from_chars(wait.data(), wait.data() + wait.size(), milliseconds).ec == std::errc();
    ForwardRequest forwarded{.id = std::string(request.headers.find(m_codec.headers().requestId).value_or("")),
                             .request = request,
                             .route = route,
                             .service = chooseService(route, m_random),
                             .receivedAt = exchange->receivedAt(),
                             .callerWaits = named
                                 ? Duration(std::chrono::milliseconds(std::max<std::int64_t>(0, milliseconds)))
                                 : DefaultCallerWait};
    const RequestId id =
        m_forwarder.forward(std::move(forwarded), std::make_shared<CallerSink>(*this, exchange, route.name));
    exchange->onCallerGone([this, id] {
        m_forwarder.callerGone(id);
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
    return !m_stopping && m_view.complete() && m_batches.started() && m_view.configurationAge(now) <= StaleAfter;
}

void Node::refuse(net::Exchange &exchange, int status, std::string_view reason)
{
    m_log.write(EventKind::Request,
                "refused",
                {{"request", std::string(exchange.request().headers.find(m_codec.headers().requestId).value_or(""))},
                 {"status", std::to_string(status)},
                 {"reason", std::string(reason)},
                 {"configuration", std::to_string(m_view.configuration().version())}});
    m_metrics.answered("none", status, BootClock::now() - exchange.receivedAt());
    net::Response response{.status = status, .body = std::string(reason)};
    response.headers.add("Content-Type", "text/plain");
    if (status == Unavailable) {
        response.headers.add("Retry-After", seconds(RetryElsewhere));
    }
    exchange.respond(std::move(response));
}

void Node::publishEndpoints()
{
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
                                            .leaving = endpoint.draining,
                                            .slots = endpoint.slots,
                                            .loadAge = std::chrono::hours(1)});
    }
    m_forwarder.updateEndpoints(table);
}

void Node::applyLimits()
{
    const fleet::CallerLimits &limits = m_view.configuration().limits();
    net::ServerLimits applied;
    applied.headerBytes = limits.headerBytes;
    applied.bodyBytes = limits.bodyBytes;
    applied.requestTimeout = limits.headerTimeout;
    applied.idleTimeout = limits.idleTimeout;
    m_callers.setLimits(applied);
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
    m_batches.allowClaims(m_view.complete());
    m_batches.tick(now);
    m_batchService.tick(now);
    m_pool.tick(now);
    m_log.flush();
    scheduleTick();
}

} // namespace bergamot::node
