#include <numeric>

#include "bergamot/routing/internal/policy_simulation.h"

namespace bergamot::routing_internal
{

namespace
{

double percentileOf(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + rank, values.end());
    return values.at(static_cast<std::size_t>(rank));
}

} // namespace

double SimulationResult::percentile(TrafficClass trafficClass, double share) const
{
    return percentileOf(seconds.at(static_cast<std::size_t>(trafficClass)), share);
}

double SimulationResult::routerWaitPercentile(TrafficClass trafficClass, double share) const
{
    return percentileOf(routerWaitSeconds.at(static_cast<std::size_t>(trafficClass)), share);
}

double SimulationResult::endpointWaitPercentile(TrafficClass trafficClass, double share) const
{
    return percentileOf(endpointWaitSeconds.at(static_cast<std::size_t>(trafficClass)), share);
}

double SimulationResult::minRouterShare() const
{
    const double sum = std::accumulate(answersByRouter.begin(), answersByRouter.end(), 0.0);
    return *std::min_element(answersByRouter.begin(), answersByRouter.end())
        * static_cast<double>(answersByRouter.size()) / std::max(1.0, sum);
}

double SimulationResult::answeredShare(TrafficClass trafficClass) const
{
    const auto index = static_cast<std::size_t>(trafficClass);
    return static_cast<double>(answered.at(index)) / static_cast<double>(std::max<std::uint64_t>(1, arrived.at(index)));
}

double SimulationResult::goodput() const
{
    return usefulSeconds / capacitySeconds;
}

double SimulationResult::amplification() const
{
    std::uint64_t requests = 0;
    for (const std::uint64_t each : arrived) {
        requests += each;
    }
    return static_cast<double>(attempts) / static_cast<double>(std::max<std::uint64_t>(1, requests));
}

} // namespace bergamot::routing_internal
