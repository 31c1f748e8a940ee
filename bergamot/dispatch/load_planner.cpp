#include "bergamot/dispatch/load_planner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace bergamot::dispatch
{

namespace
{

/// An engine that may load the newest version of its assigned model now.
struct PossibleLoad
{
    const LoadCandidate *engine = nullptr;
    const std::string *model = nullptr;
    const ModelDemand *modelDemand = nullptr;
    std::int64_t versionsBehind = 0; // newest version minus its own version
    bool tooOld = false; // its weights are older than the open batches allow
};

std::optional<PossibleLoad> possibleLoad(const LoadCandidate &engine,
                                         const std::map<std::string, ModelDemand> &demand,
                                         const std::string &assignedModel)
{
    const auto entry = demand.find(assignedModel);
    if (entry == demand.end()) {
        return std::nullopt;
    }
    const auto version = engine.versions.find(modelOfDemand(entry->first, entry->second));
    if (engine.loading || !engine.acceptsRuns || !engine.mayOrderLoad || version == engine.versions.end()
        || version->second >= entry->second.newestVersion) {
        return std::nullopt;
    }
    const ModelDemand &needs = entry->second;
    const bool tooOld = version->second < needs.minVersion;
    const bool idle = engine.runs == 0 && needs.waitingSamples == 0;
    // The load only blocks new runs, and none could start anyway without a free slot or a waiting sample.
    const bool blocksNoRun =
        needs.runsContinueAcrossLoads && (needs.waitingSamples == 0 || engine.runs >= engine.slots);
    if (!tooOld && version->second + 1 >= needs.newestVersion && !idle && !blocksNoRun) {
        return std::nullopt;
    }
    return PossibleLoad{.engine = &engine,
                        .model = &entry->first,
                        .modelDemand = &needs,
                        .versionsBehind = static_cast<std::int64_t>(needs.newestVersion - version->second),
                        .tooOld = tooOld};
}

/// The number of engines that are assigned to one model.
struct AssignedEngineCounts
{
    std::size_t all = 0;
    std::size_t serving = 0; // those with weights that the open batches allow, or loading
    std::size_t ready = 0; // those with the newest weights, or loading
};

std::map<std::string, AssignedEngineCounts> countAssignedEngines(const std::vector<LoadCandidate> &engines,
                                                                 const std::map<std::string, ModelDemand> &demand,
                                                                 const ModelAssignments &assignments)
{
    std::map<std::string, AssignedEngineCounts> result;
    for (const LoadCandidate &engine : engines) {
        const std::string &assignedModel = assignments.modelOf(engine.engine);
        const auto entry = demand.find(assignedModel);
        if (entry == demand.end()) {
            continue;
        }
        const auto version = engine.versions.find(modelOfDemand(entry->first, entry->second));
        if (version == engine.versions.end()) {
            continue;
        }
        AssignedEngineCounts &count = result[assignedModel];
        ++count.all;
        count.serving += engine.loading || version->second >= entry->second.minVersion ? 1 : 0;
        count.ready += engine.loading || version->second >= entry->second.newestVersion ? 1 : 0;
    }
    return result;
}

} // namespace

const std::string &modelOfDemand(const std::string &name, const ModelDemand &demand)
{
    return demand.model.empty() ? name : demand.model;
}

std::vector<PlannedLoad> nextLoads(const std::vector<LoadCandidate> &engines,
                                   const std::map<std::string, ModelDemand> &demand,
                                   const ModelAssignments &assignments,
                                   const LoadPlannerOptions &options)
{
    auto loading = std::count_if(engines.begin(), engines.end(), [](const LoadCandidate &engine) {
        return engine.loading && !engine.loadOverdue; // a load that may never end must not stop all others
    });
    const auto maxLoading = std::max(1L, std::lround(static_cast<double>(engines.size()) * options.maxLoadingShare));
    if (loading >= maxLoading) {
        return {};
    }
    std::vector<PossibleLoad> possible;
    for (const LoadCandidate &engine : engines) {
        if (const std::optional<PossibleLoad> load = possibleLoad(engine, demand, assignments.modelOf(engine.engine))) {
            possible.push_back(*load);
        }
    }
    std::map<std::string, AssignedEngineCounts> counts = countAssignedEngines(engines, demand, assignments);
    std::vector<PlannedLoad> planned;
    while (loading < maxLoading && !possible.empty()) {
        // Among engines with too old weights, the model with the most waiting samples per serving engine comes first;
        // then the engine whose weights are furthest behind, then the one with the fewest runs to finish.
        const auto rank = [&counts](const PossibleLoad &load) {
            const double waitingPerEngine = static_cast<double>(load.modelDemand->waitingSamples)
                / static_cast<double>(counts[*load.model].serving + 1);
            return std::tuple(load.tooOld ? -waitingPerEngine : 0, -load.versionsBehind, load.engine->runs);
        };
        const auto best = std::min_element(
            possible.begin(), possible.end(), [&rank](const PossibleLoad &left, const PossibleLoad &right) {
                return rank(left) < rank(right);
            });
        AssignedEngineCounts &count = counts[*best->model];
        const bool enoughReady =
            static_cast<double>(count.ready) >= options.readyShare * static_cast<double>(count.all);
        if (best->tooOld || !enoughReady) {
            planned.push_back({.engine = best->engine->engine,
                               .model = modelOfDemand(*best->model, *best->modelDemand),
                               .version = best->modelDemand->newestVersion});
            ++count.serving;
            ++count.ready;
            ++loading;
        }
        possible.erase(best);
    }
    return planned;
}

} // namespace bergamot::dispatch
