#include "bergamot/samples/due_plan.h"

#include <algorithm>
#include <numeric>

namespace bergamot
{

namespace
{

using Seconds = std::chrono::duration<double>;

Seconds workOf(const StepDemand &demand)
{
    return Seconds(demand.usual) * demand.samples;
}

/// Work on `slots`, and one more sample: the last to start ends that much later.
Seconds durationOf(Seconds work, std::uint32_t slots, const StepDemand &demand)
{
    return work / std::max(slots, 1U) + Seconds(demand.usual);
}

std::vector<std::size_t> inOrderOfDue(const std::vector<StepDemand> &demands)
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
    for (const std::size_t i : inOrderOfDue(demands)) {
        const StepDemand &demand = demands[i];
        before += workOf(demand);
        if (demand.due <= now) {
            continue;
        }
        const Seconds left = demand.due - now;
        const Seconds shared = durationOf(before, slots, demand);
        const Seconds alone = durationOf(workOf(demand), demand.guaranteedSlots, demand);
        plans[i].mayStart = demand.lead <= 0 || demand.lead * shared >= left;
        plans[i].claimsShare = shared > left && alone > left;
    }
    return plans;
}

} // namespace bergamot
