#pragma once

// Decides what happens after a failed attempt and how long an attempt may take. Pure functions that implement
// at-most-once delivery and the handling of connections that no longer respond.
//
//     switch (afterAttemptFailure(facts)) { case FailureStep::GiveUp: ... }

#include "bergamot/base/clock.h"
#include "bergamot/routing/request.h"

namespace bergamot
{

/// The inputs that decide what happens after a failed attempt.
struct FailureFacts
{
    DeliveryProof proof = DeliveryProof::MaybeRan;
    bool timedOut = false;
    bool repeatable = false;
    bool streamStarted = false; // part of the answer has been sent to the caller
    bool otherInFlight = false; // another attempt of the request is still running
    Connection connection = Connection::Fresh;

    bool operator==(const FailureFacts &) const = default;
};

enum class FailureStep {
    GiveUp, // the caller gets its final answer now
    AwaitOther, // the other attempt decides the outcome
    RetryElsewhere, // retry on another endpoint, if the deadline and the retry budget allow it
    RetryFresh, // retry on the same endpoint at once, on a new connection
};

FailureStep afterAttemptFailure(const FailureFacts &facts);

struct AttemptTimeoutOptions
{
    Duration leastProgress = std::chrono::milliseconds(250); // minimum timeout of a repeatable attempt
    double latencyFactor = 4; // timeout of a repeatable attempt as a multiple of the usual latency
    Duration streamGap = std::chrono::seconds(10); // maximum time between two chunks of a stream
};

struct AttemptTimeoutFacts
{
    bool repeatable = false;
    bool streaming = false;
    bool mayRetry = true; // a further attempt is allowed, and the retry budget has room for it
    std::uint32_t retries = 0; // earlier retries of the request; each doubles the timeout
    Duration deadlineLeft{};
    Duration usualLatency{}; // of a request of this size; zero until the first answer
};

/// The timeout of one attempt. A repeatable attempt ends early enough for a retry before the deadline; an attempt that
/// must not be repeated gets all the time that is left. If no retry can follow, the attempt gets at least half of that
/// time, and the caller may use the rest for a retry of its own.
///
/// Load pattern: all endpoints of a service become many times slower at once. Short timeouts would end every attempt,
/// use up the retry budget, and leave the callers without the answers that were about to come.
Duration attemptTimeout(const AttemptTimeoutOptions &options, const AttemptTimeoutFacts &facts);

} // namespace bergamot
