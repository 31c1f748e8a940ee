#include "bergamot/samples/dispatch_planner.h"

namespace bergamot
{

namespace
{

constexpr double PrefixHitGain = 0.3; // value of a cached prefix, as a fraction of an engine's slots
constexpr double LoadingCost = 0.5; // a weight swap pauses the engine's batch
constexpr double SlownessCost = 1; // cost of an engine at half the median speed

} // namespace

DispatchPlanner::DispatchPlanner(std::vector<EngineLoad> engines, std::vector<TrainerDemand> trainers)
    : m_engines(std::move(engines))
    , m_trainers(std::move(trainers))
    , m_blocked(m_trainers.size())
{
    for (const EngineLoad &engine : m_engines) {
        if (engine.usable) {
            m_slots += engine.slots;
            m_newest = std::max(m_newest, engine.version);
        }
        m_freeSlots += engine.freeSlots();
        m_queueingEngines += engine.acceptsQueued() ? 1 : 0;
    }
    for (const TrainerDemand &trainer : m_trainers) {
        m_shareSum += trainer.sharePercent;
    }
}

std::uint32_t DispatchPlanner::guaranteed(std::size_t trainer) const
{
    if (m_shareSum == 0) {
        return 0;
    }
    // Shares that add up to more than 100 are scaled down; if they add up to less than 100, the rest can be borrowed.
    const std::uint64_t totalShare = std::max<std::uint64_t>(m_shareSum, 100);
    const std::uint64_t slots = std::uint64_t{m_slots} * m_trainers[trainer].sharePercent / totalShare;
    return static_cast<std::uint32_t>(std::max<std::uint64_t>(slots, 1));
}

bool DispatchPlanner::wouldBorrow(std::size_t trainer) const
{
    return m_trainers[trainer].inFlight >= guaranteed(trainer);
}

std::uint32_t DispatchPlanner::sampleSlots() const
{
    std::uint32_t slots = 0;
    for (const EngineLoad &engine : m_engines) {
        slots += engine.usable ? engine.slots - std::min(engine.slots, engine.otherRequests) : 0;
    }
    return slots;
}

void DispatchPlanner::setDemand(std::size_t trainer, std::uint32_t waiting, Duration due, bool claimsShare)
{
    TrainerDemand &demand = m_trainers[trainer];
    demand.waiting = waiting;
    demand.due = due;
    demand.claimsShare = claimsShare;
}

bool DispatchPlanner::isGuaranteed(std::size_t trainer) const
{
    return m_trainers[trainer].claimsShare && !wouldBorrow(trainer);
}

bool DispatchPlanner::precedes(std::size_t left, std::size_t right) const
{
    if (isGuaranteed(left) != isGuaranteed(right)) {
        return isGuaranteed(left);
    }
    if (!isGuaranteed(left) && m_trainers[left].due != m_trainers[right].due) {
        return m_trainers[left].due < m_trainers[right].due;
    }
    const auto ratio = [](const TrainerDemand &demand) {
        return static_cast<double>(demand.inFlight) / std::max<double>(demand.sharePercent, 1);
    };
    return ratio(m_trainers[left]) < ratio(m_trainers[right]);
}

std::optional<std::size_t> DispatchPlanner::nextTrainer() const
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < m_trainers.size(); ++i) {
        const bool capped = wouldBorrow(i) && !m_trainers[i].strategy->borrowsIdleSlots;
        const bool full = m_freeSlots == 0 && (!isGuaranteed(i) || m_queueingEngines == 0);
        if (m_blocked[i] || m_trainers[i].waiting == 0 || capped || full) {
            continue;
        }
        if (!best || precedes(i, *best)) {
            best = i;
        }
    }
    return best;
}

bool DispatchPlanner::accepts(const EngineLoad &engine, std::size_t trainer) const
{
    const bool mayQueue = m_freeSlots == 0 && isGuaranteed(trainer);
    return engine.freeSlots() > 0 || (mayQueue && engine.acceptsQueued());
}

std::pair<std::size_t, std::size_t> DispatchPlanner::dedicatedEngines(std::size_t trainer) const
{
    std::uint64_t before = 0;
    for (std::size_t i = 0; i < trainer; ++i) {
        before += m_trainers[i].sharePercent;
    }
    const std::uint64_t totalShare = std::max<std::uint64_t>(m_shareSum, 1);
    const std::size_t first = m_engines.size() * before / totalShare;
    const std::size_t last = m_engines.size() * (before + m_trainers[trainer].sharePercent) / totalShare;
    return {first, std::max(last, first + 1)};
}

std::optional<std::size_t> DispatchPlanner::nextRoundRobinEngine(std::size_t trainer,
                                                                 std::uint64_t dispatchIndex,
                                                                 const EnginePreferences &preferences) const
{
    const auto [first, last] = dedicatedEngines(trainer);
    const std::size_t count = std::min(last, m_engines.size()) - std::min(first, m_engines.size());
    for (std::size_t i = 0; i < count; ++i) {
        const std::size_t index = first + (dispatchIndex + i) % count;
        if (m_engines[index].freeSlots() > 0 && preferences.permits(m_engines[index])) {
            return index;
        }
    }
    return std::nullopt;
}

double DispatchPlanner::cost(const EngineLoad &engine,
                             const DispatchStrategy &strategy,
                             const EnginePreferences &preferences) const
{
    double cost = static_cast<double>(engine.ownSamples + engine.otherRequests) / std::max<double>(engine.slots, 1);
    cost += strategy.versionLagCost * static_cast<double>(m_newest - std::min(m_newest, engine.version));
    cost += engine.loading ? LoadingCost : 0;
    cost += engine.speed < 1 ? SlownessCost * (1 / std::max(engine.speed, 0.01) - 1) : 0;
    cost -= engine.engine == preferences.groupEngine ? PrefixHitGain : 0;
    return cost;
}

std::optional<std::size_t> DispatchPlanner::chooseEngine(std::size_t trainer,
                                                         std::uint64_t dispatchIndex,
                                                         const EnginePreferences &preferences) const
{
    const DispatchStrategy &strategy = *m_trainers[trainer].strategy;
    if (strategy.roundRobin) {
        return nextRoundRobinEngine(trainer, dispatchIndex, preferences);
    }
    std::optional<std::size_t> best;
    double bestCost = 0;
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        const EngineLoad &engine = m_engines[i];
        if (!accepts(engine, trainer) || engine.engine == preferences.excludedEngine || !preferences.permits(engine)) {
            continue;
        }
        const double engineCost = cost(engine, strategy, preferences);
        if (!best || engineCost < bestCost) {
            best = i;
            bestCost = engineCost;
        }
    }
    return best;
}

void DispatchPlanner::recordAssignment(std::size_t trainer, std::size_t engine, bool speculative)
{
    m_freeSlots -= m_engines[engine].freeSlots() > 0 ? 1 : 0;
    m_queueingEngines -= m_engines[engine].acceptsQueued() ? 1 : 0;
    ++m_engines[engine].ownSamples;
    m_queueingEngines += m_engines[engine].acceptsQueued() ? 1 : 0;
    ++m_trainers[trainer].inFlight;
    m_trainers[trainer].waiting -= speculative ? 0 : 1;
}

void DispatchPlanner::block(std::size_t trainer)
{
    m_blocked[trainer] = true;
}

std::vector<SlotRelease> DispatchPlanner::slotReleases() const
{
    std::uint32_t missing = 0;
    for (std::size_t i = 0; i < m_trainers.size(); ++i) {
        const TrainerDemand &demand = m_trainers[i];
        const std::uint32_t share = guaranteed(i);
        if (demand.strategy->borrowsIdleSlots && demand.claimsShare && demand.inFlight < share && !m_blocked[i]) {
            missing += std::min(share - demand.inFlight, demand.waiting);
        }
    }
    missing -= std::min(missing, m_freeSlots);
    std::vector<SlotRelease> result;
    for (std::size_t i = 0; i < m_trainers.size() && missing > 0; ++i) {
        const std::uint32_t share = guaranteed(i);
        if (m_trainers[i].inFlight > share) {
            const std::uint32_t count = std::min(missing, m_trainers[i].inFlight - share);
            result.push_back({.trainer = i, .count = count});
            missing -= count;
        }
    }
    return result;
}

} // namespace bergamot
