#pragma once

// How a deployment weighs trainer idle time against staleness, and the baselines that the strategies are measured
// against. A strategy is a value; `dispatchStrategy` gives the one that an operator has configured for a trainer.

#include <chrono>
#include <string_view>

#include "bergamot/config/configuration.h"

namespace bergamot
{

struct DispatchStrategy
{
    std::string_view name;
    bool borrowsIdleSlots = true; // false: a trainer never exceeds its share, and has engines of its own
    bool roundRobin = false; // engines in turn; false: by load, group prefix and version
    bool forecastsStaleness = true; // false: dispatched samples may come back too old
    bool drainsBeforeSwap = false; // starts nothing on engines that are about to get newer weights
    std::chrono::milliseconds swapPatience{0}; // for how long a step that is drawn waits for newer weights
    double versionLagCost = 0; // load, in shares of an engine, that one version behind counts for
    double aheadShare = 1; // of a step's samples that may start before the trainer draws the step
    bool byDueTime = false; // slots go first to the step that is due first; false: by shares alone, and at once
    double aheadLead = 0; // a step starts this many times its expected duration before it is due; 0: at once
    double stragglerFactor = 0; // elapsed over the usual time that makes a straggler; 0: none is replaced or moved
};

/// For who weighs idle time more: starts the whole next step early enough to be whole before the trainer has ended this
/// one, with a quarter in reserve.
inline constexpr DispatchStrategy IdleTimeFirst{
    .name = "idle-time", .versionLagCost = 0.25, .byDueTime = true, .aheadLead = 1.25, .stragglerFactor = 1.5};

/// For who weighs staleness more: starts only a part of the next step ahead, as late as it can be whole in time,
/// and lets the rest wait until engines have the newest weights.
inline constexpr DispatchStrategy StalenessFirst{.name = "staleness",
                                                 .swapPatience = std::chrono::seconds(16),
                                                 .versionLagCost = 1,
                                                 .aheadShare = 0.3,
                                                 .byDueTime = true,
                                                 .aheadLead = 1,
                                                 .stragglerFactor = 1.5};

/// Baseline: the engines are split among the trainers for good and taken in turn; nothing is replaced or moved.
inline constexpr DispatchStrategy StaticSplit{
    .name = "static-split", .borrowsIdleSlots = false, .roundRobin = true, .forecastsStaleness = false};

/// Baseline: all samples end before weights are swapped, and none starts until they are.
inline constexpr DispatchStrategy WaitForAll{.name = "wait-for-all", .drainsBeforeSwap = true};

const DispatchStrategy &dispatchStrategy(SampleStrategy configured);

} // namespace bergamot
