#pragma once

// The work of the instance that owns the engines: runs samples, has them scored, lists their results in the batch log,
// and gives engines their weight versions. The shell around `SampleScheduler` and `nextLoad`.
//
//     EnginePool pool(loop, client, forwarder, log, view, codec, eventLog, {.holder = "node-1"}, seed);
//     log.onOwnership([&](bool owns) { owns ? pool.begin() : pool.end(); });

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bergamot/dispatch/event_stream.h"
#include "bergamot/dispatch/load_planner.h"
#include "bergamot/dispatch/sample_scheduler.h"
#include "bergamot/net/http_client.h"
#include "bergamot/node/batch_log.h"
#include "bergamot/node/fleet_view.h"
#include "bergamot/node/request_forwarder.h"

namespace bergamot::node
{

struct EnginePoolOptions
{
    std::string holder; // names this instance in orders to engines
    dispatch::SampleSchedulerOptions scheduler;
    dispatch::LoadPlannerOptions loads;
    Duration connectTimeout = std::chrono::milliseconds(400); // hundreds of round trips within a region
    Duration headTimeout = std::chrono::milliseconds(1500); // an engine begins a sample within tens of milliseconds
    Duration gapTimeout = std::chrono::milliseconds(1200); // longer than an engine pauses to take new weights
    Duration usualLoad = std::chrono::milliseconds(920); // before an engine is asked again after an order
    Duration confirmEvery = std::chrono::milliseconds(250); // reports lag by some hundred milliseconds
    Duration loadPatience = std::chrono::seconds(6); // before an order without visible effect is given again
    Duration orderTimeout = std::chrono::milliseconds(700);
    Duration orderPause = std::chrono::milliseconds(250); // before an engine is asked for its report again
    Duration loadFailurePause = std::chrono::milliseconds(600); // before another order after a failed one
    Duration intentValidFor = std::chrono::milliseconds(500); // from writing an intent to sending the order
    Duration routeGoneAfter = std::chrono::seconds(5); // a batch may be known before the configuration with its route
    Duration freshConfiguration = std::chrono::milliseconds(1500); // two long reads
    int sampleUrgency = 7; // of 0 to 9; samples yield to callers' requests
};

/// Not thread-safe.
class EnginePool
{
public:
    EnginePool(boost::asio::io_context &loop,
               net::HttpClient &client,
               RequestForwarder &forwarder,
               BatchLog &log,
               FleetView &view,
               const PlatformCodec &codec,
               EventLog &eventLog,
               EnginePoolOptions options,
               std::uint64_t seed);
    ~EnginePool();

    /// This instance owns the pool from now on: takes up the open batches.
    void begin();
    /// Saves what has arrived of every text for the next owner.
    void save();
    /// Cancels what runs here.
    void end();
    bool active() const;
    void batchChanged(batch::BatchChange change, const batch::log::Record &record);
    void endpointsChanged();
    void configurationChanged();
    void tick(TimePoint now);
    std::size_t running() const;
    std::size_t waiting() const;

private:
    class ScoringSink;
    friend class ScoringSink;

    struct ActiveRun
    {
        dispatch::ItemKey key;
        std::string engine;
        std::string model;
        std::shared_ptr<net::ClientCall> call;
        dispatch::EventStreamReader reader;
        int status = 0;
        bool notExecuted = false;
        bool expectsVersion = false;
        std::uint64_t version = 0;
        bool hasEvents = false;
    };

    /// Where the items of a batch are routed by.
    struct BatchAddress
    {
        std::string host;
        std::string itemPath;
        std::string scoringHost;
        std::string scoringPath;
        std::optional<TimePoint> withoutRouteSince;
    };

    enum class LoadPhase {
        Intending, // the intent is being written
        Asking, // for the engine's report
        Ordering,
        Loading, // the engine has accepted the order
        Pausing, // before the engine is asked again
    };

    struct Load
    {
        std::string engine;
        std::string model;
        std::uint64_t version = 0;
        LoadPhase phase = LoadPhase::Intending;
        TimePoint since{}; // of the phase
        TimePoint intendedAt{};
        bool assumed = false; // taken as done; waits for confirmation
        TimePoint confirmAt{};
        bool asking = false; // for a report that confirms it
    };

    void takeEndpoints();
    void loadBatch(const std::string &batch);
    /// Adds a batch that has been read, with what earlier owners saved of its texts.
    void restoreProgress(batch::Batch loaded);
    std::optional<dispatch::ItemRoute> routeOf(const BatchAddress &address) const;
    void perform();
    void startRun(const dispatch::StartRun &action);
    void runHead(dispatch::RunId id, const net::ResponseHead &head);
    void runData(dispatch::RunId id, std::string_view data);
    void runEnd(dispatch::RunId id, const net::CallEnd &end);
    void endRun(dispatch::RunId id, dispatch::RunEnd end, std::string_view reason);
    void startScoring(const dispatch::ItemKey &key);
    void scoringEnded(const dispatch::ItemKey &key, int status, const net::Response *response);
    void listResult(const batch::ItemResult &result);
    void saveProgress(const batch::ItemProgress &progress);
    /// Gives up the batches whose route is gone for good.
    void checkRoutes(TimePoint now);
    void planLoads(TimePoint now);
    void beginLoad(const dispatch::PlannedLoad &planned);
    void askReport(const std::string &engine);
    void takeReport(const std::string &engine, const EngineReport &report);
    /// Asks an engine whose load is only assumed.
    void confirmLoad(const std::string &engine);
    void sendOrder(const std::string &engine);
    void orderAnswered(const std::string &engine, int status, const net::CallEnd &end);
    /// An engine's own word of its version ends the load that was to bring it.
    void noteVersion(const ActiveRun &run);
    void pauseLoad(Load &load);
    void endLoad(const std::string &engine, std::string_view reason);
    /// The same, and the engine gets no order for a while.
    void failLoad(const std::string &engine, std::string_view reason);
    void advanceLoads(TimePoint now);
    void callEngine(const std::string &engine,
                    const net::Request &request,
                    std::function<void(int status, const std::string &body, const net::CallEnd &end)> done);

    boost::asio::io_context &m_loop;
    net::HttpClient &m_client;
    RequestForwarder &m_forwarder;
    BatchLog &m_log;
    FleetView &m_view;
    const PlatformCodec &m_codec;
    EventLog &m_eventLog;
    EnginePoolOptions m_options;
    std::mt19937_64 m_random;
    dispatch::SampleScheduler m_scheduler;
    std::map<dispatch::RunId, ActiveRun> m_runs;
    std::map<dispatch::ItemKey, RequestId> m_scorings;
    std::map<std::string, BatchAddress> m_addresses;
    dispatch::EngineHomes m_homes;
    std::map<std::string, Load> m_loads; // by engine
    std::map<std::string, TimePoint> m_loadNotBefore; // engines whose last load failed
    std::map<std::string, std::uint64_t> m_orderCounts; // accepted by each engine, as last reported
    std::map<std::string, std::uint64_t> m_incarnations;
    std::uint64_t m_turn = 0; // tells answers of an earlier ownership from the present one
    bool m_active = false;
    bool m_performing = false;
    bool m_endpointsChanged = false; // since the last tick
};

} // namespace bergamot::node
