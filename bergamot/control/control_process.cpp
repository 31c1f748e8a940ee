#include "bergamot/control/control_process.h"

#include <future>

#include "bergamot/base/metrics.h"
#include "bergamot/control/control_routes.h"
#include "bergamot/control/key_router.h"
#include "bergamot/control/trainer_router.h"
#include "bergamot/control/watched_appender.h"
#include "bergamot/evidence/evidence_chain.h"
#include "bergamot/http/server.h"
#include "bergamot/intents/intent_service.h"
#include "bergamot/journal/batching_appender.h"
#include "bergamot/leases/lease_keeper.h"
#include "bergamot/platform/http_engine_client.h"
#include "bergamot/platform/http_instance_list.h"
#include "bergamot/platform/http_log.h"
#include "bergamot/platform/http_scoring.h"
#include "bergamot/platform/http_weight_store.h"
#include "bergamot/protocol/peer_server.h"
#include "bergamot/rollout/rollout_service.h"
#include "bergamot/routing/routing_view.h"
#include "bergamot/samples/sample_service.h"

namespace bergamot
{

namespace
{

constexpr Duration TickPeriod = std::chrono::milliseconds(100);
constexpr Duration MetricsPeriod = std::chrono::seconds(1);

DisseminationOptions disseminationOptions(const ControlOptions &options)
{
    DisseminationOptions dissemination;
    dissemination.self = {.instance = options.instance,
                          .domain = options.domain,
                          .controlAddress = toString(options.listenAddress),
                          .entryAddress = toString(options.entryAddress)};
    dissemination.incarnation = options.incarnation;
    dissemination.seedPeers = options.seedPeers;
    dissemination.logReaders = options.logReaders;
    dissemination.logTail.checkpoints.maxAge = options.checkpointAge;
    return dissemination;
}

PeerIdentity identityOf(const ControlOptions &options)
{
    return {.sender = options.instance.value(),
            .domain = options.domain.value(),
            .protocol = options.protocol,
            .oldestProtocol = options.oldestProtocol};
}

} // namespace

struct ControlProcess::Impl
{
    explicit Impl(ControlOptions newOptions);

    // Everything below runs on the loop.
    void tick();
    void applied();
    void viewChanged(const inner::ViewT &view);
    void landed(const std::string &stream, Offset offset);
    void handleHttp(const HttpRequest &request, const ResponderPtr &responder);
    void handleFrame(inner::FrameT frame, const PeerServer::Reply &reply);
    void handleForwarded(const inner::ForwardRequestT &forwarded, const PeerServer::Reply &reply);
    bool isDrained() const;
    void reportMetrics();

    FleetNodeEvents nodeEvents();
    FleetView fleetView();
    std::vector<InstanceVersion> instanceVersions() const;
    FleetSnapshot fleetSnapshot() const;

    ControlOptions options;
    ComponentLogger log{"control"};
    SystemClock clock;
    Metrics metrics;
    EventLoop loop;
    HttpClient http;
    PeerClient peers;
    HttpLog platformLog;
    HttpInstanceList list;
    HttpWeightStore store;
    HttpEngineClient engines;
    EndpointProbe probe;
    BatchingAppender batching;
    WatchedAppender appender;

    ConfigurationFold configuration;
    LeaseFold duties;
    StreamReplica configurationReplica;
    StreamReplica dutiesReplica;
    std::string configurationText;
    std::uint64_t configurationTextVersion = 0;

    FleetNode node;
    KeyHomes keys;
    EvidenceChain evidence;
    LeaseKeeper leases;
    GuardedBy<LeaseKeeper> guard;
    IntentService intents;
    RolloutService rollout;
    SampleService samples;
    KeyRouter keyRouter;
    TrainerRouter trainerRouter;

    bool isDraining = false;
    std::shared_ptr<std::promise<void>> drained;
    prometheus::Family<prometheus::Gauge> &versionGauge;
    prometheus::Family<prometheus::Gauge> &trafficGauge;
    prometheus::Family<prometheus::Gauge> &fleetGauge;
    PeerServer frames;
    HttpServer server;
};

ControlProcess::Impl::Impl(ControlOptions newOptions)
    : options(std::move(newOptions))
    , peers(identityOf(options))
    , platformLog(http, options.logAddress)
    , list(http, options.listAddress)
    , store(http, options.weightStoreAddress)
    , engines(http)
    , probe(engines, http)
    , batching({.writer = options.instance.value(), .incarnation = options.incarnation, .queue = {}},
               loop,
               clock,
               platformLog)
    , appender(batching,
               [this](const std::string &stream, Offset offset) {
                   landed(stream, offset);
               })
    , configurationReplica(std::string(ConfigurationStream), configuration)
    , dutiesReplica(std::string(DutiesStream), duties)
    , node({.dissemination = disseminationOptions(options)},
           {loop, clock, peers, platformLog, list, appender, probe},
           {&configurationReplica, &dutiesReplica},
           nodeEvents())
    , keys({.writer = options.instance.value(),
            .incarnation = options.incarnation,
            .logTail = disseminationOptions(options).logTail},
           {loop, clock, platformLog, appender})
    , evidence({.instance = options.instance.value(), .incarnation = options.incarnation}, loop, clock, appender)
    , leases({.holder = options.instance.value(), .incarnation = options.incarnation}, loop, clock, appender, duties)
    , guard(leases)
    , intents({}, loop, clock, appender, configuration, fleetView())
    , rollout({.domain = options.domain}, loop, clock, engines, store, guard, evidence)
    , samples(
          {.instance = options.instance.value(), .incarnation = options.incarnation},
          loop,
          clock,
          engines,
          [this](const Address &address) {
              return std::make_shared<HttpScoring>(http, address);
          },
          evidence,
          metrics)
    , keyRouter(options.instance,
                options.domain,
                node,
                keys,
                [this] {
                    return configuration.configuration().domains;
                })
    , trainerRouter(options.instance,
                    node,
                    [this](const HttpRequest &request, const ResponderPtr &responder) {
                        samples.handle(request, responder);
                    })
    , versionGauge(metrics.gauges("bergamot_config_version", "Version of the configuration in force here."))
    , trafficGauge(metrics.gauges("bergamot_peer_traffic", "Bytes and frames exchanged with peers since the start."))
    , fleetGauge(metrics.gauges("bergamot_fleet_instances", "Instances by condition, seen from here."))
    , frames({.address = options.listenAddress, .identity = identityOf(options)},
             [this](inner::FrameT frame, PeerServer::Reply reply) {
                 const auto moved = std::make_shared<inner::FrameT>(std::move(frame));
                 loop.post([this, moved, reply = std::move(reply)] {
                     handleFrame(std::move(*moved), reply);
                 });
             })
    , server({.address = options.httpAddress}, [this](HttpRequest request, ResponderPtr responder) {
        loop.post([this, request = std::move(request), responder = std::move(responder)] {
            handleHttp(request, responder);
        });
    })
{ }

FleetNodeEvents ControlProcess::Impl::nodeEvents()
{
    return {.configVersion =
                [this] {
                    return configuration.configuration().version;
                },
            .configuration =
                [this] {
                    const Configuration &current = configuration.configuration();
                    if (configurationTextVersion != current.version || configurationText.empty()) {
                        configurationTextVersion = current.version;
                        configurationText = toJson(current).serialize();
                    }
                    return configurationText;
                },
            .domains =
                [this] {
                    return configuration.configuration().domains;
                },
            .applied =
                [this] {
                    applied();
                },
            .viewChanged =
                [this](const inner::ViewT &view) {
                    viewChanged(view);
                }};
}

FleetView ControlProcess::Impl::fleetView()
{
    return {.instances =
                [this] {
                    return instanceVersions();
                },
            .fleet =
                [this] {
                    return fleetSnapshot();
                },
            .caughtUp =
                [this] {
                    return node.isCaughtUp();
                }};
}

std::vector<InstanceVersion> ControlProcess::Impl::instanceVersions() const
{
    std::vector<InstanceVersion> versions;
    for (const InstanceStatus &status : node.dissemination().status().instances) {
        if (status.condition != InstanceCondition::Absent) {
            versions.push_back({status.instance, status.configVersion});
        }
    }
    return versions;
}

FleetSnapshot ControlProcess::Impl::fleetSnapshot() const
{
    FleetSnapshot snapshot;
    const std::shared_ptr<const inner::ViewT> view = node.view();
    for (const auto &endpoint : view->endpoints) {
        if (endpoint->kind == inner::EndpointKind::Engine && endpoint->reachable && !endpoint->leaving) {
            snapshot.engines.push_back({EndpointId(endpoint->id),
                                        ModelId(endpoint->serves),
                                        FailureDomainId(endpoint->domain),
                                        endpoint->version});
        }
    }
    for (const auto &published : view->published) {
        snapshot.published[ModelId(published->model)].newest = published->version;
    }
    return snapshot;
}

void ControlProcess::Impl::tick()
{
    node.tick();
    keyRouter.tick();
    if (!isDraining) {
        rollout.tick();
    }
    leases.tick();
    intents.tick();
    keys.tick();
    samples.tick();
    node.suspectsSeen(toFrames(samples.takeSuspectChanges()));
    evidence.tick();
    for (const auto &[model, config] : configuration.configuration().models) {
        if (const WeightVersion version = rollout.published(model); version > 0) {
            node.published(model, version);
        }
    }
    if (drained && isDrained()) {
        std::exchange(drained, nullptr)->set_value();
    }
}

void ControlProcess::Impl::applied()
{
    leases.onApplied();
    intents.onApplied();
}

void ControlProcess::Impl::viewChanged(const inner::ViewT &view)
{
    rollout.onView(view);
    samples.onView(view);
}

void ControlProcess::Impl::landed(const std::string &stream, Offset offset)
{
    if (keys.landed(stream)) {
        return;
    }
    if (stream == ConfigurationStream || stream == DutiesStream) {
        node.expect(stream, offset);
    }
}

void ControlProcess::Impl::handleHttp(const HttpRequest &request, const ResponderPtr &responder)
{
    if (request.path == "/healthz") {
        responder->reply({.body = R"({"healthy":true})"});
    } else if (request.path == "/readyz") {
        responder->reply(readinessResponse({isDraining, node.isCaughtUp(), configuration.configuration().version}));
    } else if (request.path == "/metrics") {
        responder->reply({.body = metrics.exposition(), .contentType = "text/plain; version=0.0.4"});
    } else if (request.path == "/v1/fleet") {
        responder->reply(fleetResponse(node.dissemination().status(), node.dissemination()));
    } else if (trainerIn(request.path)) {
        trainerRouter.handle(request, responder, 0);
    } else if (IntentService::serves(request.path)) {
        intents.handle(request, responder);
    } else {
        responder->reply(errorResponse({ErrorCode::NotFound, "There is nothing at " + request.path + ".", {}}));
    }
}

void ControlProcess::Impl::handleFrame(inner::FrameT frame, const PeerServer::Reply &reply)
{
    switch (frame.body.type) {
    case inner::Body::Digest:
        reply(node.digestReceived(frame));
        return;
    case inner::Body::ViewRequest:
        reply(node.viewRequested(*frame.body.AsViewRequest()));
        return;
    case inner::Body::KeyClaim:
    case inner::Body::KeyOutcome:
        keyRouter.handle(std::move(frame), reply);
        return;
    case inner::Body::ForwardRequest:
        handleForwarded(*frame.body.AsForwardRequest(), reply);
        return;
    default:
        reply(makeRefusal(UnknownBodyRefusal, "a control process takes no such request"));
    }
}

void ControlProcess::Impl::handleForwarded(const inner::ForwardRequestT &forwarded, const PeerServer::Reply &reply)
{
    const HttpRequest request = fromForwardRequest(forwarded);
    const ResponderPtr responder = makeForwardResponder(reply);
    if (!trainerIn(request.path)) {
        responder->reply(errorResponse({ErrorCode::NotFound, "Only trainers' requests are passed on.", {}}));
        return;
    }
    trainerRouter.handle(request, responder, forwarded.hops);
}

bool ControlProcess::Impl::isDrained() const
{
    return leases.allHandedBack() && evidence.pending() == 0;
}

void ControlProcess::Impl::reportMetrics()
{
    versionGauge.Add({}).Set(static_cast<double>(configuration.configuration().version));
    const Traffic sent = peers.traffic();
    const Traffic received = frames.traffic();
    const auto bytes =
        static_cast<double>(sent.bytesSent + sent.bytesReceived + received.bytesSent + received.bytesReceived);
    trafficGauge.Add({{"unit", "bytes"}}).Set(bytes);
    const auto frameCount = static_cast<double>(sent.framesSent + received.framesReceived);
    trafficGauge.Add({{"unit", "requests"}}).Set(frameCount);
    std::map<InstanceCondition, std::size_t> conditions;
    for (const InstanceStatus &status : node.dissemination().status().instances) {
        ++conditions[status.condition];
    }
    for (const auto condition : {InstanceCondition::InForce,
                                 InstanceCondition::Behind,
                                 InstanceCondition::Joining,
                                 InstanceCondition::Absent,
                                 InstanceCondition::Unheard}) {
        const std::string name(conditionName(condition));
        fleetGauge.Add({{"condition", name}}).Set(static_cast<double>(conditions[condition]));
    }
}

ControlProcess::ControlProcess(ControlOptions options)
    : m_impl(std::make_unique<Impl>(std::move(options)))
{ }

ControlProcess::~ControlProcess()
{
    m_impl->loop.stop();
}

Result<void> ControlProcess::start()
{
    if (Result<void> started = m_impl->frames.start(); !started) {
        return started;
    }
    if (Result<void> started = m_impl->server.start(); !started) {
        return started;
    }
    m_impl->loop.every(TickPeriod, [impl = m_impl.get()] {
        impl->tick();
    });
    m_impl->loop.every(MetricsPeriod, [impl = m_impl.get()] {
        impl->reportMetrics();
    });
    return {};
}

void ControlProcess::post(std::function<void()> task)
{
    m_impl->loop.post(std::move(task));
}

void ControlProcess::shutDown(std::chrono::milliseconds limit)
{
    const auto drained = std::make_shared<std::promise<void>>();
    std::future<void> isDrained = drained->get_future();
    m_impl->loop.post([impl = m_impl.get(), drained] {
        impl->isDraining = true;
        impl->node.startDraining();
        impl->leases.giveBackAll();
        impl->drained = drained;
    });
    isDrained.wait_for(limit);
    m_impl->server.drain(limit);
    m_impl->server.stop();
    m_impl->frames.stop();
}

} // namespace bergamot
