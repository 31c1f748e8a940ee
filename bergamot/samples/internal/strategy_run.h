#pragma once

// Runs and measures one strategy in a discrete-time simulation: 9 model engines in 3 failure domains, 1 or 3 trainers,
// with or without faults. The results depend on the options only.
//
//     const RunMeasures measures = runStrategy({.deployment = &Deployments[0], .strategy = &StalenessFirst});

#include <cstdint>

#include "bergamot/samples/internal/sample_simulation.h"

namespace bergamot
{

struct Deployment
{
    const char *name;
    Duration betweenDomains; // one-way latency
    Duration toTrainer; // one-way latency
};

inline constexpr Deployment Deployments[]{
    {"Kigali", std::chrono::microseconds(1500), std::chrono::milliseconds(1)},
    {"Bengal", std::chrono::milliseconds(1), std::chrono::milliseconds(3)},
};

struct RunOptions
{
    const Deployment *deployment = &Deployments[0];
    const DispatchStrategy *strategy = &IdleTimeFirst;
    int trainers = 1;
    bool faults = false;
    std::uint64_t steps = 12;
    std::uint64_t seed = 0; // seed of the text lengths and of the faults
};

struct RunMeasures
{
    double idleShare = 0;
    double stalenessMean = 0;
    std::uint64_t staleness50 = 0;
    std::uint64_t staleness99 = 0;
    std::uint64_t stalenessMax = 0;
    std::uint64_t discardedSamples = 0;
    double extraTokens = 0; // as a fraction of the delivered tokens
    double lastOverMedian = 0;
    std::uint64_t violations = 0;
    std::uint64_t received = 0;
    bool finished = false;
    StalenessParts parts;
};

RunMeasures runStrategy(const RunOptions &options);

} // namespace bergamot
