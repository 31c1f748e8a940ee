#pragma once

// What follows when an attempt fails, and how long an attempt may take: the rules of at-most-once and of silent
// connections, as functions of facts.
//
//     switch (afterAttemptFailure(facts)) { case FailureStep::GiveUp: ... }

#include "bergamot/base/clock.h"
#include "bergamot/routing/request.h"

namespace bergamot
{

/// The facts that decide what follows a failed attempt.
struct FailureFacts
{
    DeliveryProof proof = DeliveryProof::MaybeRan;
    bool timedOut = false;
    bool repeatable = false;
    bool streamStarted = false; // part of the answer has gone to the caller
    bool otherInFlight = false; // another attempt of the request is still running
    Connection connection = Connection::Fresh;

    bool operator==(const FailureFacts &) const = default;
};

enum class FailureStep {
    GiveUp, // the caller gets its final answer now
    AwaitOther, // the other attempt decides
    RetryElsewhere, // another endpoint, within deadline and budget
    RetryFresh, // the same endpoint at once, on a connection that was never used
};

FailureStep afterAttemptFailure(const FailureFacts &facts);

struct AttemptTimeoutOptions
{
    Duration leastProgress = std::chrono::milliseconds(250); // a repeatable attempt gets at least this
    double latencyFactor = 4; // and this multiple of the usual latency
    Duration streamGap = std::chrono::seconds(10); // between two pieces of a stream
};

struct AttemptTimeoutFacts
{
    bool repeatable = false;
    bool streaming = false;
    Duration deadlineLeft{};
    Duration usualLatency{}; // of a request of this size; zero: not known yet
};

/// A repeatable attempt ends early enough to try again within the deadline; any other gets all the time there is.
Duration attemptTimeout(const AttemptTimeoutOptions &options, const AttemptTimeoutFacts &facts);

} // namespace bergamot
