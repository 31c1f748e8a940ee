#include "bergamot/routing/router.h"

namespace bergamot
{

namespace
{

constexpr Duration LaneRetryAfter = std::chrono::seconds(5);
constexpr Duration ShortestHedgeDelay = std::chrono::milliseconds(5);

} // namespace

bool Router::tryDispatch(Pending &pending, TimePoint now)
{
    const PickRequest pick{
        .trafficClass = pending.request.trafficClass, .prefix = pending.request.prefix, .excluded = pending.tried};
    const std::optional<std::size_t> slot = pending.target->pool.pick(pick, now, m_random);
    if (!slot) {
        return false;
    }
    const Connection connection = pending.request.repeatable ? Connection::Pooled : Connection::Fresh;
    dispatch(pending, *slot, connection, RunMode::Shared, now);
    return true;
}

void Router::dispatch(Pending &pending, std::size_t slot, Connection connection, RunMode mode, TimePoint now)
{
    TargetState &target = *pending.target;
    const Duration left = pending.request.deadline - m_options.deadlineMargin - now;
    const Duration timeout = attemptTimeout(m_options.timeouts,
                                            {.repeatable = pending.request.repeatable,
                                             .streaming = pending.request.streaming,
                                             .deadlineLeft = left,
                                             .usualLatency = target.usualLatency(pending.request.work)});
    const AttemptId id = ++m_lastAttempt;
    pending.stage = Stage::Running;
    ++pending.dispatches;
    pending.attempts.push_back(id);
    pending.tried.push_back(slot);
    target.pool.dispatched(slot, now);
    m_attempts.emplace(id,
                       Attempt{.request = pending.request.id,
                               .target = &target,
                               .slot = slot,
                               .dispatchedAt = now,
                               .timeout = timeout,
                               .connection = connection,
                               .mayReuse = connection == Connection::Pooled && target.pool.mayHaveIdleConnection(slot),
                               .mode = mode});
    m_actions.emplace_back(DispatchAction{.request = pending.request.id,
                                          .attempt = id,
                                          .endpoint = target.pool.endpoint(slot),
                                          .address = target.pool.address(slot),
                                          .connection = connection,
                                          .timeout = timeout,
                                          .deadlineLeft = left});
    const bool mayHedge = pending.request.repeatable && !pending.request.streaming && mode == RunMode::Shared
        && pending.request.trafficClass == TrafficClass::Interactive && pending.attempts.size() == 1;
    const Duration late = target.usualLatency(pending.request.work);
    if (mayHedge && late > Duration::zero()) {
        m_timers.push({now + std::max(late, ShortestHedgeDelay), pending.request.id, TimerKind::Hedge});
    }
}

void Router::pump(TargetState &target, TimePoint now)
{
    pumpQuarantine(target, now);
    if (target.queue.size() == 0) {
        return;
    }
    if (!target.pool.serviceable(now)) {
        refuseQueue(target);
        return;
    }
    for (const WaitingRequest &waiting : target.queue.takeHopeless(target.pace(), now)) {
        if (Pending *pending = find(waiting.id)) {
            const Duration wait = target.queue.expectedWait(waiting.trafficClass, target.pace());
            refuse(*pending,
                   {RefusalReason::DeadlineTooShort,
                    "The target is overloaded; the request would not be answered before its deadline.",
                    retryAfter(target, wait)});
        }
    }
    while (const std::optional<WaitingRequest> waiting = target.queue.front()) {
        Pending *pending = find(waiting->id);
        if (pending != nullptr && !tryDispatch(*pending, now)) {
            return;
        }
        target.queue.popFront();
    }
}

void Router::quarantine(Pending &pending, TimePoint now)
{
    TargetState &target = *pending.target;
    const auto lanes = static_cast<std::int64_t>(target.pool.mostReserved());
    const auto ahead = static_cast<std::int64_t>(target.suspects.size() + target.lanes.size());
    const Duration wait = target.pool.requestDuration() * (ahead / lanes);
    if (now + wait + target.pool.requestDuration() > pending.request.deadline) {
        refuse(pending,
               {RefusalReason::CrashSuspect,
                "An endpoint died under this request; it has to run alone, and others are before it.",
                LaneRetryAfter});
        return;
    }
    pending.stage = Stage::Quarantined;
    target.suspects.push_back(pending.request.id);
    pumpQuarantine(target, now);
}

void Router::pumpQuarantine(TargetState &target, TimePoint now)
{
    while (!target.suspects.empty() && target.lanes.size() < target.pool.mostReserved()) {
        const RequestId id = target.suspects.front();
        Pending *pending = find(id);
        if (pending == nullptr) {
            target.suspects.pop_front();
            continue;
        }
        const std::uint64_t fingerprint = pending->request.fingerprint;
        const auto avoid = [&](const EndpointId &endpoint) {
            return m_quarantine.diedUnder(fingerprint, endpoint);
        };
        const std::optional<std::size_t> slot = target.pool.reserveAlone(avoid, now);
        if (!slot && target.lanes.empty()) {
            target.suspects.pop_front();
            refuse(*pending,
                   {RefusalReason::CrashSuspect,
                    "An endpoint died under this request, and no other one is there to run it alone.",
                    LaneRetryAfter});
            continue;
        }
        if (!slot) {
            break;
        }
        target.suspects.pop_front();
        target.lanes.push_back({.slot = *slot, .request = id, .running = false});
    }
    std::erase_if(target.lanes, [&](QuarantineLane &lane) {
        Pending *pending = find(lane.request);
        if (!target.pool.idle(lane.slot)) {
            return false;
        }
        if (lane.running || pending == nullptr || !target.pool.admits(lane.slot, now)) {
            if (!lane.running && pending != nullptr) {
                target.suspects.push_front(lane.request);
            }
            target.pool.releaseAlone(lane.slot);
            return true;
        }
        lane.running = true;
        const Connection connection = pending->request.repeatable ? Connection::Pooled : Connection::Fresh;
        dispatch(*pending, lane.slot, connection, RunMode::Alone, now);
        return false;
    });
}

void Router::exonerate(const Attempt &answered, TimePoint now)
{
    exonerateWhere(
        *answered.target,
        [&answered](const ConnectionLoss &loss) {
            return loss.slot == answered.slot && loss.at > answered.dispatchedAt;
        },
        now);
}

void Router::onAlive(const EndpointId &endpoint, TimePoint aliveAt, TimePoint now)
{
    for (auto &entry : m_targets) {
        TargetState &target = *entry.second;
        exonerateWhere(
            target,
            [&target, &endpoint, aliveAt](const ConnectionLoss &loss) {
                return loss.at < aliveAt && target.pool.endpoint(loss.slot) == endpoint;
            },
            now);
    }
}

void Router::exonerateWhere(TargetState &target,
                            const std::function<bool(const ConnectionLoss &)> &lived,
                            TimePoint now)
{
    for (const ConnectionLoss &loss : target.losses) {
        if (lived(loss)) {
            m_quarantine.exonerate(loss.fingerprint, target.pool.endpoint(loss.slot), now);
        }
    }
    if (std::erase_if(target.losses, lived) == 0) {
        return;
    }
    for (const RequestId id : std::exchange(target.suspects, {})) {
        Pending *pending = find(id);
        if (pending == nullptr) {
            continue;
        }
        if (m_quarantine.standing(pending->request.fingerprint, now) == Standing::Suspect) {
            target.suspects.push_back(id);
        } else {
            admit(*pending, now);
        }
    }
}

void Router::hedge(Pending &pending, TimePoint now)
{
    TargetState &target = *pending.target;
    const bool wanted = pending.stage == Stage::Running && pending.attempts.size() == 1
        && pending.dispatches < pending.request.mostAttempts && target.queue.size() == 0;
    if (!wanted || target.hedges.available() < 1.0) {
        return;
    }
    const PickRequest pick{.trafficClass = TrafficClass::Batch, .prefix = 0, .excluded = pending.tried};
    const std::optional<std::size_t> slot = target.pool.pick(pick, now, m_random);
    if (!slot || !target.hedges.spend()) {
        return;
    }
    ++m_hedges;
    dispatch(pending, *slot, Connection::Pooled, RunMode::Shared, now);
}

void Router::runTimers(TimePoint now)
{
    while (!m_timers.empty() && m_timers.top().at <= now) {
        const Timer timer = m_timers.top();
        m_timers.pop();
        Pending *pending = find(timer.request);
        if (pending == nullptr) {
            continue;
        }
        switch (timer.kind) {
        case TimerKind::Deadline:
            deadlinePassed(*pending, now);
            break;
        case TimerKind::Retry:
            if (pending->stage == Stage::AwaitingRetry) {
                admit(*pending, now);
            }
            break;
        case TimerKind::Hedge:
            hedge(*pending, now);
            break;
        }
    }
}

void Router::deadlinePassed(Pending &pending, TimePoint now)
{
    if (!pending.attempts.empty()) {
        pending.outcome = RequestOutcome::MaybeRan;
    }
    TargetState &target = *pending.target;
    const RequestId id = pending.request.id;
    cancelAttempts(pending, now);
    target.queue.remove(id);
    refuse(pending, {RefusalReason::DeadlinePassed, "The deadline passed.", retryAfter(target, Duration::zero())});
}

} // namespace bergamot
