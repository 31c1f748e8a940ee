#include "bergamot/routing/attempt_policy.h"

namespace bergamot
{

FailureStep afterAttemptFailure(const FailureFacts &facts)
{
    if (facts.streamStarted) {
        return FailureStep::GiveUp;
    }
    if (facts.otherInFlight) {
        return FailureStep::AwaitOther;
    }
    if (facts.proof == DeliveryProof::NotRun) {
        return FailureStep::RetryElsewhere;
    }
    if (!facts.repeatable) {
        return FailureStep::GiveUp;
    }
    const bool connectionMayBeStale = facts.timedOut && facts.connection == Connection::Pooled;
    return connectionMayBeStale ? FailureStep::RetryFresh : FailureStep::RetryElsewhere;
}

Duration attemptTimeout(const AttemptTimeoutOptions &options, const AttemptTimeoutFacts &facts)
{
    if (facts.streaming) {
        return std::min(options.streamGap, facts.deadlineLeft);
    }
    if (!facts.repeatable) {
        return facts.deadlineLeft;
    }
    const auto usual = std::chrono::duration_cast<Duration>(facts.usualLatency * options.latencyFactor);
    const Duration half = facts.deadlineLeft / 2;
    const Duration timeout = facts.usualLatency == Duration::zero() ? half : usual;
    if (!facts.mayRetry) {
        return std::min(std::max({timeout, half, options.leastProgress}), facts.deadlineLeft);
    }
    constexpr std::uint32_t MaxDoublings = 8;
    const auto factor = 1U << std::min(facts.retries, MaxDoublings);
    return std::min(std::max(timeout, options.leastProgress) * factor, facts.deadlineLeft);
}

} // namespace bergamot
