#include "bergamot/routing/router.h"

namespace bergamot
{

namespace
{

constexpr Duration QuarantineRetryAfter = std::chrono::seconds(5);
constexpr Duration MinHedgeDelay = std::chrono::milliseconds(5);
constexpr Duration MinRetryAfter = std::chrono::seconds(1);

} // namespace

PickRequest Router::pickRequest(const Pending &pending)
{
    return {.trafficClass = pending.request.trafficClass,
            .prefix = pending.request.prefix,
            .excluded = pending.tried,
            .softwareVersion = pending.request.softwareVersion,
            .beginsStream = pending.request.beginsStream,
            .usualWork = pending.request.usualWork,
            .queuedWork = pending.request.queuedWork};
}

bool Router::tryDispatch(Pending &pending, TimePoint now)
{
    const std::optional<std::size_t> slot = pending.target->pool.pick(pickRequest(pending), now, m_random);
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
    const bool mayRetry = mayRetryAfterTimeout(pending);
    const Duration timeout = attemptTimeout(m_options.timeouts,
                                            {.repeatable = pending.request.repeatable,
                                             .streaming = pending.request.streaming,
                                             .mayRetry = mayRetry,
                                             .retries = pending.retries,
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
                               .incarnation = target.pool.incarnation(slot),
                               .dispatchedAt = now,
                               .timeout = timeout,
                               .endsEarly = mayRetry && pending.request.repeatable,
                               .connection = connection,
                               .mayReuse = connection == Connection::Pooled && target.pool.mayHaveIdleConnection(slot),
                               .mode = mode});
    m_actions.emplace_back(DispatchAction{.request = pending.request.id,
                                          .attempt = id,
                                          .endpoint = target.pool.endpoint(slot),
                                          .incarnation = target.pool.incarnation(slot),
                                          .softwareVersion = target.pool.softwareVersion(slot),
                                          .address = target.pool.address(slot),
                                          .connection = connection,
                                          .timeout = timeout,
                                          .deadlineLeft = left});
    const bool mayHedge = pending.request.repeatable && !pending.request.streaming && mode == RunMode::Shared
        && pending.request.trafficClass == TrafficClass::Interactive && pending.attempts.size() == 1;
    const Duration hedgeDelay = target.usualLatency(pending.request.work);
    if (mayHedge && hedgeDelay > Duration::zero()) {
        m_timers.push({now + std::max(hedgeDelay, MinHedgeDelay), pending.request.id, TimerKind::Hedge});
    }
}

bool Router::mayRetryAfterTimeout(const Pending &pending) const
{
    const auto endEarly = std::count_if(m_attempts.begin(), m_attempts.end(), [&pending](const auto &entry) {
        return entry.second.target == pending.target && entry.second.endsEarly;
    });
    // Each of these attempts may need a retry from the same budget.
    return pending.retries < m_options.maxRetries && pending.dispatches + 1 < pending.request.mostAttempts
        && pending.target->retries.available() >= 1.0 + static_cast<double>(endEarly);
}

void Router::dispatchQueued(TargetState &target, TimePoint now)
{
    dispatchQuarantined(target, now);
    dispatchResumptions(target, now);
    if (target.queue.size() == 0) {
        return;
    }
    if (!target.pool.serviceable(now)) {
        refuseQueue(target);
        return;
    }
    for (const WaitingRequest &waiting : target.queue.shedLateRequests(target.serviceTimes(), now)) {
        if (Pending *pending = find(waiting.id)) {
            const Duration wait = target.queue.expectedWait(waiting.trafficClass, target.serviceTimes());
            refuse(*pending,
                   {RefusalReason::DeadlineTooShort,
                    "The target is overloaded; the request would not be answered before its deadline.",
                    retryAfter(target, wait)});
        }
    }
    while (const std::optional<WaitingRequest> waiting = target.queue.front()) {
        Pending *pending = find(waiting->id);
        if (pending != nullptr && quarantineStatus(pending->request, now) != QuarantineStatus::Clear) {
            target.queue.popFront();
            admit(*pending, now);
            continue;
        }
        if (pending != nullptr && !tryDispatch(*pending, now)) {
            if (target.pool.serviceableFor(pickRequest(*pending), now)) {
                return;
            }
            refuse(*pending, {RefusalReason::NoEndpoint, "No endpoint of the target serves now.", MinRetryAfter});
        }
        target.queue.popFront();
    }
}

void Router::dispatchResumptions(TargetState &target, TimePoint now)
{
    for (const RequestId id : std::exchange(target.resumptions, {})) {
        Pending *pending = find(id);
        if (pending == nullptr || pending->stage != Stage::Queued) {
            continue;
        }
        if (quarantineStatus(pending->request, now) != QuarantineStatus::Clear) {
            admit(*pending, now);
        } else if (!target.pool.serviceableFor(pickRequest(*pending), now)) {
            refuseResumption(*pending);
        } else if (!tryDispatch(*pending, now)) {
            target.resumptions.push_back(id);
        }
    }
}

void Router::quarantine(Pending &pending, TimePoint now)
{
    TargetState &target = *pending.target;
    const auto maxReservations = static_cast<std::int64_t>(target.pool.maxReserved());
    const auto ahead = static_cast<std::int64_t>(target.suspects.size() + target.reservations.size());
    const Duration wait = target.pool.requestDuration() * (ahead / maxReservations);
    if (now + wait + target.pool.requestDuration() > pending.request.deadline) {
        refuse(pending,
               {RefusalReason::CrashSuspect,
                "An endpoint crashed while running this request; it has to run alone, and others are ahead of it.",
                QuarantineRetryAfter});
        return;
    }
    pending.stage = Stage::Quarantined;
    target.suspects.push_back(pending.request.id);
    dispatchQuarantined(target, now);
}

QuarantineStatus Router::quarantineStatus(const CallerRequest &request, TimePoint now) const
{
    return request.owed ? QuarantineStatus::Clear : m_quarantine.statusOf(request.fingerprint, now);
}

void Router::dispatchQuarantined(TargetState &target, TimePoint now)
{
    while (target.reservations.size() < target.pool.maxReserved()) {
        // Two runs of one suspect at the same time could crash two endpoints.
        const auto next = std::find_if(target.suspects.begin(), target.suspects.end(), [&](RequestId waiting) {
            const Pending *suspect = find(waiting);
            return suspect == nullptr || !hasReservation(target, suspect->request.fingerprint);
        });
        if (next == target.suspects.end()) {
            break;
        }
        const RequestId id = *next;
        Pending *pending = find(id);
        if (pending == nullptr) {
            target.suspects.erase(next);
            continue;
        }
        if (quarantineStatus(pending->request, now) == QuarantineStatus::Refused) {
            target.suspects.erase(next);
            refuseSuspect(*pending, now);
            continue;
        }
        const std::uint64_t fingerprint = pending->request.fingerprint;
        const auto avoid = [&](const EndpointId &endpoint) {
            return m_quarantine.hasCrashed(fingerprint, endpoint)
                || !target.pool.suits(endpoint, pickRequest(*pending));
        };
        const std::optional<std::size_t> slot = target.pool.reserveExclusive(avoid, now);
        if (!slot && target.reservations.empty()) {
            target.suspects.erase(next);
            refuse(
                *pending,
                {RefusalReason::CrashSuspect,
                 "An endpoint crashed while running this request, and no other endpoint is available to run it alone.",
                 QuarantineRetryAfter});
            continue;
        }
        if (!slot) {
            break;
        }
        target.suspects.erase(next);
        target.reservations.push_back({.slot = *slot, .request = id, .running = false});
    }
    std::erase_if(target.reservations, [&](QuarantineReservation &reservation) {
        Pending *pending = find(reservation.request);
        if (!reservation.running && pending != nullptr
            && quarantineStatus(pending->request, now) == QuarantineStatus::Refused) {
            refuseSuspect(*pending, now);
            target.pool.releaseExclusive(reservation.slot);
            return true;
        }
        if (!target.pool.idle(reservation.slot)) {
            return false;
        }
        if (reservation.running || pending == nullptr || !target.pool.admits(reservation.slot, now)
            || !target.pool.suits(reservation.slot, pickRequest(*pending))) {
            if (!reservation.running && pending != nullptr) {
                target.suspects.push_front(reservation.request);
            }
            target.pool.releaseExclusive(reservation.slot);
            return true;
        }
        if (!target.pool.gateAdmits(reservation.slot, now)) {
            return false; // waits for a token
        }
        reservation.running = true;
        const Connection connection = pending->request.repeatable ? Connection::Pooled : Connection::Fresh;
        dispatch(*pending, reservation.slot, connection, RunMode::Alone, now);
        return false;
    });
}

bool Router::hasReservation(const TargetState &target, std::uint64_t fingerprint)
{
    return std::any_of(target.reservations.begin(), target.reservations.end(), [&](const auto &reservation) {
        const Pending *pending = find(reservation.request);
        return pending != nullptr && pending->request.fingerprint == fingerprint;
    });
}

void Router::onHeartbeat(const EndpointProcess &process, TimePoint aliveAt, TimePoint now)
{
    if (m_quarantine.recordAlive(process, aliveAt, now)) {
        reviewSuspects(now);
    }
}

void Router::reviewSuspects(TimePoint now)
{
    for (auto &[name, target] : m_targets) {
        for (const RequestId id : std::exchange(target->suspects, {})) {
            Pending *pending = find(id);
            if (pending == nullptr) {
                continue;
            }
            if (quarantineStatus(pending->request, now) == QuarantineStatus::Suspect) {
                target->suspects.push_back(id);
            } else {
                admit(*pending, now);
            }
        }
    }
}

void Router::hedge(Pending &pending, TimePoint now)
{
    TargetState &target = *pending.target;
    const bool wanted = pending.stage == Stage::Running && pending.attempts.size() == 1
        && pending.dispatches < pending.request.mostAttempts && target.queue.size() == 0
        && quarantineStatus(pending.request, now) == QuarantineStatus::Clear;
    if (!wanted || target.hedges.available() < 1.0) {
        return;
    }
    const PickRequest pick{.trafficClass = TrafficClass::Batch,
                           .prefix = 0,
                           .excluded = pending.tried,
                           .usualWork = pending.request.usualWork,
                           .queuedWork = pending.request.queuedWork};
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
        case TimerKind::ResumptionWait:
            if (pending->stage == Stage::Queued) {
                refuseResumption(*pending);
            }
            break;
        }
    }
}

void Router::deadlinePassed(Pending &pending, TimePoint now)
{
    endUnanswered(pending, RefusalReason::DeadlinePassed, "The deadline passed.", now);
}

void Router::endUnanswered(Pending &pending, RefusalReason reason, const std::string &message, TimePoint now)
{
    if (!pending.attempts.empty()) {
        pending.outcome = RequestOutcome::MaybeRan;
    }
    TargetState &target = *pending.target;
    const RequestId id = pending.request.id;
    cancelAttempts(pending, now);
    target.queue.remove(id);
    refuse(pending, {reason, message, retryAfter(target, Duration::zero())});
}

} // namespace bergamot
