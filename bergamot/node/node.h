#pragma once

// One instance of the service; all its components run on one event loop. All instances are alike; the batch log decides
// which of them owns the engines.
//
//     Node node(loop, store, codec, log, options);
//     node.start();
//     loop.run();

#include <functional>
#include <memory>
#include <random>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bergamot/base/event_log.h"
#include "bergamot/net/http_client.h"
#include "bergamot/net/http_server.h"
#include "bergamot/node/batch_log.h"
#include "bergamot/node/batch_service.h"
#include "bergamot/node/endpoint_reach.h"
#include "bergamot/node/engine_pool.h"
#include "bergamot/node/fleet_view.h"
#include "bergamot/node/node_metrics.h"
#include "bergamot/node/platform_codec.h"
#include "bergamot/node/quota_exchange.h"
#include "bergamot/node/relay_client.h"
#include "bergamot/node/relay_service.h"
#include "bergamot/node/request_forwarder.h"
#include "bergamot/node/stop_policy.h"
#include "bergamot/node/stream_registry.h"
#include "bergamot/node/usage_reporter.h"
#include "bergamot/reach/claim_rule.h"

namespace bergamot::node
{

/// How requests of callers are placed on the endpoints of a service.
enum class Placement {
    Automatic, // by completion if endpoints report how slow they are, or tenants share them; else by domain
    ByDomain, // the own failure domain first; others when it is nearly full
    ByCompletion, // where the request is expected to be complete first
};

struct NodeOptions
{
    std::string instance;
    std::string zone;
    Address callerAddress; // listen address for callers
    Address readinessAddress; // listen address for the readiness checks of the platform
    std::optional<Address> metricsAddress; // listen address for metrics
    std::optional<Address> peerAddress; // listen address for other instances
    std::size_t maxRecordBytes = 256 * 1024; // limit of the store for a record
    std::size_t maxCallBytes = 2 * 1024 * 1024; // limit of the store for the records of one call
    std::uint32_t storePartitions = 12; // partitions per topic
    std::size_t memoryBytes = std::size_t{512} * 1024 * 1024; // of the machine, for this process
    std::size_t descriptors = 8192; // file descriptors that the process may have
    double cpuShare = 1.0; // share of a core; a small instance owns the engines only if no other instance does
    Duration gracePeriod = std::chrono::seconds(8); // from the stop request until the process is killed
    Duration resultsKept = std::chrono::seconds(120); // from a batch's submission until its results are dropped
    Duration poolExpiry = std::chrono::milliseconds(1600); // silence of the pool's owner after which it is succeeded
    Duration orderLease = std::chrono::seconds(3); // minimum time between orders of two holders to one engine
    std::optional<Address> usageAddress; // of the platform's service that takes usage reports; none: not reported
    Duration usageWindow = std::chrono::seconds(5);
    Duration usageDue = std::chrono::seconds(10); // from the end of a window until its report is due
    Placement placement = Placement::Automatic;
    bool strictRevocation = false; // keys do not count while the configuration is older than `revocationBound`
    Duration revocationBound = std::chrono::seconds(5);
    Duration followInterval = std::chrono::milliseconds(200); // delay after a read of a topic that returned records
    std::uint64_t seed = 0;
};

/// Serves callers from `start` until `stop` has finished. Not thread-safe.
class Node
{
public:
    Node(boost::asio::io_context &loop,
         logstore::LogStore &store,
         const PlatformCodec &codec,
         EventLog &log,
         NodeOptions options);
    ~Node();

    /// Opens the listening ports and starts following the store. Fails if the port for callers or readiness checks
    /// cannot be opened.
    Result<void> start();
    /// Port that callers connect to; the actual one if `callerAddress` has port 0.
    std::uint16_t callersPort() const;
    /// Whether callers may be sent here: the views are complete, the configuration is recent, and no stop was
    /// requested.
    bool ready() const;
    /// Whether this instance owns the engines.
    bool ownsPool() const;
    /// Stops gracefully: reports not ready, releases the pool, and serves until no caller is left, but for calls that
    /// may not end within the grace period. At its end every call gets an answer; then `stopped` runs.
    void stop(std::function<void()> stopped);

private:
    class CallerSink;

    static constexpr Duration RetryElsewhere = std::chrono::milliseconds(300); // another instance may respond at once

    /// Connections of one listener that were closed, and requests that were refused, for one reason.
    struct ReleaseCount
    {
        std::uint64_t count = 0;
        std::size_t largestBytes = 0; // that one of them held
        Duration longestStall{};
    };

    /// The caller of an admitted call.
    struct Caller
    {
        bool known = false; // the deployment has tenants, so what the caller names is scoped to its tenant
        std::string tenant; // empty: a public call
        std::optional<tenants::KeyDigest> key; // nothing: it has none
    };

    void handleCall(std::shared_ptr<net::Exchange> exchange);
    /// Serves a call once its caller is admitted. `confirmed`: no newer configuration was in the store when it came.
    void admitCall(const ServiceCall &call, std::shared_ptr<net::Exchange> exchange, bool confirmed);
    /// Waits for the newest configuration, since the caller's key may be in it.
    void admitUnknownKey(const ServiceCall &call, const std::shared_ptr<net::Exchange> &exchange);
    void serveCall(const ServiceCall &call, const Caller &caller, std::shared_ptr<net::Exchange> exchange);
    /// Whether the call needs no key.
    bool isPublic(const ServiceCall &call, const net::Request &request) const;
    void handlePeerCall(const std::shared_ptr<net::Exchange> &exchange);
    void routeRequest(const Caller &caller, std::shared_ptr<net::Exchange> exchange);
    /// Forwards a request; one that resumes a stream goes only to endpoints of `softwareVersion`.
    void forwardRequest(const fleet::Route &route,
                        const std::string &service,
                        const std::string &softwareVersion,
                        const Caller &caller,
                        std::shared_ptr<net::Exchange> exchange);
    /// Forwards a request that takes up a stream to the service and software version that began it, or refuses it.
    void resumeStream(const fleet::Route &route, const Caller &caller, std::shared_ptr<net::Exchange> exchange);
    void handleReadiness(const std::shared_ptr<net::Exchange> &exchange);
    static constexpr std::size_t OutgoingPart = 2; // of all sockets, one half, unless more are in use
    /// Connections that a listener or the client may have if it gets one part in `part` of all sockets.
    std::size_t maxConnections(std::size_t part) const;
    static std::string retryAfterText(Duration duration);
    /// Sets what each listener may hold, and what is told of connections that are closed for that.
    void boundListeners();
    void recordRelease(std::string_view listener, const net::Release &release);
    /// Logs what was released since the last call, one line for each listener and reason.
    void logReleases();
    void refuse(net::Exchange &exchange, int status, std::string_view reason, Duration retryAfter = RetryElsewhere);
    /// Reports what this instance has learned about requests that crash endpoints.
    void shareCrashReports();
    void updateRoutingTable();
    /// Asks the endpoint for its report, which names its process.
    void
    proveProcess(const EndpointProcess &process, const Address &address, const RequestForwarder::ProcessProven &done);
    /// Sends a request through another instance if this one is cut off from the endpoints, or seems to be.
    bool relayRequest(const UnservedRequest &unserved);
    void reachChanged();
    Duration drawUpTo(Duration most);
    /// Announces this instance when something about it changes, and from time to time.
    void announce(TimePoint now, bool stopping);
    /// Whether this instance may claim the engine pool: it reaches endpoints, or nobody who does has claimed it.
    bool mayClaimPool(TimePoint now);
    reach::ClaimPhase claimPhase(TimePoint now) const;
    /// Gives the engine pool up if this instance is cut off from the endpoints and another one is not.
    void yieldPoolIfCutOff(TimePoint now);
    void applyLimits();
    void choosePlacement();
    /// Tells all instances of endpoints in need, if this one owns the pool and so sees much of them.
    void shareOutlooks(TimePoint now);
    void scheduleTick();
    void tick();
    void continueDrain();
    /// Gives every call that still waits its last answer.
    void endCalls();
    /// Whether a call on the route is taken, as far as a stop allows it; else it is refused as not run.
    bool takesCall(const fleet::Route &route, net::Exchange &exchange);
    /// How long the caller waits for the answer to its request.
    Duration callerWait(const net::Request &request) const;
    /// When a caller that is refused because of a stop may come again.
    Duration retryAfterStop() const;
    void probePoolOwner(const std::string &owner, const std::string &address);

    boost::asio::io_context &m_loop;
    const PlatformCodec &m_codec;
    EventLog &m_log;
    NodeOptions m_options;
    std::mt19937_64 m_random;
    NodeMetrics m_metrics;
    net::MemoryAccount m_memory; // what is held for callers, other instances and their requests
    net::HttpClient m_client;
    FleetView m_view;
    BatchLog m_batchLog;
    QuotaExchange m_quota;
    StreamRegistry m_streams;
    UsageReporter m_usage;
    EndpointReach m_reach;
    RequestForwarder m_forwarder;
    RelayClient m_relayClient;
    RelayService m_relayService;
    BatchService m_batchService;
    EnginePool m_pool;
    net::HttpServer m_callerServer;
    net::HttpServer m_readinessServer;
    net::HttpServer m_metricsServer;
    net::HttpServer m_peerServer;
    cost::OutlookSharing m_outlookSharing;
    boost::asio::steady_timer m_tickTimer;
    boost::asio::steady_timer m_drainTimer;
    StopPolicy m_stopPolicy;
    std::function<void()> m_stoppedHandler;
    TimePoint m_announceAt{}; // time of the next announcement
    TimePoint m_reachAskedAt{}; // others were asked whether they reach endpoints
    reach::ClaimRule m_claimRule;
    std::map<std::pair<std::string_view, net::ReleaseReason>, ReleaseCount> m_releases; // since they were last logged
    bool m_announcedReach = true;
    bool m_claimPutOff = false;
    bool m_yielding = false; // the pool is being given up
    bool m_slownessReported = false; // an endpoint has reported how slow it is
    bool m_placesByCompletion = false;
    bool m_wasReady = false;
    bool m_callsEnded = false;
};

} // namespace bergamot::node
