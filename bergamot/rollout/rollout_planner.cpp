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
    case RolloutReason::TakeOver:
        return "take-over";
    case RolloutReason::NewVersion:
        return "new-version";
    case RolloutReason::Overtaken:
        return "overtaken";
    case RolloutReason::FailedSwap:
        return "failed-swap";
    case RolloutReason::TooSlow:
        return "too-slow";
    case RolloutReason::TakenOut:
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
    for (const RolloutEngine &seen : engines) {
        Engine engine;
        if (const auto known = m_engines.find(seen.engine); known != m_engines.end()) {
            engine = std::move(known->second);
        }
        engine.seen = seen;
        next.emplace(seen.engine, std::move(engine));
    }
    m_engines = std::move(next);
}

std::vector<RolloutAction> RolloutPlanner::plan(TimePoint now, std::optional<FencingNumber> fencing)
{
    if (fencing != m_fencing) {
        forgetProgress();
        m_fencing = fencing;
        m_heldSince = now;
    }
    std::vector<RolloutAction> actions;
    const bool oldOrdersMayArrive = !m_goal.enginesCheckFencing && now < m_heldSince + m_options.longestDelivery;
    if (!m_fencing || m_target == 0 || oldOrdersMayArrive) {
        return actions;
    }
    returnTakenOut(now);
    for (Engine *engine : inOrder()) {
        const bool late = engine->phase == Phase::Loading && now >= engine->orderedAt + m_options.swapTimeout;
        if (late) {
            failed(*engine, RolloutReason::TooSlow, now);
        }
        if (engine->outUntil && engine->why == RolloutReason::TakenOut && engine->phase == Phase::Settled) {
            engine->why = RolloutReason::NewVersion;
            actions.push_back(order(*engine, RolloutReason::TakenOut, now));
        } else if (needsOrder(*engine, now) && (!isSwap(*engine) || mayStart(*engine))) {
            actions.push_back(order(*engine, orderReason(*engine), now));
        } else if (engine->phase == Phase::Loading && !engine->reading && now >= engine->nextRead) {
            actions.push_back(readState(*engine));
        }
    }
    return actions;
}

/// Those that lose least first; engines that already load come before all, so that an overtaking version reaches them.
std::vector<RolloutPlanner::Engine *> RolloutPlanner::inOrder()
{
    std::vector<Engine *> result;
    for (auto &[id, engine] : m_engines) {
        result.push_back(&engine);
    }
    std::stable_sort(result.begin(), result.end(), [](const Engine *left, const Engine *right) {
        const auto rank = [](const Engine *engine) {
            return std::tuple(engine->phase == Phase::Settled, engine->failures > 0, engine->seen.load);
        };
        return rank(left) < rank(right);
    });
    return result;
}

bool RolloutPlanner::needsOrder(const Engine &engine, TimePoint now) const
{
    const RolloutEngine &seen = engine.seen;
    const bool takesNone = !seen.reachable || seen.leaving || engine.outUntil.has_value();
    if (takesNone || engine.phase == Phase::Ordering || now < engine.notBefore) {
        return false;
    }
    if (engine.phase == Phase::Loading) {
        return engine.ordered != m_target;
    }
    const bool below = seen.version < m_target;
    const bool mayFall = m_goal.configured != 0 && seen.version != m_target;
    return below || mayFall || engine.fencing != *m_fencing;
}

bool RolloutPlanner::isSwap(const Engine &engine) const
{
    return engine.phase == Phase::Settled && engine.seen.version != m_target;
}

RolloutReason RolloutPlanner::orderReason(const Engine &engine) const
{
    if (engine.phase == Phase::Loading) {
        return RolloutReason::Overtaken;
    }
    if (engine.failures > 0) {
        return engine.why;
    }
    return engine.seen.version == m_target ? RolloutReason::TakeOver : RolloutReason::NewVersion;
}

bool RolloutPlanner::mayStart(const Engine &candidate) const
{
    std::size_t serving = 0;
    std::size_t swapping = 0;
    for (const auto &[id, engine] : m_engines) {
        const bool swaps = engine.phase != Phase::Settled && engine.seen.version != engine.ordered;
        const bool serves =
            engine.seen.reachable && !engine.seen.leaving && !engine.outUntil && !swaps && engine.seen.version != 0;
        swapping += swaps ? 1 : 0;
        serving += serves ? 1 : 0;
    }
    const std::size_t floor = (m_engines.size() * m_goal.capacityFloorPercent + WholePercent - 1) / WholePercent;
    if (swapping >= std::max<std::uint64_t>(m_goal.concurrentFetches, 1)) {
        return false;
    }
    // One at a time goes on even below the floor: old weights must not stay for good. An engine that does not serve
    // takes nothing away.
    return swapping == 0 || serving > floor || candidate.seen.version == 0;
}

RolloutAction RolloutPlanner::order(Engine &engine, RolloutReason reason, TimePoint now)
{
    const bool out = reason == RolloutReason::TakenOut;
    engine.phase = Phase::Ordering;
    engine.ordered = out ? 0 : m_target;
    engine.orderedAt = now;
    engine.reading = false;
    EngineOrder order;
    order.fencing = *m_fencing;
    order.model = m_goal.model;
    // Version 0 leaves the weights as they are: an engine that was newer under another plan is not touched.
    const bool keepsNewer = m_goal.configured == 0 && engine.seen.version > m_target;
    order.version = out || keepsNewer ? 0 : m_target;
    order.role = out ? EngineRole::Idle : EngineRole::Serving;
    return {.kind = RolloutAction::Kind::Order,
            .engine = engine.seen.engine,
            .address = engine.seen.address,
            .order = std::move(order),
            .reason = reason};
}

RolloutAction RolloutPlanner::readState(Engine &engine)
{
    engine.reading = true;
    RolloutAction action;
    action.kind = RolloutAction::Kind::ReadState;
    action.engine = engine.seen.engine;
    action.address = engine.seen.address;
    return action;
}

void RolloutPlanner::orderEnded(const EndpointId &engineId, const Result<void> &outcome, TimePoint now)
{
    const auto found = m_engines.find(engineId);
    if (found == m_engines.end() || found->second.phase != Phase::Ordering) {
        return;
    }
    Engine &engine = found->second;
    if (engine.outUntil) {
        engine.phase = Phase::Settled;
        return;
    }
    if (outcome) {
        engine.fencing = m_fencing.value_or(0);
    }
    const bool refused =
        !outcome && (outcome.error().code == ErrorCode::Conflict || outcome.error().code == ErrorCode::Unavailable);
    if (refused) {
        engine.phase = Phase::Settled;
        engine.notBefore = now + m_options.retryDelay;
        return;
    }
    // Also when the answer was lost: the order may have taken effect, and only the engine can tell.
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
        return; // silent: `swapTimeout` and the next picture decide
    }
    engine.seen.version = state->version;
    engine.seen.loading = state->loading;
    const bool newer = m_goal.configured == 0 && state->version > engine.ordered;
    if (state->version == engine.ordered || newer) {
        engine.phase = Phase::Settled;
        engine.failures = 0;
        return;
    }
    if (state->loading != engine.ordered) {
        failed(engine, RolloutReason::FailedSwap, now);
    }
}

void RolloutPlanner::failed(Engine &engine, RolloutReason reason, TimePoint now)
{
    engine.phase = Phase::Settled;
    engine.why = reason;
    engine.notBefore = now + m_options.retryDelay;
    if (++engine.failures >= m_options.maxFailures) {
        engine.outUntil = now + m_options.takenOutFor;
        engine.why = RolloutReason::TakenOut; // ordered once, with the next plan
    }
}

void RolloutPlanner::returnTakenOut(TimePoint now)
{
    for (auto &[id, engine] : m_engines) {
        if (engine.outUntil && now >= *engine.outUntil) {
            engine.outUntil.reset();
            engine.failures = 0;
            engine.fencing = 0; // its role has to be ordered anew
        }
    }
}

void RolloutPlanner::forgetProgress()
{
    for (auto &[id, engine] : m_engines) {
        const RolloutEngine seen = engine.seen;
        engine = Engine();
        engine.seen = seen;
    }
}

std::vector<EndpointId> RolloutPlanner::takenOut() const
{
    std::vector<EndpointId> result;
    for (const auto &[id, engine] : m_engines) {
        if (engine.outUntil) {
            result.push_back(id);
        }
    }
    return result;
}

bool RolloutPlanner::isComplete() const
{
    return std::all_of(m_engines.begin(), m_engines.end(), [this](const auto &entry) {
        const Engine &engine = entry.second;
        const bool ours = engine.seen.reachable && !engine.seen.leaving && !engine.outUntil;
        return !ours || (engine.phase == Phase::Settled && engine.seen.version >= m_target);
    });
}

} // namespace bergamot
