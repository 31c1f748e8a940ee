#pragma once

// The rules of a model engine, without I/O: continuous batching in slots, priorities, a prefix cache, a weight version
// on every token, swaps in the middle of a generation, orders with and without fencing check, crashes.
//
//     EngineCore engine({.name = "e1", .model = ModelId("order-agent")});
//     engine.submit(request, now);
//     engine.advance(now + std::chrono::seconds(1));
//     for (const EngineEvent &event : engine.takeEvents()) { ... }

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bergamot/platform/engine.h"
#include "bergamot/standins/faults.h"
#include "bergamot/standins/lagged_load.h"
#include "bergamot/standins/prefix_cache.h"
#include "bergamot/standins/run_counter.h"
#include "bergamot/standins/weight_loader.h"

namespace bergamot
{

struct EngineCoreOptions
{
    std::string name = {};
    ModelId model = {};
    WeightVersion bootVersion = 1; // what it serves after each start; 0: none until an order
    std::uint32_t slots = 8;
    std::size_t maxWaiting = 256;
    Duration tokenTime = std::chrono::milliseconds(10); // of one slot
    Duration prefillTokenTime = std::chrono::microseconds(50);
    std::size_t cacheTokens = 8192;
    Duration fetchTime = std::chrono::milliseconds(500); // without a weight source
    Duration swapTime = std::chrono::milliseconds(100);
    Duration restartTime = std::chrono::seconds(1);
    Duration loadLag = std::chrono::milliseconds(500); // between two reports of load figures
    std::uint32_t minimumLengthPercent = 100; // generations end by themselves after this share of maxTokens or more
    bool checksFencing = true;
};

/// Something that happened to one generation.
struct EngineEvent
{
    enum class Kind {
        Token, // `text` and `version` of one more token
        Finished, // `generation` is whole
        Lost, // the engine crashed under it
    };

    Kind kind = Kind::Token;
    std::string requestId = {};
    std::string text = {};
    WeightVersion version = 0;
    Generation generation = {};
};

/// Deterministic, single-threaded; times passed in never fall. Calls for faults: "generate", "cancel", "order",
/// "state" and "export". Faults of its own: "crash" (`duration` until it is back), "leave" (`count` 0: no longer;
/// `text` "list": its own state does not say so), "fail-swap" (the next `count` fail half-way; `text` "unusable": and
/// leave no weights), "poison" (a prompt that contains `text` crashes it), "slow-slots" (`count` slots need `duration`
/// for a token), "stall" (no token for `duration`), "ignore-fencing" (`count` 0: no longer).
class EngineCore
{
public:
    /// `weights` may be null; otherwise it outlives the engine.
    explicit EngineCore(EngineCoreOptions options, WeightSource *weights = nullptr);

    /// Takes a request into the queue; events follow. `Unavailable` (proved not run) while down, idle or without
    /// weights; `Overloaded` if the queue is full; `NotFound` for another model; `Conflict` if the id is in flight.
    Answer<void> submit(const GenerateRequest &request, TimePoint now);
    Answer<void> cancel(const std::string &requestId, TimePoint now);
    Answer<void> order(const EngineOrder &order, TimePoint now);
    Answer<EngineState> state(TimePoint now);
    Answer<std::string> exportCache(const std::string &requestId, TimePoint now);
    Result<void> apply(const FaultCommand &command, TimePoint now);

    /// Does everything that is due up to `now`.
    void advance(TimePoint now);
    /// When the next event is due; none if nothing is going on.
    std::optional<TimePoint> nextDue() const;
    std::vector<EngineEvent> takeEvents();

    /// Between a crash and the restart: connections are refused.
    bool down() const;
    WeightVersion version() const;
    /// By prompt, cut to its first 200 bytes.
    const RunCounter &runs() const;
    std::uint64_t crashes() const;

private:
    struct Running
    {
        GenerateRequest request;
        Generation generation;
        std::uint32_t slot = 0;
        std::uint32_t target = 0; // tokens
        TimePoint nextToken;
    };

    Result<void> accept(const GenerateRequest &request, TimePoint now);
    Result<void> checkRequest(const GenerateRequest &request) const;
    Result<void> obey(const EngineOrder &order, TimePoint now);
    Result<std::string> stopAndExport(const std::string &requestId);
    bool inFlight(const std::string &requestId) const;
    void enqueue(const GenerateRequest &request);
    void admitWaiting(TimePoint now);
    void start(const GenerateRequest &request, TimePoint now);
    std::uint32_t freeSlot() const;
    std::uint32_t targetLength(const GenerateRequest &request) const;
    Duration tokenTime(std::uint32_t slot) const;
    void step(TimePoint now);
    void stepLoad(TimePoint now);
    void install(TimePoint now);
    void failSwap(TimePoint now);
    void decode(std::size_t index, TimePoint now);
    void finish(std::size_t index, const std::string &reason);
    bool stop(const std::string &requestId);
    void stopAll();
    void loseAll();
    void pauseDecoding(TimePoint until, TimePoint now);
    void crash(Duration restartTime, TimePoint now);
    bool poisoned(const GenerateRequest &request) const;
    void applyCrash(const FaultCommand &command, TimePoint now);
    void applyLeave(const FaultCommand &command, TimePoint now);
    void applyFailSwap(const FaultCommand &command, TimePoint now);
    void applyPoison(const FaultCommand &command, TimePoint now);
    void applySlowSlots(const FaultCommand &command, TimePoint now);
    void applyStall(const FaultCommand &command, TimePoint now);
    void applyIgnoreFencing(const FaultCommand &command, TimePoint now);

    EngineCoreOptions m_options;
    FaultTable m_faults;
    WeightLoader m_loader;
    PrefixCache m_cache;
    RunCounter m_runs;
    ModelId m_model;
    WeightVersion m_version = 0;
    EngineRole m_role = EngineRole::Serving;
    FencingNumber m_fencing = 0; // survives a crash
    std::vector<Running> m_running;
    std::deque<GenerateRequest> m_waiting; // by priority, then arrival
    std::vector<EngineEvent> m_events;
    LaggedLoad m_load;
    std::optional<TimePoint> m_downUntil;
    TimePoint m_pausedUntil;
    std::uint64_t m_crashes = 0;
    std::set<std::string> m_poison;
    std::uint64_t m_slowSlots = 0;
    Duration m_slowTokenTime{0};
    bool m_failureIsUnusable = false;
    bool m_tellsOfLeaving = true;
};

} // namespace bergamot
