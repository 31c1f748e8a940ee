#pragma once

// Simulates a trainer during bursts of crashes, for tests.

#include <algorithm>
#include <random>
#include <vector>

#include "bergamot/samples/internal/simulation_options.h"

namespace bergamot
{

struct CrashBurstOutcome
{
    bool finished = false; // all steps of the trainer
    std::uint64_t violations = 0; // of the guarantees of samples
    std::size_t failures = 0; // samples that were given up
};

/// Three bursts 6 s apart, each of five waves in which a third of the engines, drawn from `seed`, crash for 0.4 s.
inline CrashBurstOutcome runCrashBursts(unsigned seed)
{
    constexpr Duration BetweenBursts = std::chrono::seconds(6);
    constexpr Duration BetweenWaves = std::chrono::milliseconds(400);
    constexpr std::size_t CrashesPerWave = 3;
    SampleSimulation simulation(simulationOptions({trainerOptions("quotes", 100)}));
    simulation.run(std::chrono::seconds(3));
    std::mt19937 random(seed);
    std::vector<std::uint16_t> engines{0, 1, 2, 3, 4, 5, 6, 7, 8};
    bool applied = true;
    for (int burst = 0; burst < 3; ++burst) {
        for (int wave = 0; wave < 5; ++wave) {
            std::shuffle(engines.begin(), engines.end(), random);
            for (std::size_t index = 0; index < CrashesPerWave; ++index) {
                const FaultCommand crash{.fault = "crash", .duration = std::chrono::milliseconds(400)};
                applied = simulation.engines().apply(SampleSimulation::address(engines[index]), crash) && applied;
            }
            simulation.run(BetweenWaves);
        }
        simulation.run(BetweenBursts - 5 * BetweenWaves);
    }
    const bool finished = simulation.runUntilFinished(std::chrono::minutes(10)) && applied;
    return {.finished = finished,
            .violations = simulation.violations().sum(),
            .failures = simulation.trainer(0).failures().size()};
}

} // namespace bergamot
