#pragma once

// One instance of the service: every part of it on one loop. All instances are alike; the log tells which of them owns
// the engines.
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
#include "bergamot/node/engine_pool.h"
#include "bergamot/node/fleet_view.h"
#include "bergamot/node/node_metrics.h"
#include "bergamot/node/platform_codec.h"
#include "bergamot/node/request_forwarder.h"

namespace bergamot::node
{

struct NodeOptions
{
    std::string instance;
    std::string zone;
    Address callers; // where callers connect
    Address readiness; // where the platform asks whether this instance takes callers
    std::optional<Address> metrics;
    std::size_t recordBytes = 256 * 1024; // limits of the store
    std::size_t callBytes = 2 * 1024 * 1024;
    std::uint32_t storePartitions = 12; // of a topic
    double cpuShare = 1.0; // of a core; a small one owns the engines only if no other instance does
    Duration grace = std::chrono::seconds(8); // from the request to stop until the process is killed
    Duration resultsKept = std::chrono::seconds(120); // after a batch's submission
    Duration orderLease = std::chrono::seconds(3); // between orders of two holders to one engine
    Duration followPace = std::chrono::milliseconds(200); // between two reads of a topic that brought records
    std::uint64_t seed = 0;
};

/// Not thread-safe.
class Node
{
public:
    Node(boost::asio::io_context &loop,
         logstore::LogStore &store,
         const PlatformCodec &codec,
         EventLog &log,
         NodeOptions options);
    ~Node();

    /// Listens and begins to follow the store.
    Result<void> start();
    /// Where callers connect; tells the port if a free one was asked for.
    std::uint16_t callersPort() const;
    bool ready() const;
    /// Whether this instance owns the engines.
    bool ownsPool() const;
    /// Stops gracefully: not ready, serve on, hand the pool over, close; then `stopped` runs.
    void stop(std::function<void()> stopped);

private:
    class CallerSink;

    void handle(std::shared_ptr<net::Exchange> exchange);
    void route(std::shared_ptr<net::Exchange> exchange);
    void forward(const fleet::Route &route, std::shared_ptr<net::Exchange> exchange);
    void handleReadiness(const std::shared_ptr<net::Exchange> &exchange);
    void refuse(net::Exchange &exchange, int status, std::string_view reason);
    void publishEndpoints();
    void applyLimits();
    void scheduleTick();
    void tick();
    void drainStep();

    boost::asio::io_context &m_loop;
    const PlatformCodec &m_codec;
    EventLog &m_log;
    NodeOptions m_options;
    std::mt19937_64 m_random;
    NodeMetrics m_metrics;
    net::HttpClient m_client;
    FleetView m_view;
    RequestForwarder m_forwarder;
    BatchLog m_batches;
    BatchService m_batchService;
    EnginePool m_pool;
    net::HttpServer m_callers;
    net::HttpServer m_readiness;
    net::HttpServer m_metricsServer;
    boost::asio::steady_timer m_tickTimer;
    boost::asio::steady_timer m_drainTimer;
    std::function<void()> m_stopped;
    TimePoint m_stopAt{}; // when the request to stop came
    bool m_wasReady = false;
    bool m_stopping = false;
};

} // namespace bergamot::node
