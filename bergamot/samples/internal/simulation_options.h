#pragma once

// Options that the tests of samples share: small engines, short texts.
//
//     SampleWorld world(worldOptions({trainerOptions("quotes", 100)}));

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

inline SampleWorldOptions worldOptions(std::vector<TrainerModelOptions> trainers)
{
    SampleWorldOptions options;
    options.engine.slots = 2;
    options.engine.tokenTime = std::chrono::milliseconds(100);
    options.engine.minimumLengthPercent = 50;
    options.trainers = std::move(trainers);
    return options;
}

} // namespace bergamot
