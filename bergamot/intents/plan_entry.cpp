#include "bergamot/intents/plan_entry.h"

#include <array>

#include "bergamot/base/json.h"

namespace bergamot
{

namespace
{

using web::json::value;

constexpr std::string_view PlanPrefix = "plan-";
constexpr std::array States{PlanState::Planned, PlanState::Confirmed, PlanState::Superseded, PlanState::Refused};

value fieldOr(const value &json, const std::string &name, const value &fallback)
{
    return json.is_object() && json.has_field(name) ? json.at(name) : fallback;
}

std::string describeState(const PlanEntry &entry)
{
    switch (entry.state) {
    case PlanState::Planned:
        return "It waits for its confirmation and has no effect yet.";
    case PlanState::Confirmed:
        return "It was confirmed by " + entry.confirmedBy + " at offset " + std::to_string(entry.confirmedOffset)
            + " and made version " + std::to_string(entry.version) + ".";
    case PlanState::Superseded:
    case PlanState::Refused:
        return "It has no effect: " + entry.reason + ".";
    }
    return "";
}

} // namespace

std::string_view planStateName(PlanState state)
{
    switch (state) {
    case PlanState::Planned:
        return "planned";
    case PlanState::Confirmed:
        return "confirmed";
    case PlanState::Superseded:
        return "superseded";
    case PlanState::Refused:
        return "refused";
    }
    return "";
}

PlanId planIdOf(const IntentId &intent)
{
    return PlanId(std::string(PlanPrefix) + intent.value());
}

IntentId intentIdOf(const PlanId &plan)
{
    const std::string &name = plan.value();
    return name.starts_with(PlanPrefix) ? IntentId(name.substr(PlanPrefix.size())) : IntentId();
}

value toJson(const PlanEntry &entry)
{
    value json = value::object();
    json["plan"] = value(planIdOf(entry.intent).value());
    json["intent"] = value(entry.intent.value());
    json["operator"] = value(entry.operatorName);
    json["digest"] = value(entry.digest);
    json["body"] = entry.body;
    json["changes"] = entry.changes;
    json["cost"] = entry.cost;
    json["warnings"] = entry.warnings;
    json["base_version"] = value::number(entry.baseVersion);
    json["offset"] = value::number(entry.offset);
    json["state"] = value(std::string(planStateName(entry.state)));
    json["reason"] = value(entry.reason);
    json["superseded_by"] = value(entry.supersededBy.value());
    json["version"] = value::number(entry.version);
    json["confirmed_offset"] = value::number(entry.confirmedOffset);
    json["confirmed_by"] = value(entry.confirmedBy);
    json["collisions"] = value::array();
    for (const IntentId &other : entry.collisions) {
        json["collisions"][json["collisions"].size()] = value(other.value());
    }
    return json;
}

Result<PlanEntry> parsePlanEntry(const value &json)
{
    PlanEntry entry;
    FieldReader reader(json, "plan");
    entry.intent = IntentId(reader.requiredString("intent"));
    entry.operatorName = reader.optionalString("operator", "");
    entry.digest = reader.optionalString("digest", "");
    entry.body = fieldOr(json, "body", value::object());
    entry.changes = fieldOr(json, "changes", value::array());
    entry.cost = fieldOr(json, "cost", value::object());
    entry.warnings = fieldOr(json, "warnings", value::array());
    entry.baseVersion = reader.requiredUnsigned("base_version");
    entry.offset = reader.requiredUnsigned("offset");
    const std::string state = reader.requiredString("state");
    const auto known = std::find_if(States.begin(), States.end(), [&state](PlanState one) {
        return planStateName(one) == state;
    });
    if (known == States.end()) {
        reader.reject("state", "must be planned, confirmed, superseded or refused");
    } else {
        entry.state = *known;
    }
    entry.reason = reader.optionalString("reason", "");
    entry.supersededBy = IntentId(reader.optionalString("superseded_by", ""));
    entry.version = reader.optionalUnsigned("version", 0);
    entry.confirmedOffset = reader.optionalUnsigned("confirmed_offset", 0);
    entry.confirmedBy = reader.optionalString("confirmed_by", "");
    for (const value &other : reader.optionalArray("collisions")) {
        entry.collisions.emplace_back(other.is_string() ? other.as_string() : "");
    }
    if (Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    return entry;
}

std::vector<std::string> explainPlan(const PlanEntry &entry)
{
    std::vector<std::string> sentences;
    sentences.push_back("Intent '" + entry.intent.value() + "' of " + entry.operatorName + " reached the log at offset "
                        + std::to_string(entry.offset) + "; its plan changes version "
                        + std::to_string(entry.baseVersion) + ".");
    sentences.push_back("It has " + std::to_string(entry.changes.size()) + " changes and "
                        + std::to_string(entry.warnings.size()) + " warnings.");
    sentences.push_back(describeState(entry));
    for (const IntentId &other : entry.collisions) {
        sentences.push_back("It collided with intent '" + other.value()
                            + "': both were confirmed for the same version, and the first on the log won.");
    }
    return sentences;
}

} // namespace bergamot
