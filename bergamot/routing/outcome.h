#pragma once

// The outcome of a caller's request. A request counts as "not run" only if that is proved: the connection never opened,
// the request was refused before it was sent, or the endpoint reports that it did not run it. After any other failure
// the request may have run.
//
//     RequestOutcome outcome = afterFailure(RequestOutcome::RefusedNotRun, DeliveryProof::MaybeRan); // MaybeRan
//     response.headers["Bergamot-Outcome"] = outcomeName(outcome);

#include <string_view>

#include "bergamot/base/error.h"

namespace bergamot
{

enum class RequestOutcome {
    Answered,
    RefusedNotRun,
    MaybeRan,
};

/// Whether a failed attempt is proved not to have run.
enum class DeliveryProof {
    NotRun,
    MaybeRan,
};

/// Priority classes in the order of service: interactive before internal before batch.
enum class TrafficClass {
    Interactive,
    Internal,
    Batch,
};

inline constexpr std::size_t TrafficClassCount = 3;

/// "answered", "not-run" or "maybe-ran", as callers read it in `Bergamot-Outcome`.
std::string_view outcomeName(RequestOutcome outcome);

/// The outcome of a request with outcome `before` after one more attempt failed with `proof`. A request may have run if
/// any of its attempts may have run.
RequestOutcome afterFailure(RequestOutcome before, DeliveryProof proof);

std::string_view trafficClassName(TrafficClass trafficClass);

/// Parses "interactive", "internal" or "batch"; any other name is an `InvalidArgument` error.
Result<TrafficClass> parseTrafficClass(std::string_view name);

} // namespace bergamot
