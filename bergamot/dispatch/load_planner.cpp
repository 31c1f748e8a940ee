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

/// Samples that wait for each model, for each of its engines that serves them or soon will.
std::map<std::string, double> samplesPerEngine(const std::vector<LoadCandidate> &engines,
                                               const std::map<std::string, ModelDemand> &demand,
                                               const EngineHomes &homes)
{
    std::map<std::string, double> result;
    for (const auto &[model, asked] : demand) {
        const auto serving = std::count_if(engines.begin(), engines.end(), [&](const LoadCandidate &engine) {
            const auto version = engine.versions.find(model);
            const bool fresh = version != engine.versions.end() && version->second >= asked.needed;
            return homes.of(engine.engine) == model && (fresh || engine.loading);
        });
        result[model] = static_cast<double>(asked.waiting) / static_cast<double>(serving + 1);
    }
    return result;
}

} // namespace

void EngineHomes::update(const std::vector<LoadCandidate> &engines, const std::map<std::string, ModelDemand> &demand)
{
    if (demand.empty()) {
        return;
    }
    std::map<std::string, std::vector<std::string>> settled; // engines by model
    std::vector<std::string> unsettled;
    std::map<std::string, std::string> kept;
    for (const LoadCandidate &engine : engines) {
        const auto home = m_homes.find(engine.engine);
        if (home != m_homes.end() && demand.contains(home->second)) {
            settled[home->second].push_back(engine.engine);
            kept.insert(*home);
        } else {
            unsettled.push_back(engine.engine);
        }
    }
    m_homes = std::move(kept);
    const std::map<std::string, std::size_t> wanted = shares(engines.size(), demand);
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
        settled[model].push_back(engine);
        m_homes[engine] = model;
    }
    constexpr std::ptrdiff_t WorthMoving = 2; // a move costs a load
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

std::string EngineHomes::of(const std::string &engine) const
{
    const auto found = m_homes.find(engine);
    return found == m_homes.end() ? std::string() : found->second;
}

std::optional<PlannedLoad> nextLoad(const std::vector<LoadCandidate> &engines,
                                    const std::map<std::string, ModelDemand> &demand,
                                    const EngineHomes &homes,
                                    const LoadPlannerOptions &options)
{
    const auto loading = std::count_if(engines.begin(), engines.end(), [](const LoadCandidate &engine) {
        return engine.loading;
    });
    const auto most = std::max(1L, std::lround(static_cast<double>(engines.size()) * options.shareAtOnce));
    if (loading >= most) {
        return std::nullopt;
    }
    const std::map<std::string, double> crowds = samplesPerEngine(engines, demand, homes);
    // First for the model whose samples wait for it most, then the one that is furthest behind, then the one with the
    // least to finish.
    using Rank = std::tuple<double, std::int64_t, std::uint32_t>;
    std::optional<PlannedLoad> best;
    Rank bestRank{};
    for (const LoadCandidate &engine : engines) {
        if (engine.loading || !engine.usable || !engine.mayOrder) {
            continue;
        }
        for (const auto &[model, version] : engine.versions) {
            const auto found = demand.find(model);
            const bool elsewhere = homes.of(engine.engine) != model;
            if (found == demand.end() || elsewhere || version >= found->second.named) {
                continue;
            }
            const ModelDemand &asked = found->second;
            const bool useless = version < asked.needed || version + 1 < asked.named;
            const bool idle = engine.runs == 0 && asked.waiting == 0;
            // A load only keeps new runs away, and none can start where no slot is free or no sample waits.
            const bool unharmed = asked.runsContinue && (asked.waiting == 0 || engine.runs >= engine.slots);
            const double crowd = version < asked.needed ? crowds.at(model) : 0;
            const Rank rank{
                -crowd, static_cast<std::int64_t>(version) - static_cast<std::int64_t>(asked.named), engine.runs};
            if ((useless || idle || unharmed) && (!best || rank < bestRank)) {
                best = PlannedLoad{.engine = engine.engine, .model = model, .version = asked.named};
                bestRank = rank;
            }
        }
    }
    return best;
}

} // namespace bergamot::dispatch
