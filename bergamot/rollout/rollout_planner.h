#pragma once

// Puts a weight version onto the engines of one model in one failure domain: which engine is ordered when, what is
// read back, and what is repaired. It compares what engines say with what is wanted, so a new holder of the duty needs
// nothing from the one before.
//
//     RolloutPlanner planner(options);
//     planner.setGoal(goal, now);
//     planner.setEngines(engines);
//     for (const RolloutAction &action : planner.plan(now, fencing)) { ... }
//     planner.orderEnded(engine, outcome, now);
//     planner.stateRead(engine, state, now);

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bergamot/base/address.h"
#include "bergamot/base/clock.h"
#include "bergamot/base/error.h"
#include "bergamot/base/ids.h"
#include "bergamot/platform/engine.h"

namespace bergamot
{

struct RolloutOptions
{
    std::chrono::milliseconds readBackPeriod{250}; // of an engine that is loading
    std::chrono::milliseconds swapTimeout{60000}; // a load that takes longer is ordered again
    std::chrono::milliseconds longestDelivery{5000}; // of an order of the holder before
    std::chrono::milliseconds retryDelay{1000}; // after a failed swap or an order that did not arrive
    std::chrono::milliseconds takenOutFor{60000};
    std::uint32_t maxFailures = 3; // in a row, until an engine is taken out
};

struct RolloutGoal
{
    ModelId model;
    WeightVersion configured = 0; // 0: the newest published
    WeightVersion published = 0;
    std::uint32_t capacityFloorPercent = 50;
    std::uint64_t concurrentFetches = 1; // this failure domain's part of the store's limit
    bool enginesCheckFencing = true;
};

struct RolloutEngine
{
    EndpointId engine;
    Address address;
    WeightVersion version = 0;
    WeightVersion loading = 0;
    std::uint32_t load = 0; // requests that run or wait
    bool leaving = false;
    bool reachable = true;
};

enum class RolloutReason {
    TakeOver, // the first order under a new fencing number: the engine learns it, and its role is sure
    NewVersion,
    Overtaken, // it loads an older version
    FailedSwap, // it ended a load without the version
    TooSlow,
    TakenOut, // it kept failing
};

std::string_view reasonName(RolloutReason reason);

struct RolloutAction
{
    enum class Kind {
        Order,
        ReadState,
    };

    Kind kind = Kind::Order;
    EndpointId engine;
    Address address;
    EngineOrder order = {};
    RolloutReason reason = RolloutReason::NewVersion;
};

/// Deterministic; not thread-safe.
class RolloutPlanner
{
public:
    explicit RolloutPlanner(RolloutOptions options = {});

    void setGoal(const RolloutGoal &goal);
    void setEngines(const std::vector<RolloutEngine> &engines);
    /// What to do now. Without a fencing number nothing is ordered, and what was under way is forgotten: the next
    /// holder starts from what engines say.
    std::vector<RolloutAction> plan(TimePoint now, std::optional<FencingNumber> fencing);
    /// The answer to an order came, or none will. A `Conflict` means that a newer holder orders this engine.
    void orderEnded(const EndpointId &engine, const Result<void> &outcome, TimePoint now);
    void stateRead(const EndpointId &engine, const Result<EngineState> &state, TimePoint now);

    /// The version that engines are brought to; 0 if none is known. Falls only to a configured one.
    WeightVersion target() const
    {
        return m_target;
    }

    std::vector<EndpointId> takenOut() const;
    bool isComplete() const;

private:
    enum class Phase {
        Settled,
        Ordering, // the answer is awaited
        Loading, // ordered; read back until it has the version
    };

    struct Engine
    {
        RolloutEngine seen;
        Phase phase = Phase::Settled;
        WeightVersion ordered = 0;
        FencingNumber fencing = 0; // of the last order that it took
        TimePoint orderedAt;
        TimePoint nextRead;
        TimePoint notBefore; // the next order
        bool reading = false;
        std::uint32_t failures = 0;
        RolloutReason why = RolloutReason::NewVersion; // for the next order
        std::optional<TimePoint> outUntil;
    };

    bool needsOrder(const Engine &engine, TimePoint now) const;
    RolloutReason orderReason(const Engine &engine) const;
    bool mayStart(const Engine &candidate) const;
    std::vector<Engine *> inOrder();
    RolloutAction order(Engine &engine, RolloutReason reason, TimePoint now);
    RolloutAction readState(Engine &engine);
    void forgetProgress();
    void failed(Engine &engine, RolloutReason reason, TimePoint now);
    void returnTakenOut(TimePoint now);
    bool isSwap(const Engine &engine) const;

    RolloutOptions m_options;
    RolloutGoal m_goal;
    WeightVersion m_target = 0;
    std::optional<FencingNumber> m_fencing;
    TimePoint m_heldSince;
    std::map<EndpointId, Engine> m_engines;
};

} // namespace bergamot
