#include "bergamot/dispatch/load_planner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace bergamot::dispatch
{

std::optional<PlannedLoad> nextLoad(const std::vector<LoadCandidate> &engines,
                                    const std::map<std::string, ModelDemand> &demand,
                                    const LoadPlannerOptions &options)
{
    const auto loading = std::count_if(engines.begin(), engines.end(), [](const LoadCandidate &engine) {
        return engine.loading;
    });
    const auto most = std::max(1L, std::lround(static_cast<double>(engines.size()) * options.shareAtOnce));
    if (loading >= most) {
        return std::nullopt;
    }
    // The oldest version first, then the engine with the least to finish.
    using Rank = std::tuple<std::uint64_t, std::uint32_t>;
    std::optional<PlannedLoad> best;
    Rank bestRank{};
    for (const LoadCandidate &engine : engines) {
        if (engine.loading || !engine.usable || !engine.mayOrder) {
            continue;
        }
        for (const auto &[model, version] : engine.versions) {
            const auto found = demand.find(model);
            if (found == demand.end() || version >= found->second.named) {
                continue;
            }
            const ModelDemand &asked = found->second;
            const bool useless = version < asked.needed || version + 1 < asked.named;
            const bool idle = engine.runs == 0 && asked.waiting == 0;
            const Rank rank{version, engine.runs};
            if ((useless || idle) && (!best || rank < bestRank)) {
                best = PlannedLoad{.engine = engine.engine, .model = model, .version = asked.named};
                bestRank = rank;
            }
        }
    }
    return best;
}

} // namespace bergamot::dispatch
