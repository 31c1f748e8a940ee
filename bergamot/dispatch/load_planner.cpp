#include "bergamot/dispatch/load_planner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace bergamot::dispatch
{

namespace
{

/// Divides `engines` among the models in proportion to their work; each model gets at least one. A model whose work is
/// unknown counts with the average of the others.
std::map<std::string, std::size_t> engineCountByModel(std::size_t engines,
                                                      const std::map<std::string, ModelDemand> &demand)
{
    double totalWork = 0;
    double knownWork = 0;
    std::size_t modelsWithKnownWork = 0;
    for (const auto &[model, modelDemand] : demand) {
        knownWork += modelDemand.slotSeconds;
        modelsWithKnownWork += modelDemand.slotSeconds > 0 ? 1 : 0;
    }
    const double averageWork = modelsWithKnownWork == 0 ? 1 : knownWork / static_cast<double>(modelsWithKnownWork);
    const auto work = [averageWork](const ModelDemand &modelDemand) {
        return modelDemand.slotSeconds > 0 ? modelDemand.slotSeconds : averageWork;
    };
    for (const auto &[model, modelDemand] : demand) {
        totalWork += work(modelDemand);
    }
    std::map<std::string, std::size_t> result;
    std::vector<std::pair<double, std::string>> remainders;
    std::size_t allocated = 0;
    for (const auto &[model, modelDemand] : demand) {
        const double exact = static_cast<double>(engines) * work(modelDemand) / totalWork;
        result[model] = std::max<std::size_t>(1, static_cast<std::size_t>(exact));
        allocated += result[model];
        remainders.emplace_back(exact - std::floor(exact), model);
    }
    std::sort(remainders.rbegin(), remainders.rend());
    for (const auto &[remainder, model] : remainders) {
        if (allocated < engines) {
            ++result[model];
            ++allocated;
        }
    }
    return result;
}

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
    const auto version = engine.versions.find(assignedModel);
    const auto entry = demand.find(assignedModel);
    if (engine.loading || !engine.acceptsRuns || !engine.mayOrderLoad || version == engine.versions.end()
        || entry == demand.end() || version->second >= entry->second.newestVersion) {
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
        const auto version = engine.versions.find(assignedModel);
        const auto entry = demand.find(assignedModel);
        if (version == engine.versions.end() || entry == demand.end()) {
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

void ModelAssignments::update(const std::vector<LoadCandidate> &engines,
                              const std::map<std::string, ModelDemand> &demand,
                              const LoadPlannerOptions &options)
{
    if (demand.empty() || engines.empty()) {
        return;
    }
    std::map<std::string, std::vector<std::string>> assigned; // engines by model
    std::vector<std::string> unassigned;
    std::map<std::string, std::string> keptAssignments;
    std::uint64_t slots = 0;
    for (const LoadCandidate &engine : engines) {
        slots += engine.slots;
        if (engine.draining) {
            continue;
        }
        const auto assignedModel = m_modelByEngine.find(engine.engine);
        if (assignedModel != m_modelByEngine.end() && demand.contains(assignedModel->second)) {
            assigned[assignedModel->second].push_back(engine.engine);
            keptAssignments.insert(*assignedModel);
        } else {
            unassigned.push_back(engine.engine);
        }
    }
    m_modelByEngine = std::move(keptAssignments);
    std::map<std::string, std::size_t> targetCounts = engineCountByModel(engines.size(), demand);
    const double averageSlots = static_cast<double>(slots) / static_cast<double>(engines.size());
    for (auto &[model, count] : targetCounts) {
        const double samples = demand.at(model).peakSamples;
        if (samples > 0) {
            count =
                std::min(count, static_cast<std::size_t>(std::ceil(samples * options.slotsPerSample / averageSlots)));
        }
    }
    const auto shortage = [&](const std::string &model) {
        return static_cast<std::ptrdiff_t>(targetCounts.at(model))
            - static_cast<std::ptrdiff_t>(assigned[model].size());
    };
    const auto modelWithLargestShortage = [&] {
        return std::max_element(targetCounts.begin(),
                                targetCounts.end(),
                                [&](const auto &left, const auto &right) {
                                    return shortage(left.first) < shortage(right.first);
                                })
            ->first;
    };
    for (const std::string &engine : unassigned) {
        const std::string model = modelWithLargestShortage();
        if (shortage(model) <= 0) {
            break;
        }
        assigned[model].push_back(engine);
        m_modelByEngine[engine] = model;
    }
    constexpr std::ptrdiff_t MinShortageToMove = 2; // each move costs a load
    for (auto &[model, count] : targetCounts) {
        const auto surplus = MinShortageToMove + static_cast<std::ptrdiff_t>(count / 4);
        std::vector<std::string> &from = assigned[model];
        while (demand.at(model).peakSamples > 0 && -shortage(model) >= surplus) {
            m_modelByEngine.erase(from.back());
            from.pop_back();
        }
    }
    for (std::string receiver = modelWithLargestShortage(); shortage(receiver) >= MinShortageToMove;
         receiver = modelWithLargestShortage()) {
        const auto donor =
            std::min_element(targetCounts.begin(), targetCounts.end(), [&](const auto &left, const auto &right) {
                return shortage(left.first) < shortage(right.first);
            });
        std::vector<std::string> &from = assigned[donor->first];
        if (shortage(donor->first) >= 0 || from.empty()) {
            return;
        }
        assigned[receiver].push_back(from.back());
        m_modelByEngine[from.back()] = receiver;
        from.pop_back();
    }
}

const std::string &ModelAssignments::modelOf(const std::string &engine) const
{
    static const std::string noModel;
    const auto found = m_modelByEngine.find(engine);
    return found == m_modelByEngine.end() ? noModel : found->second;
}

std::vector<PlannedLoad> nextLoads(const std::vector<LoadCandidate> &engines,
                                   const std::map<std::string, ModelDemand> &demand,
                                   const ModelAssignments &assignments,
                                   const LoadPlannerOptions &options)
{
    auto loading = std::count_if(engines.begin(), engines.end(), [](const LoadCandidate &engine) {
        return engine.loading;
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
            planned.push_back(
                {.engine = best->engine->engine, .model = *best->model, .version = best->modelDemand->newestVersion});
            ++count.serving;
            ++count.ready;
            ++loading;
        }
        possible.erase(best);
    }
    return planned;
}

} // namespace bergamot::dispatch
