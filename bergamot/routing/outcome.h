#pragma once

// What became of a caller's request, as a type. Only a proof makes a request "not run": the connection never opened,
// it was refused before sending, or the endpoint itself says so. Whatever else fails may have run.
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

/// What is known about one attempt that failed.
enum class DeliveryProof {
    NotRun,
    MaybeRan,
};

/// The order is the order of service: interactive before internal before batch.
enum class TrafficClass {
    Interactive,
    Internal,
    Batch,
};

inline constexpr std::size_t TrafficClassCount = 3;

/// "answered", "not-run" or "maybe-ran", as callers read it in `Bergamot-Outcome`.
std::string_view outcomeName(RequestOutcome outcome);

/// The outcome of a request that stood at `before` once one more attempt failed with `proof`: a request may have run
/// as soon as one of its attempts may have.
RequestOutcome afterFailure(RequestOutcome before, DeliveryProof proof);

std::string_view trafficClassName(TrafficClass trafficClass);

/// Reads "interactive", "internal" or "batch".
Result<TrafficClass> parseTrafficClass(std::string_view name);

} // namespace bergamot
