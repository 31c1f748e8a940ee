#pragma once

// When each step's samples have to start so that the step is whole when its trainer comes for it: the steps of all
// trainers of a model in the order in which they are due, each after the work of those before it.
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
    TimePoint due; // when the trainer is expected to draw the step; not after now: it waits
    std::uint32_t samples = 0; // that may start
    Duration usual{0}; // of one sample
    std::uint32_t guaranteedSlots = 1; // of its trainer
    double lead = 1; // starts this many times the expected duration before `due`; 0: at once
};

struct StepPlan
{
    bool mayStart = true;
    /// The step would be late without the slots that are guaranteed to its trainer, and on them alone as well; before
    /// that, the trainer leaves them to steps that are due earlier.
    bool claimsShare = true;
};

/// One plan for each of `demands`. `slots` are those of all engines that serve the model.
std::vector<StepPlan> planSteps(const std::vector<StepDemand> &demands, std::uint32_t slots, TimePoint now);

} // namespace bergamot
