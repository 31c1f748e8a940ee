#pragma once

// Simulation options shared by the tests: small engines and short texts.
//
//     SampleSimulation simulation(simulationOptions({trainerOptions("quotes", 100)}));

#include "bergamot/samples/internal/sample_simulation.h"

namespace bergamot
{

inline TrainerModelOptions trainerOptions(const std::string &name, std::uint32_t share)
{
    TrainerModelOptions options;
    options.config.trainer = TrainerId(name);
    options.config.sharePercent = share;
    options.config.stalenessBound = 1;
    return options;
}

inline SampleSimulationOptions simulationOptions(std::vector<TrainerModelOptions> trainers)
{
    SampleSimulationOptions options;
    options.engine.slots = 2;
    options.engine.tokenTime = std::chrono::milliseconds(100);
    options.engine.minimumLengthPercent = 50;
    options.trainers = std::move(trainers);
    return options;
}

} // namespace bergamot
