#pragma once

// Plans the rollout of a weight version to the engines of one model in one failure domain: when each engine is ordered
// to load it, when its state is read back and when a failed swap is repeated. It compares the state that engines report
// with the goal, so a new holder of the duty needs no state from the previous holder.
//
//     RolloutPlanner planner(options);
//     planner.setGoal(goal);
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
    std::chrono::milliseconds readBackPeriod{250}; // between reads of the state of a loading engine
    std::chrono::milliseconds swapTimeout{60000}; // a longer load counts as failed and is ordered again
    std::chrono::milliseconds maxDeliveryTime{5000}; // maximum for an order of the previous holder
    std::chrono::milliseconds retryDelay{1000}; // after a failed swap or a refused order
    std::chrono::milliseconds outOfServicePeriod{60000}; // after `maxFailures` failures
    std::uint32_t maxFailures = 3; // consecutive failures that remove an engine from service
};

/// The version and limits of a rollout, from the configuration and the weight store.
struct RolloutGoal
{
    ModelId model;
    WeightVersion configured = 0; // version in the configuration; 0 follows the newest published one
    WeightVersion published = 0; // newest published version; 0 if unknown
    std::uint32_t capacityFloorPercent = 50; // share of the engines that keep serving during swaps
    std::uint64_t concurrentFetches = 1; // this failure domain's part of the store's limit
    bool enginesCheckFencing = true; // engines refuse orders with a lower fencing number
};

/// The last known state of one engine.
struct RolloutEngine
{
    EndpointId engine;
    Address address;
    WeightVersion version = 0;
    WeightVersion loading = 0; // 0 if no load is in progress
    std::uint32_t load = 0; // number of running and waiting requests
    bool leaving = false; // being removed; receives no orders
    bool reachable = true;
};

/// Why an order is sent.
enum class RolloutReason {
    NewHolder, // the engine has the target version but has not accepted an order under the current fencing
               // number; the order sets the serving role
    NewVersion,
    SupersededLoad, // the engine is loading a version that is no longer the target
    FailedSwap, // the engine neither has nor loads the ordered version
    SwapTimeout, // the load took longer than `swapTimeout`
    RemovedFromService, // the engine failed `maxFailures` times in a row
};

/// The kebab-case name in the evidence log.
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
    /// The actions to start now. Without a fencing number there are none. A change of the fencing number discards the
    /// progress of earlier orders: the next holder starts from the state that engines report.
    std::vector<RolloutAction> plan(TimePoint now, std::optional<FencingNumber> fencing);
    /// Call when an order was answered or will not be answered. `Conflict` means that a newer holder orders this
    /// engine.
    void orderEnded(const EndpointId &engine, const Result<void> &outcome, TimePoint now);
    /// Call with the answer to a `ReadState` action.
    void stateRead(const EndpointId &engine, const Result<EngineState> &state, TimePoint now);

    /// The version to install on the engines; 0 if none is known. It decreases only to a configured version.
    WeightVersion target() const
    {
        return m_target;
    }

    /// The engines that were removed from service after repeated failures.
    std::vector<EndpointId> outOfService() const;
    /// True if every engine in service has the target version or a newer one and no order is in progress.
    bool isComplete() const;

private:
    enum class Phase {
        NoOrder, // no order in progress
        Ordering, // waiting for the answer to an order
        Loading, // ordered; its state is read until it reports the version
    };

    struct Engine
    {
        RolloutEngine observed;
        Phase phase = Phase::NoOrder;
        WeightVersion ordered = 0; // version in the latest order
        FencingNumber fencing = 0; // fencing number of the last order that the engine accepted
        TimePoint orderedAt;
        TimePoint nextRead; // earliest time of the next state read
        TimePoint notBefore; // earliest time of the next order, except the order that removes the engine
        bool reading = false; // a state read is outstanding
        std::uint32_t failures = 0; // consecutive
        RolloutReason nextOrderReason = RolloutReason::NewVersion;
        std::optional<TimePoint> outOfServiceUntil;
    };

    bool needsOrder(const Engine &engine, TimePoint now) const;
    RolloutReason orderReason(const Engine &engine) const;
    bool mayStartSwap(const Engine &candidate) const;
    std::vector<Engine *> enginesByPriority();
    RolloutAction order(Engine &engine, RolloutReason reason, TimePoint now);
    RolloutAction readState(Engine &engine);
    void resetProgress();
    void recordFailure(Engine &engine, RolloutReason reason, TimePoint now);
    void returnToService(TimePoint now);
    bool isSwap(const Engine &engine) const;

    RolloutOptions m_options;
    RolloutGoal m_goal;
    WeightVersion m_target = 0;
    std::optional<FencingNumber> m_fencing;
    TimePoint m_heldSince;
    std::map<EndpointId, Engine> m_engines;
};

} // namespace bergamot
