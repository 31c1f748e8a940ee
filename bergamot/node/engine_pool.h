#pragma once

// The work of the instance that owns the engines: it runs samples, has them scored, commits their results to the batch
// log, and orders engines to load weight versions. This is the I/O layer around `SampleScheduler` and `nextLoads`.
//
//     EnginePool pool(loop, client, forwarder, log, view, codec, eventLog, {.holder = "node-1"}, seed);
//     log.onOwnership([&](bool owns) { owns ? pool.begin() : pool.end(); });

#include <deque>
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
#include "bergamot/fleet/route_absence.h"
#include "bergamot/net/http_client.h"
#include "bergamot/node/batch_log.h"
#include "bergamot/node/fleet_view.h"
#include "bergamot/node/item_policy.h"
#include "bergamot/node/quota_exchange.h"
#include "bergamot/node/request_forwarder.h"

namespace bergamot::node
{

struct EnginePoolOptions
{
    std::string holder; // name of this instance in orders to engines
    dispatch::SampleSchedulerOptions scheduler;
    dispatch::LoadPlannerOptions loads;
    Duration connectTimeout = std::chrono::milliseconds(400); // hundreds of times the round trip within a region
    Duration headTimeout = std::chrono::milliseconds(1500); // engines respond within tens of milliseconds
    Duration gapTimeout = std::chrono::milliseconds(1200); // longer than the pause of an engine that loads weights
    std::size_t maxBytesWithoutEvent = std::size_t{256} * 1024; // of the response to a run; an event is a few tokens
    Duration expectedLoadTime = std::chrono::milliseconds(920); // a load is assumed to be done after this time
    Duration confirmInterval = std::chrono::milliseconds(250); // reports lag by some hundred milliseconds
    Duration loadOverdueAfter = std::chrono::seconds(4); // then the load may never end: others need not wait for it
    Duration loadTimeout = std::chrono::seconds(6); // an order without visible effect is repeated after this time
    Duration orderTimeout = std::chrono::milliseconds(700);
    Duration retryPause = std::chrono::milliseconds(250); // before a report request or a read of a batch is repeated
    Duration loadFailurePause = std::chrono::milliseconds(600); // before the next order to an engine whose load failed
    Duration intentValidFor = std::chrono::milliseconds(500); // from sending an intent to sending the order
    fleet::RouteAbsenceOptions routeAbsence;
    int sampleUrgency = 7; // 0 (first) to 9; samples yield to callers' requests
};

/// Idle unless this instance owns the pool. Not thread-safe.
class EnginePool
{
public:
    EnginePool(boost::asio::io_context &loop,
               net::HttpClient &client,
               RequestForwarder &forwarder,
               BatchLog &log,
               FleetView &view,
               QuotaExchange &quota,
               const PlatformCodec &codec,
               EventLog &eventLog,
               EnginePoolOptions options,
               std::uint64_t seed);
    ~EnginePool();

    /// This instance has become the owner of the pool: resumes the open batches.
    void begin();
    /// Saves the received part of every sample for the next owner.
    void save();
    /// This instance has lost the ownership: cancels all runs, scoring requests and loads.
    void end();
    bool active() const;
    /// A record that changed a batch has been applied to the index.
    void batchChanged(batch::BatchChange change, const batch::log::Record &record);
    void endpointsChanged();
    /// The process of the endpoint with this incarnation was alive at `aliveAt`.
    void endpointAlive(const std::string &endpoint, std::uint64_t incarnation, TimePoint aliveAt);
    /// An endpoint said that it is leaving. An engine gets no run, order or report request from now on.
    void endpointLeaving();
    void configurationChanged();
    /// Applies endpoint changes, expires timeouts and plans loads. Call it some twenty times a second.
    void tick(TimePoint now);
    /// Number of runs in progress.
    std::size_t runningSamples() const;
    /// Number of samples that wait for an engine.
    std::size_t waitingSamples() const;
    /// What is kept of the open batches.
    dispatch::SchedulerMemory memory() const;

private:
    class ScoringSink;
    friend class ScoringSink;

    struct ActiveRun
    {
        dispatch::ItemKey key;
        std::string engine;
        std::uint64_t incarnation = 0; // of the engine
        std::string model;
        std::shared_ptr<net::ClientCall> call;
        dispatch::EventStreamReader reader;
        int status = 0;
        bool notExecuted = false;
        bool expectsVersion = false;
        std::uint64_t version = 0;
        bool resumed = false; // it goes on after an event of an earlier run
        bool hasEvents = false;
        TimePoint progressAt{}; // of the head or the last event
        std::size_t bytesSinceProgress = 0;
    };

    /// What decides on the routes of the items of a batch.
    struct BatchRoutes
    {
        BatchOrigin origin;
        std::map<std::uint32_t, fleet::RouteAbsence> absences; // by item, of those without a route
    };

    enum class LoadPhase {
        WritingIntent,
        RequestingReport,
        SendingOrder,
        Loading, // the engine has accepted the order
        WaitingToRetry, // until the next report request
    };

    struct Load
    {
        std::string engine;
        std::string model;
        std::uint64_t version = 0;
        LoadPhase phase = LoadPhase::WritingIntent;
        TimePoint beganAt{}; // of the first order, if it is repeated
        TimePoint phaseStart{};
        TimePoint intentAt{}; // start of writing the intent; once written, when the acknowledged call was sent
        bool assumedLoaded = false; // expected to be done; waits for confirmation by a report
        TimePoint nextConfirmAt{};
        bool confirming = false; // a report request for the confirmation is in flight
    };

    dispatch::SampleSchedulerOptions schedulerOptions();
    void applyEndpoints();
    struct Take;

    /// A batch that is taken up once there is memory for it.
    struct WaitingBatch
    {
        std::string id;
        bool deferred = false; // for lack of memory; for logs
    };

    void takeUp(const std::string &batch);
    /// Reads the batches that fit into memory, in the order of acceptance.
    void takeUpWaiting();
    void readNextParts(const std::shared_ptr<Take> &take);
    void handleParts(const std::shared_ptr<Take> &take, bool complete, std::vector<LogRecord> records);
    /// Adds the items of the next part; without their contents if these do not fit into memory.
    void addPart(Take &take, std::vector<batch::Item> items);
    void endTake(const std::string &batch);
    /// Reads the partial samples that earlier owners saved, and adds the batch to the scheduler.
    void restoreProgress(const std::shared_ptr<Take> &take);
    void addTakenBatch(Take &take, bool progressComplete, const std::vector<LogRecord> &progress);
    void readContents(const dispatch::ReadContents &action);
    void handleContents(const dispatch::ReadContents &action, const std::vector<LogRecord> &records);
    void logHeldStarts();
    /// Notes which items of the batch have no route.
    void updateAbsences(const std::string &batch, BatchRoutes &routes);
    void performActions();
    void startRun(const dispatch::StartRun &action);
    void handleRunHead(dispatch::RunId id, const net::ResponseHead &head);
    void handleRunData(dispatch::RunId id, std::string_view data);
    void handleRunEnd(dispatch::RunId id, const net::CallEnd &end);
    /// Ends the runs whose response goes on without an event.
    void endRunsWithoutProgress(TimePoint now);
    /// Closes the connection of a run and ends it.
    void breakOffRun(dispatch::RunId id, dispatch::RunOutcome outcome, std::string_view reason);
    void endRun(dispatch::RunId id, dispatch::RunOutcome outcome, std::string_view reason);
    /// Logs why a run ended without a whole text.
    void writeRunEnd(const ActiveRun &run, std::string_view reason);
    void startScoring(const dispatch::ItemKey &key);
    /// Whether the limits of the endpoints that score the item admit a call now; takes a token for it.
    bool mayScore(const batch::Item &item);
    /// `response` is null if the call was refused; it may be repeated after `retryAfter`.
    void handleScoringEnd(const dispatch::ItemKey &key,
                          int status,
                          const net::Response *response,
                          Duration retryAfter = Duration::zero());
    void commitResult(const batch::ItemResult &result);
    void saveProgress(const batch::ItemProgress &progress);
    /// Reports items whose route counts as removed to the scheduler.
    void checkRoutes(TimePoint now);
    void planLoads(TimePoint now);
    void beginLoad(const dispatch::PlannedLoad &planned);
    void requestReport(const std::string &engine);
    void applyReport(const std::string &engine, const EngineReport &report);
    /// Requests the report of an engine whose load is assumed to be done.
    void confirmLoad(const std::string &engine);
    void sendOrder(const std::string &engine);
    void handleOrderResponse(const std::string &engine, int status, const net::CallEnd &end);
    /// Ends the load of an engine when the response to a run carries the loaded version or a newer one.
    void endLoadIfVersionReached(const ActiveRun &run);
    /// Whether another owner may order the engine by now, as the intent was written too long ago.
    bool intentExpired(const Load &load) const;
    void pauseLoad(Load &load);
    void endLoad(const std::string &engine, std::string_view reason);
    /// Ends a load that failed; the engine gets no order for `loadFailurePause`.
    void failLoad(const std::string &engine, std::string_view reason);
    void advanceLoads(TimePoint now);
    /// Calls an engine about its load; `kind` names the call in logs. Fails the load of an engine that is leaving.
    /// Returns false if the limit of the engine admits no call now; nothing was sent then.
    bool callEngine(const std::string &engine,
                    std::string_view kind,
                    const net::Request &request,
                    CallPriority priority,
                    std::function<void(int status, const std::string &body, const net::CallEnd &end)> done);

    boost::asio::io_context &m_loop;
    net::HttpClient &m_client;
    RequestForwarder &m_forwarder;
    BatchLog &m_log;
    FleetView &m_view;
    QuotaExchange &m_quota;
    const PlatformCodec &m_codec;
    EventLog &m_eventLog;
    EnginePoolOptions m_options;
    std::mt19937_64 m_random;
    dispatch::SampleScheduler m_scheduler;
    std::map<dispatch::RunId, ActiveRun> m_runs;
    std::map<dispatch::ItemKey, RequestId> m_scoringRequests;
    std::map<std::string, BatchRoutes> m_routes; // by batch
    dispatch::ModelAssignments m_modelAssignments;
    std::map<std::string, Load> m_loads; // load in progress by engine
    std::map<std::string, TimePoint> m_earliestNextLoad; // by engine; present if its last load failed
    std::map<std::string, std::uint64_t> m_acceptedOrders; // last reported count of accepted orders by engine
    std::map<std::string, std::uint64_t> m_incarnations; // by engine
    std::uint64_t m_generation = 0; // changes with the ownership; invalidates callbacks of an earlier one
    std::deque<WaitingBatch> m_waitingBatches; // in the order of acceptance
    std::map<std::string, std::shared_ptr<Take>> m_takes; // by batch
    bool m_startsHeld = false; // as last logged
    bool m_active = false;
    bool m_performing = false;
    bool m_endpointsChanged = false; // since the last tick
};

} // namespace bergamot::node
