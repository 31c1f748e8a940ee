#pragma once

// What the log says about one intent: its plan and what became of it.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <cpprest/json.h>

#include "bergamot/base/error.h"
#include "bergamot/base/ids.h"

namespace bergamot
{

enum class PlanState {
    Planned, // waits for its confirmation
    Confirmed,
    Superseded, // another plan was confirmed first
    Refused, // it did not fit the configuration when it reached the log
};

std::string_view planStateName(PlanState state);

struct PlanEntry
{
    IntentId intent;
    std::string operatorName;
    std::string digest; // of the intent's canonical JSON
    web::json::value body; // the intent's canonical JSON
    web::json::value changes; // as `ConfigurationChange`
    web::json::value cost; // forecast of the instance that took the intent
    web::json::value warnings;
    std::uint64_t baseVersion = 0; // the configuration that the plan changes
    Offset offset = 0; // of the intent record
    PlanState state = PlanState::Planned;
    std::string reason; // of Superseded and Refused
    IntentId supersededBy;
    std::uint64_t version = 0; // that its confirmation made
    Offset confirmedOffset = 0;
    std::string confirmedBy;
    std::vector<IntentId> collisions; // whose confirmations reached the log for the same base
};

/// Plans are named after their intents.
PlanId planIdOf(const IntentId &intent);
/// The inverse; empty if `plan` is no plan's name.
IntentId intentIdOf(const PlanId &plan);

/// The whole entry, as in checkpoints and the history.
web::json::value toJson(const PlanEntry &entry);
Result<PlanEntry> parsePlanEntry(const web::json::value &json);

/// The entry in sentences, for operators.
std::vector<std::string> explainPlan(const PlanEntry &entry);

} // namespace bergamot
