#pragma once

// Plans when the samples of each step have to start so that the step is finished when its trainer draws it. The steps
// of all trainers of a model are considered in the order of their due times, each after the work of the earlier ones.
//
//     for (const StepPlan &plan : planSteps(demands, slots, now)) {
//         if (plan.mayStart) { ... }
//     }

#include <cstdint>
#include <vector>

#include "bergamot/base/clock.h"

namespace bergamot
{

struct StepDemand
{
    TimePoint due; // expected time of the first draw; if not after now, the trainer is waiting
    std::uint32_t samples = 0; // number of samples that may start
    Duration medianDuration{0}; // median duration of one sample
    std::uint32_t guaranteedSlots = 1; // guaranteed slots of the trainer
    double leadFactor = 1; // lead time before `due` as a multiple of the expected duration; 0: at once
};

struct StepPlan
{
    bool mayStart = true;
    /// True if the step would be late on all slots after the earlier steps, and also on the guaranteed slots of its
    /// trainer alone. Otherwise, the trainer leaves its guaranteed slots to steps that are due earlier.
    bool claimsShare = true;
};

/// Returns one plan for each of `demands`. `slots` is the number of slots of all engines that serve the model.
std::vector<StepPlan> planSteps(const std::vector<StepDemand> &demands, std::uint32_t slots, TimePoint now);

} // namespace bergamot
