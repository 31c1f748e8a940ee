#pragma once

// The groups of fuzz targets, and the rules that they share. For bergamot/fuzz only.

#include "bergamot/base/error.h"
#include "bergamot/fuzz/targets.h"

namespace bergamot::fuzz_internal
{

/// Inner frames, settings, scenario files, exports and receipts.
std::vector<FuzzTarget> textTargets();
/// Records of each stream of the log, and checkpoints.
std::vector<FuzzTarget> logTargets();
/// Requests of callers, operators and trainers, and what the platform's services answer.
std::vector<FuzzTarget> bodyTargets();

/// What a refusal must hold: a message for a person.
inline FuzzVerdict refused(const Error &error)
{
    return error.message.empty() ? FuzzVerdict::Broken : FuzzVerdict::Refused;
}

inline FuzzVerdict acceptedIf(bool same)
{
    return same ? FuzzVerdict::Accepted : FuzzVerdict::Broken;
}

} // namespace bergamot::fuzz_internal
