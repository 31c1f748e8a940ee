#include "bergamot/samples/due_plan.h"

#include <algorithm>
#include <numeric>

namespace bergamot
{

namespace
{

using Seconds = std::chrono::duration<double>;

Seconds totalWork(const StepDemand &demand)
{
    return Seconds(demand.medianDuration) * demand.samples;
}

/// Time for `work` on `slots` plus the duration of one sample, because the last sample to start ends that much later.
Seconds estimatedDuration(Seconds work, std::uint32_t slots, const StepDemand &demand)
{
    return work / std::max(slots, 1U) + Seconds(demand.medianDuration);
}

std::vector<std::size_t> orderByDueTime(const std::vector<StepDemand> &demands)
{
    std::vector<std::size_t> order(demands.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        return demands[left].due < demands[right].due;
    });
    return order;
}

} // namespace

std::vector<StepPlan> planSteps(const std::vector<StepDemand> &demands, std::uint32_t slots, TimePoint now)
{
    std::vector<StepPlan> plans(demands.size());
    Seconds before{0};
    for (const std::size_t i : orderByDueTime(demands)) {
        const StepDemand &demand = demands[i];
        before += totalWork(demand);
        if (demand.due <= now) {
            continue;
        }
        const Seconds left = demand.due - now;
        const Seconds shared = estimatedDuration(before, slots, demand);
        const Seconds alone = estimatedDuration(totalWork(demand), demand.guaranteedSlots, demand);
        plans[i].mayStart = demand.leadFactor <= 0 || demand.leadFactor * shared >= left;
        plans[i].claimsShare = shared > left && alone > left;
    }
    return plans;
}

} // namespace bergamot
