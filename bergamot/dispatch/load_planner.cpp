#include "bergamot/dispatch/load_planner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace bergamot::dispatch
{

namespace
{

/// Engines for each model: shares of `engines` by work, at least one each.
std::map<std::string, std::size_t> shares(std::size_t engines, const std::map<std::string, ModelDemand> &demand)
{
    double total = 0;
    double known = 0;
    std::size_t withWork = 0;
    for (const auto &[model, asked] : demand) {
        known += asked.work;
        withWork += asked.work > 0 ? 1 : 0;
    }
    const double usual = withWork == 0 ? 1 : known / static_cast<double>(withWork);
    const auto work = [usual](const ModelDemand &asked) {
        return asked.work > 0 ? asked.work : usual;
    };
    for (const auto &[model, asked] : demand) {
        total += work(asked);
    }
    std::map<std::string, std::size_t> result;
    std::vector<std::pair<double, std::string>> remainders;
    std::size_t given = 0;
    for (const auto &[model, asked] : demand) {
        const double exact = static_cast<double>(engines) * work(asked) / total;
        result[model] = std::max<std::size_t>(1, static_cast<std::size_t>(exact));
        given += result[model];
        remainders.emplace_back(exact - std::floor(exact), model);
    }
    std::sort(remainders.rbegin(), remainders.rend());
    for (const auto &[remainder, model] : remainders) {
        if (given < engines) {
            ++result[model];
            ++given;
        }
    }
    return result;
}

/// An engine that may be told to load the newest version of its home model.
struct Possible
{
    const LoadCandidate *engine = nullptr;
    const std::string *model = nullptr;
    const ModelDemand *asked = nullptr;
    std::int64_t behind = 0; // versions
    bool tooOld = false; // for the open batches
};

std::optional<Possible>
possibleLoad(const LoadCandidate &engine, const std::map<std::string, ModelDemand> &demand, const std::string &home)
{
    const auto version = engine.versions.find(home);
    const auto asked = demand.find(home);
    if (engine.loading || !engine.usable || !engine.mayOrder || version == engine.versions.end()
        || asked == demand.end() || version->second >= asked->second.named) {
        return std::nullopt;
    }
    const ModelDemand &wanted = asked->second;
    const bool tooOld = version->second < wanted.needed;
    const bool idle = engine.runs == 0 && wanted.waiting == 0;
    // A load only keeps new runs away, and none can start where no slot is free or no sample waits.
    const bool unharmed = wanted.runsContinue && (wanted.waiting == 0 || engine.runs >= engine.slots);
    if (!tooOld && version->second + 1 >= wanted.named && !idle && !unharmed) {
        return std::nullopt;
    }
    return Possible{.engine = &engine,
                    .model = &asked->first,
                    .asked = &wanted,
                    .behind = static_cast<std::int64_t>(wanted.named - version->second),
                    .tooOld = tooOld};
}

/// The engines whose home one model is.
struct HomeCount
{
    std::size_t all = 0;
    std::size_t serving = 0; // with weights that the open batches allow, or loading
    std::size_t ready = 0; // with the newest weights, or loading
};

std::map<std::string, HomeCount> countHomes(const std::vector<LoadCandidate> &engines,
                                            const std::map<std::string, ModelDemand> &demand,
                                            const EngineHomes &homes)
{
    std::map<std::string, HomeCount> result;
    for (const LoadCandidate &engine : engines) {
        const std::string &home = homes.of(engine.engine);
        const auto version = engine.versions.find(home);
        const auto asked = demand.find(home);
        if (version == engine.versions.end() || asked == demand.end()) {
            continue;
        }
        HomeCount &count = result[home];
        ++count.all;
        count.serving += engine.loading || version->second >= asked->second.needed ? 1 : 0;
        count.ready += engine.loading || version->second >= asked->second.named ? 1 : 0;
    }
    return result;
}

} // namespace

void EngineHomes::update(const std::vector<LoadCandidate> &engines,
                         const std::map<std::string, ModelDemand> &demand,
                         const LoadPlannerOptions &options)
{
    if (demand.empty() || engines.empty()) {
        return;
    }
    std::map<std::string, std::vector<std::string>> settled; // engines by model
    std::vector<std::string> unsettled;
    std::map<std::string, std::string> kept;
    std::uint64_t slots = 0;
    for (const LoadCandidate &engine : engines) {
        slots += engine.slots;
        if (engine.draining) {
            continue;
        }
        const auto home = m_homes.find(engine.engine);
        if (home != m_homes.end() && demand.contains(home->second)) {
            settled[home->second].push_back(engine.engine);
            kept.insert(*home);
        } else {
            unsettled.push_back(engine.engine);
        }
    }
    m_homes = std::move(kept);
    std::map<std::string, std::size_t> wanted = shares(engines.size(), demand);
    const double usualSlots = static_cast<double>(slots) / static_cast<double>(engines.size());
    for (auto &[model, count] : wanted) {
        const double samples = demand.at(model).peakSamples;
        if (samples > 0) {
            count = std::min(count, static_cast<std::size_t>(std::ceil(samples * options.spare / usualSlots)));
        }
    }
    const auto shortage = [&](const std::string &model) {
        return static_cast<std::ptrdiff_t>(wanted.at(model)) - static_cast<std::ptrdiff_t>(settled[model].size());
    };
    const auto neediest = [&] {
        return std::max_element(wanted.begin(),
                                wanted.end(),
                                [&](const auto &left, const auto &right) {
                                    return shortage(left.first) < shortage(right.first);
                                })
            ->first;
    };
    for (const std::string &engine : unsettled) {
        const std::string model = neediest();
        if (shortage(model) <= 0) {
            break;
        }
        settled[model].push_back(engine);
        m_homes[engine] = model;
    }
    constexpr std::ptrdiff_t WorthMoving = 2; // a move costs a load
    for (auto &[model, count] : wanted) {
        const auto surplus = WorthMoving + static_cast<std::ptrdiff_t>(count / 4);
        std::vector<std::string> &from = settled[model];
        while (demand.at(model).peakSamples > 0 && -shortage(model) >= surplus) {
            m_homes.erase(from.back());
            from.pop_back();
        }
    }
    for (std::string needy = neediest(); shortage(needy) >= WorthMoving; needy = neediest()) {
        const auto rich = std::min_element(wanted.begin(), wanted.end(), [&](const auto &left, const auto &right) {
            return shortage(left.first) < shortage(right.first);
        });
        std::vector<std::string> &from = settled[rich->first];
        if (shortage(rich->first) >= 0 || from.empty()) {
            return;
        }
        settled[needy].push_back(from.back());
        m_homes[from.back()] = needy;
        from.pop_back();
    }
}

const std::string &EngineHomes::of(const std::string &engine) const
{
    static const std::string none;
    const auto found = m_homes.find(engine);
    return found == m_homes.end() ? none : found->second;
}

std::vector<PlannedLoad> nextLoads(const std::vector<LoadCandidate> &engines,
                                   const std::map<std::string, ModelDemand> &demand,
                                   const EngineHomes &homes,
                                   const LoadPlannerOptions &options)
{
    auto loading = std::count_if(engines.begin(), engines.end(), [](const LoadCandidate &engine) {
        return engine.loading;
    });
    const auto most = std::max(1L, std::lround(static_cast<double>(engines.size()) * options.shareAtOnce));
    if (loading >= most) {
        return {};
    }
    std::vector<Possible> possible;
    for (const LoadCandidate &engine : engines) {
        if (const std::optional<Possible> load = possibleLoad(engine, demand, homes.of(engine.engine))) {
            possible.push_back(*load);
        }
    }
    std::map<std::string, HomeCount> counts = countHomes(engines, demand, homes);
    std::vector<PlannedLoad> planned;
    while (loading < most && !possible.empty()) {
        // First for the model with the most waiting samples for each engine that serves them, then the engine that is
        // furthest behind, then the one with the least to finish.
        const auto rank = [&counts](const Possible &load) {
            const double crowd =
                static_cast<double>(load.asked->waiting) / static_cast<double>(counts[*load.model].serving + 1);
            return std::tuple(load.tooOld ? -crowd : 0, -load.behind, load.engine->runs);
        };
        const auto best =
            std::min_element(possible.begin(), possible.end(), [&rank](const Possible &left, const Possible &right) {
                return rank(left) < rank(right);
            });
        HomeCount &count = counts[*best->model];
        const bool enough = static_cast<double>(count.ready) >= options.readyShare * static_cast<double>(count.all);
        if (best->tooOld || !enough) {
            planned.push_back({.engine = best->engine->engine, .model = *best->model, .version = best->asked->named});
            ++count.serving;
            ++count.ready;
            ++loading;
        }
        possible.erase(best);
    }
    return planned;
}

} // namespace bergamot::dispatch
