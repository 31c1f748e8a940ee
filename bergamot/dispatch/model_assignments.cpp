// Which model each engine is assigned to.

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "bergamot/dispatch/load_planner.h"

namespace bergamot::dispatch
{

namespace
{

using Demand = std::map<std::string, ModelDemand>;

constexpr std::ptrdiff_t MinShortageToMove = 2; // each move costs a load
constexpr std::ptrdiff_t MaxSpareEngines = 2; // beyond its share, of a model whose engines do not get its weights

/// Divides `engines` among the models in proportion to their work; each model gets at least one. A model whose work is
/// unknown counts with the average of the others.
std::map<std::string, std::size_t> engineCountByModel(std::size_t engines, const Demand &demand)
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

/// Whether the engine's service may run the samples of the model.
bool maySample(const LoadCandidate &engine, const ModelDemand &needs)
{
    return needs.services.empty() || needs.services.contains(engine.service);
}

/// Whether samples of the model can start at the engine as soon as it has a free slot.
bool serves(const LoadCandidate &engine, const std::string &model, const ModelDemand &needs)
{
    const auto version = engine.versions.find(modelOfDemand(model, needs));
    return !engine.draining && engine.acceptsRuns && maySample(engine, needs) && version != engine.versions.end()
        && version->second >= needs.minVersion;
}

/// Whether the engine serves the model or will within the time of a load.
bool isAble(const LoadCandidate &engine, const std::string &model, const ModelDemand &needs)
{
    if (engine.draining || !maySample(engine, needs) || !engine.versions.contains(modelOfDemand(model, needs))) {
        return false;
    }
    const bool mayLoad = engine.acceptsRuns && engine.mayOrderLoad;
    return engine.loading ? !engine.loadOverdue : mayLoad || serves(engine, model, needs);
}

/// Divides the engines among the models. Models that may use the same services share their engines.
std::map<std::string, std::size_t>
targetCounts(const std::vector<LoadCandidate> &engines, const Demand &demand, const LoadPlannerOptions &options)
{
    struct ServiceEngines
    {
        std::size_t engines = 0;
        std::uint64_t slots = 0;
    };
    std::map<std::string_view, ServiceEngines> services;
    for (const LoadCandidate &engine : engines) {
        if (!engine.draining) {
            ServiceEngines &service = services[engine.service];
            ++service.engines;
            service.slots += engine.slots;
        }
    }
    std::map<std::set<std::string_view>, Demand> groups; // models by the services that they may use
    for (const auto &[model, needs] : demand) {
        std::set<std::string_view> usable;
        for (const auto &[service, counts] : services) {
            if (needs.services.empty() || needs.services.contains(std::string(service))) {
                usable.insert(service);
            }
        }
        groups[usable].emplace(model, needs);
    }
    std::map<std::string, std::size_t> targets;
    for (const auto &[usable, models] : groups) {
        ServiceEngines total;
        for (const std::string_view service : usable) {
            total.engines += services[service].engines;
            total.slots += services[service].slots;
        }
        if (total.engines == 0) {
            for (const auto &[model, needs] : models) {
                targets[model] = 0;
            }
            continue;
        }
        const double averageSlots = static_cast<double>(total.slots) / static_cast<double>(total.engines);
        for (auto &[model, count] : engineCountByModel(total.engines, models)) {
            const double samples = models.at(model).peakSamples;
            const double filled = std::ceil(samples * options.slotsPerSample / averageSlots);
            targets[model] = samples > 0 ? std::min(count, static_cast<std::size_t>(filled)) : count;
        }
    }
    return targets;
}

/// One pass over all assignments.
class AssignmentPass
{
public:
    AssignmentPass(const std::vector<LoadCandidate> &engines,
                   const Demand &demand,
                   const LoadPlannerOptions &options,
                   std::map<std::string, std::string> &modelByEngine)
        : m_engines(engines)
        , m_demand(demand)
        , m_modelByEngine(modelByEngine)
        , m_targets(targetCounts(engines, demand, options))
    {
        std::map<std::string, std::string> kept;
        for (const LoadCandidate &engine : engines) {
            if (engine.draining) {
                continue;
            }
            const auto assigned = m_modelByEngine.find(engine.engine);
            const auto needs = assigned == m_modelByEngine.end() ? demand.end() : demand.find(assigned->second);
            if (needs == demand.end()) {
                m_unassigned.push_back(&engine);
            } else if (!maySample(engine, needs->second)) {
                m_unassigned.push_back(&engine);
                recordChange(engine, needs->first, {}, AssignmentReason::UnusableService);
            } else {
                m_assigned[needs->first].push_back(&engine);
                kept.insert(*assigned);
            }
        }
        m_modelByEngine = std::move(kept);
    }

    /// Gives one engine to each model that has none, and to each whose samples have waited for `patience` without an
    /// engine that may run them.
    void assignFirstEngines(std::map<std::string, TimePoint> &unservedSince, Duration patience, TimePoint now)
    {
        std::vector<std::pair<std::string, AssignmentReason>> receivers;
        for (const auto &[model, needs] : m_demand) {
            if (!isUnserved(model, needs)) {
                unservedSince.erase(model);
            }
            if (m_targets.at(model) > 0 && m_assigned[model].empty()) {
                receivers.emplace_back(model, AssignmentReason::FirstEngine);
            } else if (isUnserved(model, needs) && shortage(model) > -MaxSpareEngines
                       && now - unservedSince.emplace(model, now).first->second >= patience) {
                receivers.emplace_back(model, AssignmentReason::UnservedModel);
            }
        }
        std::stable_sort(receivers.begin(), receivers.end(), [this](const auto &left, const auto &right) {
            return m_demand.at(left.first).waitingSamples > m_demand.at(right.first).waitingSamples;
        });
        for (const auto &[model, reason] : receivers) {
            if (const LoadCandidate *engine = takeFirstEngineFor(model)) {
                assign(*engine, model, reason);
                unservedSince.erase(model);
            }
        }
        std::erase_if(unservedSince, [this](const auto &entry) {
            return !m_demand.contains(entry.first);
        });
    }

    void assignUnassigned()
    {
        std::set<std::string> withoutCandidate;
        std::map<std::string, std::vector<Ranked>> candidates; // by model; the best one is the last
        std::set<const LoadCandidate *> taken;
        while (taken.size() < m_unassigned.size()) {
            const std::string *model = mostShort(withoutCandidate);
            if (model == nullptr || shortage(*model) <= 0) {
                break;
            }
            const auto [entry, added] = candidates.try_emplace(*model);
            std::vector<Ranked> &ranked = entry->second;
            if (added) {
                ranked = candidatesFor(m_unassigned, *model);
            }
            while (!ranked.empty() && taken.contains(ranked.back().engine)) {
                ranked.pop_back();
            }
            if (ranked.empty()) {
                withoutCandidate.insert(*model);
                continue;
            }
            taken.insert(ranked.back().engine);
            assign(*ranked.back().engine, *model, AssignmentReason::BelowTarget);
        }
        std::erase_if(m_unassigned, [&taken](const LoadCandidate *engine) {
            return taken.contains(engine);
        });
    }

    void releaseSurplus()
    {
        for (const auto &entry : m_targets) {
            const std::string &model = entry.first;
            const auto surplus = MinShortageToMove + static_cast<std::ptrdiff_t>(entry.second / 4);
            std::vector<const LoadCandidate *> &from = m_assigned[model];
            while (m_demand.at(model).peakSamples > 0 && -shortage(model) >= surplus) {
                const auto unable = std::find_if(from.rbegin(), from.rend(), [&](const LoadCandidate *engine) {
                    return !isAble(*engine, model, m_demand.at(model));
                });
                const auto released = unable == from.rend() ? std::prev(from.end()) : std::prev(unable.base());
                const LoadCandidate &engine = **released;
                from.erase(released);
                m_modelByEngine.erase(engine.engine);
                recordChange(engine, model, {}, AssignmentReason::Surplus);
            }
        }
    }

    void moveFromSurplus()
    {
        std::set<std::string> withoutCandidate;
        std::map<std::pair<std::string, std::string>, std::vector<Ranked>> candidates; // by donor and receiver
        while (const std::string *receiver = mostShort(withoutCandidate)) {
            if (shortage(*receiver) < MinShortageToMove) {
                return;
            }
            const auto donor =
                std::min_element(m_targets.begin(), m_targets.end(), [this](const auto &left, const auto &right) {
                    return shortage(left.first) < shortage(right.first);
                });
            if (shortage(donor->first) >= 0) {
                return;
            }
            std::vector<const LoadCandidate *> &from = m_assigned[donor->first];
            const auto [entry, added] = candidates.try_emplace({donor->first, *receiver});
            std::vector<Ranked> &ranked = entry->second;
            if (added) {
                ranked = candidatesFor(from, *receiver);
            }
            while (!ranked.empty() && m_modelByEngine[ranked.back().engine->engine] != donor->first) {
                ranked.pop_back();
            }
            if (ranked.empty()) {
                withoutCandidate.insert(*receiver);
                continue;
            }
            std::erase(from, ranked.back().engine);
            assign(*ranked.back().engine, *receiver, AssignmentReason::BelowTarget);
        }
    }

    std::vector<AssignmentChange> takeChanges()
    {
        return std::move(m_changes);
    }

private:
    std::ptrdiff_t shortage(const std::string &model)
    {
        return static_cast<std::ptrdiff_t>(m_targets.at(model)) - static_cast<std::ptrdiff_t>(m_assigned[model].size());
    }

    /// The model that lacks the most engines, but for those in `passedOver`; null if there is none.
    const std::string *mostShort(const std::set<std::string> &passedOver)
    {
        const std::string *result = nullptr;
        for (const auto &[model, target] : m_targets) {
            if (!passedOver.contains(model) && (result == nullptr || shortage(model) > shortage(*result))) {
                result = &model;
            }
        }
        return result;
    }

    /// Whether samples of the model wait that no engine may run with the weights that it has.
    bool isUnserved(const std::string &model, const ModelDemand &needs) const
    {
        return needs.waitingSamples > 0
            && std::none_of(m_engines.begin(), m_engines.end(), [&](const LoadCandidate &engine) {
                   return serves(engine, model, needs);
               });
    }

    /// The unassigned engine, or the engine of a model that keeps another one, that is best for the model. Without any,
    /// the engine of a model that has no waiting samples, if the model has some. Null if there is none.
    const LoadCandidate *takeFirstEngineFor(const std::string &receiver)
    {
        const ModelDemand &needs = m_demand.at(receiver);
        const auto able = [&](const LoadCandidate *engine) {
            return isAble(*engine, receiver, needs);
        };
        if (std::any_of(m_unassigned.begin(), m_unassigned.end(), able)) {
            return takeBest(m_unassigned, receiver);
        }
        const std::string *donor = nullptr;
        const auto rank = [this](const std::string &model) {
            const auto count = static_cast<std::ptrdiff_t>(m_assigned[model].size());
            return std::tuple(count < 2, shortage(model), -count);
        };
        for (const auto &[model, owned] : m_assigned) {
            const bool mayGive = model != receiver && std::any_of(owned.begin(), owned.end(), able)
                && (owned.size() >= 2 || (needs.waitingSamples > 0 && m_demand.at(model).waitingSamples == 0));
            if (mayGive && (donor == nullptr || rank(model) < rank(*donor))) {
                donor = &model;
            }
        }
        if (donor != nullptr) {
            return takeBest(m_assigned[*donor], receiver);
        }
        return m_assigned[receiver].empty() ? takeBest(m_unassigned, receiver) : nullptr;
    }

    /// An engine and how soon it serves a model; the smallest one serves it the soonest.
    struct Ranked
    {
        bool unable = false;
        bool loading = false;
        std::uint64_t versionsBehind = 0;
        std::uint32_t runs = 0;
        std::size_t index = 0; // among the engines that were ranked
        const LoadCandidate *engine = nullptr;

        bool operator<(const Ranked &other) const
        {
            return std::tie(unable, loading, versionsBehind, runs, index)
                < std::tie(other.unable, other.loading, other.versionsBehind, other.runs, other.index);
        }
    };

    /// The engines that may run the samples of the model.
    std::vector<Ranked> rankFor(const std::vector<const LoadCandidate *> &engines, const std::string &model) const
    {
        const ModelDemand &needs = m_demand.at(model);
        std::vector<Ranked> ranked;
        for (std::size_t index = 0; index < engines.size(); ++index) {
            const LoadCandidate &engine = *engines[index];
            if (maySample(engine, needs)) {
                const auto version = engine.versions.find(modelOfDemand(model, needs));
                const std::uint64_t known = version == engine.versions.end() ? 0 : version->second;
                ranked.push_back({.unable = !isAble(engine, model, needs),
                                  .loading = engine.loading,
                                  .versionsBehind = needs.newestVersion - std::min(known, needs.newestVersion),
                                  .runs = engine.runs,
                                  .index = index,
                                  .engine = &engine});
            }
        }
        return ranked;
    }

    /// The same, sorted; the one that serves the model the soonest is the last.
    std::vector<Ranked> candidatesFor(const std::vector<const LoadCandidate *> &engines, const std::string &model) const
    {
        std::vector<Ranked> candidates = rankFor(engines, model);
        std::sort(candidates.rbegin(), candidates.rend());
        return candidates;
    }

    /// Removes the engine that serves the receiver the soonest from the list and returns it; null if none may run its
    /// samples.
    const LoadCandidate *takeBest(std::vector<const LoadCandidate *> &engines, const std::string &receiver) const
    {
        const std::vector<Ranked> ranked = rankFor(engines, receiver);
        const auto best = std::min_element(ranked.begin(), ranked.end());
        if (best == ranked.end()) {
            return nullptr;
        }
        engines.erase(engines.begin() + static_cast<std::ptrdiff_t>(best->index));
        return best->engine;
    }

    void assign(const LoadCandidate &engine, const std::string &model, AssignmentReason reason)
    {
        m_assigned[model].push_back(&engine);
        const std::string from = std::exchange(m_modelByEngine[engine.engine], model);
        recordChange(engine, from, model, reason);
    }

    void
    recordChange(const LoadCandidate &engine, const std::string &from, const std::string &to, AssignmentReason reason)
    {
        const std::string &model = to.empty() ? from : to;
        m_changes.push_back({.engine = engine.engine,
                             .from = from,
                             .to = to,
                             .reason = reason,
                             .assigned = m_assigned[model].size(),
                             .target = m_targets.at(model)});
    }

    const std::vector<LoadCandidate> &m_engines;
    const Demand &m_demand;
    std::map<std::string, std::string> &m_modelByEngine;
    std::map<std::string, std::size_t> m_targets; // engines by model
    std::map<std::string, std::vector<const LoadCandidate *>> m_assigned; // by model
    std::vector<const LoadCandidate *> m_unassigned;
    std::vector<AssignmentChange> m_changes;
};

} // namespace

std::string_view assignmentReasonName(AssignmentReason reason)
{
    switch (reason) {
    case AssignmentReason::FirstEngine:
        return "the model had no engine";
    case AssignmentReason::UnservedModel:
        return "no engine may run the waiting samples of the model";
    case AssignmentReason::BelowTarget:
        return "the model has fewer engines than its share";
    case AssignmentReason::Surplus:
        return "the model has more engines than its samples fill";
    case AssignmentReason::UnusableService:
        return "the service of the engine may not run the samples of the model";
    }
    return "unknown";
}

std::vector<AssignmentChange> ModelAssignments::update(const std::vector<LoadCandidate> &engines,
                                                       const Demand &demand,
                                                       const LoadPlannerOptions &options,
                                                       TimePoint now)
{
    if (demand.empty() || engines.empty()) {
        return {};
    }
    AssignmentPass pass(engines, demand, options, m_modelByEngine);
    pass.assignFirstEngines(m_unservedSince, options.unservedModelPatience, now);
    pass.assignUnassigned();
    pass.releaseSurplus();
    pass.moveFromSurplus();
    return pass.takeChanges();
}

const std::string &ModelAssignments::modelOf(const std::string &engine) const
{
    static const std::string noModel;
    const auto found = m_modelByEngine.find(engine);
    return found == m_modelByEngine.end() ? noModel : found->second;
}

} // namespace bergamot::dispatch
