#pragma once

// Strategies that trade trainer idle time against staleness, and the baselines that they are compared with in
// benchmarks. A strategy is a plain value; `dispatchStrategy` returns the one that is configured for a trainer.

#include <chrono>
#include <string_view>

#include "bergamot/config/configuration.h"

namespace bergamot
{

struct DispatchStrategy
{
    std::string_view name;
    bool borrowsIdleSlots = true; // false: a trainer never exceeds its share and has dedicated engines
    bool roundRobin = false; // false: engines are chosen by load, group prefix and version
    bool forecastsStaleness = true; // false: samples may exceed the staleness bound when they finish
    bool drainsBeforeSwap = false; // starts no sample on an engine that is about to load newer weights
    std::chrono::milliseconds maxSwapWait{0}; // how long a drawn step waits for an engine with newer weights
    double versionLagCost = 0; // cost of one version behind, as a fraction of an engine's slots
    double aheadShare = 1; // fraction of a step's samples that may start before its first draw
    bool byDueTime = false; // earliest due step first; false: by shares alone, at once
    double aheadLeadFactor = 0; // lead time as a multiple of the expected step duration; 0: at once
    double stragglerFactor = 0; // elapsed / median time of a straggler; 0: none is moved or copied
};

/// Minimizes idle time: starts all samples of the next step early enough that they finish before the trainer ends the
/// current step, with a reserve of a quarter of the expected duration.
inline constexpr DispatchStrategy IdleTimeFirst{
    .name = "idle-time", .versionLagCost = 0.25, .byDueTime = true, .aheadLeadFactor = 1.25, .stragglerFactor = 1.5};

/// Minimizes staleness: starts only a part of the next step ahead, as late as that part can still finish in time, and
/// holds the rest until engines have the newest weights.
inline constexpr DispatchStrategy StalenessFirst{.name = "staleness",
                                                 .maxSwapWait = std::chrono::seconds(16),
                                                 .versionLagCost = 1,
                                                 .aheadShare = 0.3,
                                                 .byDueTime = true,
                                                 .aheadLeadFactor = 1,
                                                 .stragglerFactor = 1.5};

/// Baseline: engines are divided permanently among the trainers and used round-robin; no sample is moved or copied.
inline constexpr DispatchStrategy StaticSplit{
    .name = "static-split", .borrowsIdleSlots = false, .roundRobin = true, .forecastsStaleness = false};

/// Baseline: waits for all samples to end before a weight swap, and starts none until the swap is done.
inline constexpr DispatchStrategy WaitForAll{.name = "wait-for-all", .drainsBeforeSwap = true};

const DispatchStrategy &dispatchStrategy(SampleStrategy configured);

} // namespace bergamot
