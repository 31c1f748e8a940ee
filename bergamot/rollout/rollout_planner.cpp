#include "bergamot/rollout/rollout_planner.h"

namespace bergamot
{

namespace
{

constexpr std::uint32_t WholePercent = 100;

} // namespace

std::string_view reasonName(RolloutReason reason)
{
    switch (reason) {
    case RolloutReason::NewHolder:
        return "take-over";
    case RolloutReason::NewVersion:
        return "new-version";
    case RolloutReason::SupersededLoad:
        return "overtaken";
    case RolloutReason::FailedSwap:
        return "failed-swap";
    case RolloutReason::SwapTimeout:
        return "too-slow";
    case RolloutReason::RemovedFromService:
        return "taken-out";
    }
    return "unknown";
}

RolloutPlanner::RolloutPlanner(RolloutOptions options)
    : m_options(options)
{ }

void RolloutPlanner::setGoal(const RolloutGoal &goal)
{
    m_goal = goal;
    m_target = goal.configured != 0 ? goal.configured : std::max(m_target, goal.published);
}

void RolloutPlanner::setEngines(const std::vector<RolloutEngine> &engines)
{
    std::map<EndpointId, Engine> next;
    for (const RolloutEngine &observed : engines) {
        Engine engine;
        if (const auto existing = m_engines.find(observed.engine); existing != m_engines.end()) {
            engine = std::move(existing->second);
        }
        engine.observed = observed;
        next.emplace(observed.engine, std::move(engine));
    }
    m_engines = std::move(next);
}

std::vector<RolloutAction> RolloutPlanner::plan(TimePoint now, std::optional<FencingNumber> fencing)
{
    if (fencing != m_fencing) {
        resetProgress();
        m_fencing = fencing;
        m_heldSince = now;
    }
    std::vector<RolloutAction> actions;
    const bool oldOrdersMayArrive = !m_goal.enginesCheckFencing && now < m_heldSince + m_options.maxDeliveryTime;
    if (!m_fencing || m_target == 0 || oldOrdersMayArrive) {
        return actions;
    }
    returnToService(now);
    for (Engine *engine : enginesByPriority()) {
        const bool timedOut = engine->phase == Phase::Loading && now >= engine->orderedAt + m_options.swapTimeout;
        if (timedOut) {
            recordFailure(*engine, RolloutReason::SwapTimeout, now);
        }
        if (engine->outOfServiceUntil && engine->nextOrderReason == RolloutReason::RemovedFromService
            && engine->phase == Phase::NoOrder) {
            engine->nextOrderReason = RolloutReason::NewVersion;
            actions.push_back(order(*engine, RolloutReason::RemovedFromService, now));
        } else if (needsOrder(*engine, now) && (!isSwap(*engine) || mayStartSwap(*engine))) {
            actions.push_back(order(*engine, orderReason(*engine), now));
        } else if (engine->phase == Phase::Loading && !engine->reading && now >= engine->nextRead) {
            actions.push_back(readState(*engine));
        }
    }
    return actions;
}

/// Engines with an order in progress come first, so that a newer version reaches them. Engines without failures come
/// before engines that failed, and engines with less load before engines with more.
std::vector<RolloutPlanner::Engine *> RolloutPlanner::enginesByPriority()
{
    std::vector<Engine *> result;
    for (auto &[id, engine] : m_engines) {
        result.push_back(&engine);
    }
    std::stable_sort(result.begin(), result.end(), [](const Engine *left, const Engine *right) {
        const auto rank = [](const Engine *engine) {
            return std::tuple(engine->phase == Phase::NoOrder, engine->failures > 0, engine->observed.load);
        };
        return rank(left) < rank(right);
    });
    return result;
}

bool RolloutPlanner::needsOrder(const Engine &engine, TimePoint now) const
{
    const RolloutEngine &observed = engine.observed;
    const bool notOrderable = !observed.reachable || observed.leaving || engine.outOfServiceUntil.has_value();
    if (notOrderable || engine.phase == Phase::Ordering || now < engine.notBefore) {
        return false;
    }
    if (engine.phase == Phase::Loading) {
        return engine.ordered != m_target;
    }
    const bool isOlder = observed.version < m_target;
    const bool mayDowngrade = m_goal.configured != 0 && observed.version != m_target;
    return isOlder || mayDowngrade || engine.fencing != *m_fencing;
}

bool RolloutPlanner::isSwap(const Engine &engine) const
{
    return engine.phase == Phase::NoOrder && engine.observed.version != m_target;
}

RolloutReason RolloutPlanner::orderReason(const Engine &engine) const
{
    if (engine.phase == Phase::Loading) {
        return RolloutReason::SupersededLoad;
    }
    if (engine.failures > 0) {
        return engine.nextOrderReason;
    }
    return engine.observed.version == m_target ? RolloutReason::NewHolder : RolloutReason::NewVersion;
}

bool RolloutPlanner::mayStartSwap(const Engine &candidate) const
{
    std::size_t serving = 0;
    std::size_t swapping = 0;
    for (const auto &[id, engine] : m_engines) {
        const bool swaps = engine.phase != Phase::NoOrder && engine.observed.version != engine.ordered;
        const bool serves = engine.observed.reachable && !engine.observed.leaving && !engine.outOfServiceUntil && !swaps
            && engine.observed.version != 0;
        swapping += swaps ? 1 : 0;
        serving += serves ? 1 : 0;
    }
    const std::size_t floor = (m_engines.size() * m_goal.capacityFloorPercent + WholePercent - 1) / WholePercent;
    if (swapping >= std::max<std::uint64_t>(m_goal.concurrentFetches, 1)) {
        return false;
    }
    // One swap at a time is allowed even below the capacity floor, or old weights could stay forever. Swapping an
    // engine that does not serve reduces no capacity.
    return swapping == 0 || serving > floor || candidate.observed.version == 0;
}

RolloutAction RolloutPlanner::order(Engine &engine, RolloutReason reason, TimePoint now)
{
    const bool removes = reason == RolloutReason::RemovedFromService;
    engine.phase = Phase::Ordering;
    engine.ordered = removes ? 0 : m_target;
    engine.orderedAt = now;
    engine.reading = false;
    EngineOrder order;
    order.fencing = *m_fencing;
    order.model = m_goal.model;
    // Version 0 keeps the loaded weights: an engine that a previous plan brought to a newer version is not changed.
    const bool keepsNewer = m_goal.configured == 0 && engine.observed.version > m_target;
    order.version = removes || keepsNewer ? 0 : m_target;
    order.role = removes ? EngineRole::Idle : EngineRole::Serving;
    return {.kind = RolloutAction::Kind::Order,
            .engine = engine.observed.engine,
            .address = engine.observed.address,
            .order = std::move(order),
            .reason = reason};
}

RolloutAction RolloutPlanner::readState(Engine &engine)
{
    engine.reading = true;
    RolloutAction action;
    action.kind = RolloutAction::Kind::ReadState;
    action.engine = engine.observed.engine;
    action.address = engine.observed.address;
    return action;
}

void RolloutPlanner::orderEnded(const EndpointId &engineId, const Result<void> &outcome, TimePoint now)
{
    const auto found = m_engines.find(engineId);
    if (found == m_engines.end() || found->second.phase != Phase::Ordering) {
        return;
    }
    Engine &engine = found->second;
    if (engine.outOfServiceUntil) {
        engine.phase = Phase::NoOrder;
        return;
    }
    if (outcome) {
        engine.fencing = m_fencing.value_or(0);
    }
    const bool refused =
        !outcome && (outcome.error().code == ErrorCode::Conflict || outcome.error().code == ErrorCode::Unavailable);
    if (refused) {
        engine.phase = Phase::NoOrder;
        engine.notBefore = now + m_options.retryDelay;
        return;
    }
    // Also after a lost answer: the order may have taken effect, which only the state of the engine shows.
    engine.phase = Phase::Loading;
    engine.nextRead = now;
}

void RolloutPlanner::stateRead(const EndpointId &engineId, const Result<EngineState> &state, TimePoint now)
{
    const auto found = m_engines.find(engineId);
    if (found == m_engines.end() || !found->second.reading) {
        return;
    }
    Engine &engine = found->second;
    engine.reading = false;
    engine.nextRead = now + m_options.readBackPeriod;
    if (engine.phase != Phase::Loading || !state) {
        return; // no state: `swapTimeout` or the next `setEngines` resolves it
    }
    engine.observed.version = state->version;
    engine.observed.loading = state->loading;
    const bool newer = m_goal.configured == 0 && state->version > engine.ordered;
    if (state->version == engine.ordered || newer) {
        engine.phase = Phase::NoOrder;
        engine.failures = 0;
        return;
    }
    if (state->loading != engine.ordered) {
        recordFailure(engine, RolloutReason::FailedSwap, now);
    }
}

void RolloutPlanner::recordFailure(Engine &engine, RolloutReason reason, TimePoint now)
{
    engine.phase = Phase::NoOrder;
    engine.nextOrderReason = reason;
    engine.notBefore = now + m_options.retryDelay;
    if (++engine.failures >= m_options.maxFailures) {
        engine.outOfServiceUntil = now + m_options.outOfServicePeriod;
        engine.nextOrderReason = RolloutReason::RemovedFromService; // the next plan orders the idle role once
    }
}

void RolloutPlanner::returnToService(TimePoint now)
{
    for (auto &[id, engine] : m_engines) {
        if (engine.outOfServiceUntil && now >= *engine.outOfServiceUntil) {
            engine.outOfServiceUntil.reset();
            engine.failures = 0;
            engine.fencing = 0; // forces an order that sets the serving role again
        }
    }
}

void RolloutPlanner::resetProgress()
{
    for (auto &[id, engine] : m_engines) {
        const RolloutEngine observed = engine.observed;
        engine = Engine();
        engine.observed = observed;
    }
}

std::vector<EndpointId> RolloutPlanner::outOfService() const
{
    std::vector<EndpointId> result;
    for (const auto &[id, engine] : m_engines) {
        if (engine.outOfServiceUntil) {
            result.push_back(id);
        }
    }
    return result;
}

bool RolloutPlanner::isComplete() const
{
    return std::all_of(m_engines.begin(), m_engines.end(), [this](const auto &entry) {
        const Engine &engine = entry.second;
        const bool inService = engine.observed.reachable && !engine.observed.leaving && !engine.outOfServiceUntil;
        return !inService || (engine.phase == Phase::NoOrder && engine.observed.version >= m_target);
    });
}

} // namespace bergamot
