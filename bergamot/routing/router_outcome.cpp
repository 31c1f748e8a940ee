#include "bergamot/routing/router.h"

namespace bergamot
{

namespace
{

constexpr Duration RetryAfterFailure = std::chrono::seconds(1);
constexpr std::int32_t FirstServerError = 500;

bool endpointOverloaded(const AttemptAnswer &answer)
{
    constexpr int TooManyRequests = 429;
    constexpr int ServiceUnavailable = 503;
    return answer.status == TooManyRequests || answer.status == ServiceUnavailable;
}

/// Whether the endpoint ran the request from its beginning to its end. Any other answer may come from an endpoint that
/// has not begun to run it, or has given it up.
bool ranToEnd(const AttemptAnswer &answer)
{
    return !answer.notRun && answer.status < FirstServerError && !endpointOverloaded(answer);
}

} // namespace

void Router::onStreamStarted(AttemptId id, TimePoint now)
{
    const auto attempt = m_attempts.find(id);
    if (attempt == m_attempts.end()) {
        return;
    }
    if (Pending *pending = find(attempt->second.request)) {
        pending->streamStarted = true;
        cancelAttempts(*pending, now, id);
    }
}

void Router::onAnswered(AttemptId id, const AttemptAnswer &answer, TimePoint now)
{
    const std::optional<Attempt> attempt = takeAttempt(id);
    if (!attempt) {
        return;
    }
    TargetState &target = *attempt->target;
    Pending *pending = find(attempt->request);
    if (answer.leaving) {
        target.pool.markLeaving(attempt->slot, attempt->incarnation, now);
    }
    const Duration latency = now - attempt->dispatchedAt;
    const double work = pending == nullptr ? 1.0 : std::max(1.0, pending->request.work);
    if (endpointOverloaded(answer)) {
        target.pool.refused(attempt->slot, now);
    } else if (answer.status >= FirstServerError) {
        target.pool.failed(attempt->slot, EndpointFailure::Faulty, now, m_random);
    } else {
        const Duration tail = pending == nullptr ? Duration::zero() : pending->request.tailWork;
        target.pool.durationObserved(attempt->slot, latency, tail, now);
        target.pool.answered(attempt->slot, latency, work, now, m_random);
        target.retries.earn();
        target.hedges.earn();
    }
    if (pending == nullptr) {
        dispatchQueued(target, now);
        return;
    }
    std::erase(pending->attempts, id);
    if (ranToEnd(answer)) {
        m_quarantine.recordFinished(pending->request.fingerprint, now);
    }
    const EndpointProcess process{target.pool.endpoint(attempt->slot), attempt->incarnation};
    if (!answer.notRun && m_quarantine.recordAnswered(process, attempt->dispatchedAt, now)) {
        reviewSuspects(now);
    }
    if (answer.notRun && !pending->streamStarted) {
        pending->retryAfter = answer.retryAfter;
        const FailureFacts facts{.proof = DeliveryProof::NotRun, .otherInFlight = !pending->attempts.empty()};
        retryOrGiveUp(*pending, afterAttemptFailure(facts), *attempt, now);
        dispatchQueued(target, now);
        return;
    }
    if (!pending->request.streaming) {
        target.unitLatencyQuantile.add(latency / static_cast<Duration::rep>(work));
    }
    cancelAttempts(*pending, now);
    if (pending->keyClaimed) {
        recordKey(*pending, RequestOutcome::Answered, id);
    }
    m_actions.emplace_back(ForwardAction{attempt->request, id});
    finish(attempt->request);
    dispatchQueued(target, now);
}

void Router::onFailed(AttemptId id, const AttemptFailure &failure, TimePoint now)
{
    const std::optional<Attempt> attempt = takeAttempt(id);
    if (!attempt) {
        return;
    }
    TargetState &target = *attempt->target;
    Pending *pending = find(attempt->request);
    if (pending == nullptr) {
        target.pool.endedInconclusively(attempt->slot, now);
        dispatchQueued(target, now);
        return;
    }
    const bool mayBeResent = m_options.clientResendsOnPooled && attempt->connection == Connection::Pooled;
    const DeliveryProof proof = mayBeResent ? DeliveryProof::MaybeRan : failure.proof;
    recordFailure(*attempt, {.proof = proof, .timedOut = failure.timedOut}, *pending, now);
    std::erase(pending->attempts, id);
    pending->outcome = afterFailure(pending->outcome, proof);
    pending->timedOut = failure.timedOut;
    const FailureFacts facts{.proof = proof,
                             .timedOut = failure.timedOut,
                             .repeatable = pending->request.repeatable,
                             .streamStarted = pending->streamStarted,
                             .otherInFlight = !pending->attempts.empty(),
                             .connection = attempt->mayReuse ? Connection::Pooled : Connection::Fresh};
    retryOrGiveUp(*pending, afterAttemptFailure(facts), *attempt, now);
    dispatchQueued(target, now);
}

void Router::onCallerDisconnected(RequestId id, TimePoint now)
{
    Pending *pending = find(id);
    if (pending == nullptr) {
        return;
    }
    TargetState *target = pending->target;
    const bool mayHaveRun = !pending->attempts.empty() || pending->outcome == RequestOutcome::MaybeRan;
    cancelAttempts(*pending, now);
    if (pending->keyClaimed) {
        recordKey(*pending, mayHaveRun ? RequestOutcome::MaybeRan : RequestOutcome::RefusedNotRun, 0);
    }
    finish(id);
    if (target != nullptr) {
        target->queue.remove(id);
        dispatchQueued(*target, now);
    }
}

std::optional<Router::Attempt> Router::takeAttempt(AttemptId id)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end()) {
        return std::nullopt;
    }
    const Attempt attempt = found->second;
    m_attempts.erase(found);
    return attempt;
}

void Router::cancelAttempts(Pending &pending, TimePoint now, AttemptId kept)
{
    std::erase_if(pending.attempts, [this, now, kept](AttemptId id) {
        if (id == kept) {
            return false;
        }
        if (const std::optional<Attempt> attempt = takeAttempt(id)) {
            attempt->target->pool.endedInconclusively(attempt->slot, now);
            m_actions.emplace_back(CancelAction{id});
        }
        return true;
    });
}

void Router::retryOrGiveUp(Pending &pending, FailureStep step, const Attempt &attempt, TimePoint now)
{
    if (step == FailureStep::AwaitOther) {
        return;
    }
    if (step == FailureStep::GiveUp) {
        giveUp(pending, RefusalReason::AttemptFailed);
        return;
    }
    if (quarantineStatus(pending.request, now) == QuarantineStatus::Refused) {
        giveUp(pending, RefusalReason::CrashSuspect);
        return;
    }
    const Duration pause =
        pending.retries == 0 ? Duration::zero() : backoff(m_options.backoff, pending.retries - 1, m_random);
    const bool inTime = now + pause + attempt.target->pool.requestDuration() < pending.request.deadline;
    if (!inTime || pending.retries >= m_options.maxRetries || pending.dispatches >= pending.request.mostAttempts
        || !attempt.target->retries.spend()) {
        giveUp(pending, RefusalReason::RetriesExhausted);
        return;
    }
    ++m_retries;
    ++pending.retries;
    if (step == FailureStep::RetryFresh && attempt.target->pool.takesRequests(attempt.slot, now)
        && attempt.target->pool.suits(attempt.slot, pickRequest(pending))
        && attempt.target->pool.gateAdmits(attempt.slot, now)
        && quarantineStatus(pending.request, now) == QuarantineStatus::Clear) {
        dispatch(pending, attempt.slot, Connection::Fresh, RunMode::Shared, now);
        return;
    }
    if (pause == Duration::zero()) {
        admit(pending, now);
        return;
    }
    pending.stage = Stage::AwaitingRetry;
    m_timers.push({now + pause, pending.request.id, TimerKind::Retry});
}

void Router::giveUp(Pending &pending, RefusalReason reason)
{
    const bool notRun = pending.outcome == RequestOutcome::RefusedNotRun;
    refuse(pending,
           {reason,
            notRun ? "No endpoint accepted the request; it did not run."
                   : "The endpoint gave no complete answer; the request may have run.",
            std::max(pending.retryAfter, RetryAfterFailure)});
}

void Router::recordFailure(const Attempt &attempt, const AttemptFailure &failure, const Pending &pending, TimePoint now)
{
    EndpointPool &pool = attempt.target->pool;
    if (failure.proof == DeliveryProof::NotRun) {
        pool.failed(attempt.slot, EndpointFailure::Refused, now, m_random);
        return;
    }
    if (!failure.timedOut) {
        const EndpointProcess process{pool.endpoint(attempt.slot), attempt.incarnation};
        if (pending.streamStarted) {
            m_quarantine.recordBrokenStream(pending.request.fingerprint, process, attempt.mode, now);
        } else if (!pending.request.owed) {
            m_quarantine.recordEndpointLoss(pending.request.fingerprint, process, attempt.mode, now);
        }
        pool.failed(attempt.slot, EndpointFailure::Lost, now, m_random);
        return;
    }
    pool.durationObserved(attempt.slot, now - attempt.dispatchedAt, pending.request.tailWork, now);
    if (attempt.mayReuse) {
        m_actions.emplace_back(DropConnectionsAction{pool.address(attempt.slot)});
        pool.connectionsDropped(attempt.slot);
        pool.endedInconclusively(attempt.slot, now);
        return;
    }
    if (now - attempt.dispatchedAt >= m_options.minStall) {
        pool.failed(attempt.slot, EndpointFailure::Stalled, now, m_random);
        return;
    }
    pool.endedInconclusively(attempt.slot, now);
}

void Router::recordKey(const Pending &pending, RequestOutcome outcome, AttemptId attempt)
{
    m_actions.emplace_back(RecordKeyAction{pending.request.id, outcome, attempt});
}

} // namespace bergamot
