#pragma once

// Decides which sample runs next on which engine, until every item of every open batch has its result. Pure: what
// happened and the time come in, actions go out.
//
//     SampleScheduler scheduler({});
//     scheduler.setEngines(engines, now);
//     scheduler.addBatch(batch, listed, route, now);
//     for (const SchedulerAction &action : scheduler.takeActions()) { ... }
//
// Load pattern: a step's samples arrive at once and are more than the engines' slots; some samples are many times
// longer than others; engines differ in speed, turn slow, crash, or load weights. Older batches go first; of a batch
// the groups that its trainer waits for, the longest items before the others; a run that breaks off or crawls goes on
// at another engine after the last event that arrived.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "bergamot/base/address.h"
#include "bergamot/base/clock.h"
#include "bergamot/batch/batch.h"

namespace bergamot::dispatch
{

using RunId = std::uint64_t;

/// An engine as the list and its own answers show it.
struct EngineFacts
{
    std::string id;
    std::string service;
    Address address;
    std::string zone;
    std::uint32_t slots = 1;
    std::uint64_t memoryTokens = 0; // 0: not known
    bool draining = false;
    std::uint64_t incarnation = 0;
    std::map<std::string, std::uint64_t> versions; // of its models, as listed
};

/// What the configuration says of a batch's items.
struct ItemRoute
{
    std::vector<std::string> services;
    std::uint32_t maxAttempts = 1; // failures of its runs before an item is given up
    std::uint32_t maxScoringFailures = 1; // the same for its scoring call
    bool singleVersion = false;
    Duration resultDeadline = std::chrono::seconds(60); // results that come later are worth less
    Duration retention = std::chrono::seconds(120);

    bool operator==(const ItemRoute &) const = default;
};

struct ItemKey
{
    std::string batch;
    std::uint32_t item = 0;

    auto operator<=>(const ItemKey &) const = default;
};

struct StartRun
{
    RunId run = 0;
    ItemKey key;
    std::string engine;
    Address address;
    std::string model;
    std::optional<std::uint64_t> resumeAfter; // id of the last event that arrived
    std::optional<std::uint64_t> expectedVersion; // set while the engine's version is only assumed
};

struct CancelRun
{
    RunId run = 0;
};

struct StartScoring
{
    ItemKey key;
};

struct CancelScoring
{
    ItemKey key;
};

struct ListResult
{
    batch::ItemResult result;
};

/// Events of a text that takes long, to be kept for the case that another instance goes on with it.
struct SaveProgress
{
    batch::ItemProgress progress;
};

using SchedulerAction = std::variant<StartRun, CancelRun, StartScoring, CancelScoring, ListResult, SaveProgress>;

/// How a run ended.
enum class RunEnd {
    Complete,
    NotExecuted, // the engine is full or loads weights
    WrongEndpoint, // another engine has the address
    WrongVersion, // the engine's weights have another version than expected
    Failed, // the engine's own failure: it ran
    Impossible, // no engine can ever do it
    Broken, // the stream broke off
    StaleConnection, // a connection that was used before broke without an answer: says nothing of the engine
    Silent, // no connection, or no event in time
};

enum class ScoringEnd {
    Scored,
    Failed, // the scoring service's own failure: it ran
    NoAnswer,
};

struct SampleSchedulerOptions
{
    Duration fullPause = std::chrono::milliseconds(100); // before an engine that refused is asked again
    Duration wrongVersionPause = std::chrono::milliseconds(150);
    Duration firstSuspicion = std::chrono::milliseconds(400); // after a lost run; doubles with each further one
    Duration longestSuspicion = std::chrono::seconds(4);
    Duration scoringPause = std::chrono::milliseconds(150); // before a scoring call is repeated
    double slowFactor = 1.25; // a run that would be faster by this elsewhere moves, if a place is free: reading the
                              // text again takes some ten milliseconds
    Duration settleTime = std::chrono::milliseconds(300); // before a run that has just started moves again
    std::uint64_t leastEventsToMove = 3; // a run that is nearly done stays
    Duration saveEvery = std::chrono::milliseconds(1000); // progress of one run; a new owner repeats at most this much
    Duration saveCheck = std::chrono::milliseconds(200); // between two looks at all runs for that
    double crowding = 0.02; // slowdown of each run by one more at the same engine
    double memoryShare = 0.95; // of an engine's memory that declared tokens may fill
};

class SampleScheduler
{
public:
    explicit SampleScheduler(SampleSchedulerOptions options);

    /// Takes in the list. Runs at engines that have gone end elsewhere.
    void setEngines(const std::vector<EngineFacts> &engines, TimePoint now);
    void
    addBatch(const batch::Batch &batch, const std::vector<bool> &listed, std::optional<ItemRoute> route, TimePoint now);
    /// What an earlier owner saved of an item's text; call it in the order of the log, right after `addBatch`.
    void restore(const batch::ItemProgress &progress);
    /// No run starts until `releaseStarts`.
    void holdStarts();
    void releaseStarts(TimePoint now);
    /// Saves what has arrived of every text, because this instance is about to stop.
    void saveAll();
    /// No route: its items wait, as a newer configuration may have one, until `routeGone`.
    void setRoute(const std::string &batch, std::optional<ItemRoute> route);
    /// The batch has no route any more: its items are given up.
    void routeGone(const std::string &batch);
    void endBatch(const std::string &batch);
    /// The log holds the item's result, whoever wrote it.
    void itemListed(const ItemKey &key);

    /// The engine answered with the version of its weights.
    void runStarted(RunId run, std::uint64_t version, TimePoint now);
    /// False if the event is out of order: the run has been cancelled and goes on elsewhere.
    bool runEvent(RunId run, std::uint64_t eventId, std::string_view data, std::uint64_t version, TimePoint now);
    void runEnded(RunId run, RunEnd end, TimePoint now);
    void scoringEnded(const ItemKey &key, ScoringEnd end, const std::string &score, TimePoint now);

    /// No new run of `model` starts at the engine while it takes new weights.
    void loadStarted(const std::string &engine, const std::string &model);
    /// The engine is assumed to have `version`: one run at a time asks it for that version until one is accepted.
    void loadFinished(const std::string &engine, const std::string &model, std::uint64_t version);
    /// The engine itself said which version it has.
    void versionSeen(const std::string &engine, const std::string &model, std::uint64_t version);
    void loadAbandoned(const std::string &engine);

    void tick(TimePoint now);
    std::vector<SchedulerAction> takeActions();
    /// Drops everything: another instance owns the engines now. The shell cancels the runs.
    void clear();

    struct EngineLoad
    {
        std::string id;
        std::string service;
        Address address;
        std::map<std::string, std::uint64_t> versions;
        std::uint32_t runs = 0;
        std::uint32_t slots = 1;
        bool loading = false;
        bool usable = false;
        bool draining = false;
    };
    std::vector<EngineLoad> engineLoads(TimePoint now) const;
    const batch::Item *item(const ItemKey &key) const;
    const std::string *host(const std::string &batch) const;
    std::size_t waiting() const;
    std::size_t waiting(const std::string &model) const;
    std::size_t running() const;
    /// The oldest version that the newest open batch of `model` allows; 0 if none is open.
    std::uint64_t neededVersion(const std::string &model) const;
    /// Whether every open batch of `model` takes texts that several versions made.
    bool mayMixVersions(const std::string &model) const;
    bool hasBatch(const std::string &batch) const;
    /// How often an engine was weighed for a sample since the start: the work that placing samples takes.
    std::uint64_t enginesExamined() const
    {
        return m_examined;
    }
    /// Slots x seconds that a batch of `model` usually takes; 0 before the first one.
    double demand(const std::string &model) const;
    /// Samples of `model` that were open at once lately; 0 before the first batch.
    double peakSamples(const std::string &model) const;

private:
    enum class Stage {
        Waiting,
        Running,
        AwaitingScore,
        Scoring,
        Listing,
        Done,
    };

    struct ItemState
    {
        batch::Item item;
        std::uint32_t place = 0; // in its batch's start order
        Stage stage = Stage::Done;
        RunId run = 0;
        std::string text;
        std::uint64_t firstEvent = 0;
        std::uint64_t lastEvent = 0;
        bool hasEvents = false;
        std::uint64_t savedEvent = 0; // newest event that was saved; 0: none
        std::size_t savedBytes = 0; // of the text
        TimePoint savedAt{};
        bool complete = false;
        std::vector<std::uint64_t> versions;
        std::uint32_t failures = 0;
        std::uint32_t scoringFailures = 0;
        TimePoint notBefore{};
    };

    struct BatchState
    {
        std::string id;
        std::uint64_t order = 0; // of acceptance
        std::string host;
        std::string model;
        std::uint64_t minVersion = 0;
        std::uint32_t wantedGroups = 0; // groups that the trainer waits for; 0: all
        std::optional<ItemRoute> route;
        bool routeGone = false;
        TimePoint addedAt{};
        std::vector<ItemState> items;
        std::vector<std::string> groups; // of the items
        std::vector<std::uint32_t> startOrder; // of the items
        std::set<std::uint32_t> waiting; // places in the start order
        std::size_t open = 0; // items without a result
    };

    struct Run
    {
        ItemKey key;
        std::string engine;
        TimePoint startedAt{};
        TimePoint lastEventAt{};
        std::uint64_t events = 0;
    };

    struct EngineState
    {
        EngineFacts facts;
        std::map<std::string, std::uint64_t> versions; // newest knowledge
        std::set<RunId> runs;
        std::uint64_t tokens = 0; // declared by its runs
        double pace = 0; // seconds for an event with nothing else running; 0: not known
        TimePoint notBefore{};
        std::uint32_t losses = 0; // in a row
        std::string loading; // the model whose weights it takes; empty: none
        std::string assumed; // the model whose version is not confirmed; empty: none
        RunId probe = 0; // run that is to confirm it; no other run of that model starts meanwhile
        bool listed = true;
    };

    struct EngineIdLess
    {
        bool operator()(const EngineState *left, const EngineState *right) const
        {
            return left->facts.id < right->facts.id;
        }
    };

    /// How much work the batches of a model are.
    struct Demand
    {
        double items = 0; // of a batch
        double secondsPerItem = 1; // at an engine
        double peak = 0; // open items; forgotten slowly
    };

    static void addVersion(ItemState &item, std::uint64_t version);
    static void setStage(BatchState &batch, ItemState &item, Stage stage);
    /// Whether the engine takes a further run of the batch, and whether its memory holds that item besides.
    bool takes(const EngineState &engine, const BatchState &batch, TimePoint now);
    bool hasRoom(const EngineState &engine, const ItemState &item) const;
    bool serves(const EngineState &engine, const BatchState &batch) const;
    double cost(const EngineState &engine) const;
    void refreshUsualPace();
    EngineState *bestEngine(const BatchState &batch, const ItemState &item, TimePoint now);
    /// Batches whose results can still be in time go before those that are late.
    std::vector<BatchState *> batchesByUrgency(TimePoint now);
    /// The groups that the trainer will wait for first: those that came again, then those with the least to do. Among
    /// them the longest items start first.
    void orderItems(BatchState &batch);
    /// Starts what can start, at any engine.
    void assign(TimePoint now);
    /// The same for the free slots of one engine.
    void assignTo(EngineState &engine, TimePoint now);
    /// Keeps `m_free` true after a change of the engine's runs or facts.
    void noteSlots(EngineState &engine);
    void dropRuns(EngineState &engine);
    void start(const ItemKey &key, BatchState &batch, ItemState &item, EngineState &engine, TimePoint now);
    void detach(RunId run);
    void cancel(RunId run);
    void restartIfMixed(const BatchState &batch, ItemState &item, const EngineState &engine);
    void moveStragglers(TimePoint now);
    void saveProgress(TimePoint now);
    void save(const ItemKey &key, ItemState &item);
    void suspect(EngineState &engine, TimePoint now);
    void list(const ItemKey &key, ItemState &item, bool completed);
    void finishText(const ItemKey &key, ItemState &item);
    void giveUp(const ItemKey &key, ItemState &item);
    BatchState *findBatch(const std::string &batch);
    ItemState *findItem(const ItemKey &key);
    void closeIfDone(const std::string &batch);

    SampleSchedulerOptions m_options;
    std::map<std::string, EngineState> m_engines;
    std::set<EngineState *, EngineIdLess> m_free; // engines with a slot
    double m_usualPace = 1; // the middle one of the engines
    std::uint64_t m_examined = 0;
    TimePoint m_nextSave{};
    std::map<std::string, BatchState> m_batches;
    std::map<std::uint64_t, std::string> m_order; // batches by acceptance
    std::map<RunId, Run> m_runs;
    std::map<std::string, Demand> m_demand; // by model
    std::set<std::string> m_seenGroups; // of earlier batches; those that come again are waited for
    std::vector<SchedulerAction> m_actions;
    bool m_startsHeld = false;
    RunId m_lastRun = 0;
    std::uint64_t m_lastOrder = 0;
};

} // namespace bergamot::dispatch
