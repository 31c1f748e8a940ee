#include "bergamot/intents/configuration_fold.h"

#include "bergamot/base/hash.h"
#include "bergamot/base/json.h"
#include "bergamot/config/difference.h"

namespace bergamot
{

namespace
{

using web::json::value;

void addOnce(std::vector<IntentId> &ids, const IntentId &id)
{
    if (std::find(ids.begin(), ids.end(), id) == ids.end()) {
        ids.push_back(id);
    }
}

std::string supersededReason(const PlanEntry &winner)
{
    return "intent '" + winner.intent.value() + "' of " + winner.operatorName + " was confirmed first and made version "
        + std::to_string(winner.version) + "; post the intent again under a new id to plan against it";
}

} // namespace

std::string intentPayload(const Intent &intent,
                          std::uint64_t baseVersion,
                          const value &cost,
                          const std::vector<std::string> &warnings)
{
    value json = value::object();
    json["intent"] = toJson(intent);
    json["base_version"] = value::number(baseVersion);
    json["cost"] = cost;
    json["warnings"] = value::array();
    for (const std::string &warning : warnings) {
        json["warnings"][json["warnings"].size()] = value(warning);
    }
    return json.serialize();
}

std::string confirmPayload(const PlanId &plan, const std::string &operatorName)
{
    value json = value::object();
    json["plan"] = value(plan.value());
    json["operator"] = value(operatorName);
    return json.serialize();
}

std::string intentDigest(const Intent &intent)
{
    return sha256Hex(toJson(intent).serialize());
}

void ConfigurationFold::apply(const StoredRecord &stored)
{
    m_applied = stored.offset;
    if (!m_dedup.admit(stored)) {
        return;
    }
    if (stored.record.kind == "intent") {
        applyIntentRecord(stored);
    } else if (stored.record.kind == "confirm") {
        applyConfirmRecord(stored);
    }
}

void ConfigurationFold::applyIntentRecord(const StoredRecord &stored)
{
    const Result<value> json = parseJson(stored.record.payload);
    if (!json) {
        return;
    }
    FieldReader reader(*json, "record");
    const Result<Intent> intent = parseIntent(reader.optionalObject("intent"));
    PlanEntry entry;
    entry.baseVersion = reader.requiredUnsigned("base_version");
    entry.cost = reader.optionalObject("cost");
    entry.warnings = value::array(reader.optionalArray("warnings"));
    if (!intent || !reader.finish() || m_offsets.contains(intent->id)) {
        return;
    }
    entry.intent = intent->id;
    entry.operatorName = intent->operatorName;
    entry.digest = intentDigest(*intent);
    entry.body = toJson(*intent);
    entry.offset = stored.offset;
    plan(entry, *intent);
    insert(std::move(entry));
}

void ConfigurationFold::plan(PlanEntry &entry, const Intent &intent) const
{
    entry.changes = value::array();
    const Result<Configuration> after = applyIntent(m_configuration, intent);
    if (!after) {
        entry.state = PlanState::Refused;
        entry.reason = after.error().message;
        return;
    }
    for (const ConfigurationChange &change : difference(m_configuration, *after)) {
        entry.changes[entry.changes.size()] = toJson(change);
    }
    if (entry.baseVersion != m_configuration.version) {
        supersedeOnArrival(entry);
    }
}

void ConfigurationFold::supersedeOnArrival(PlanEntry &entry) const
{
    entry.state = PlanState::Superseded;
    entry.reason = "the plan was made for version " + std::to_string(entry.baseVersion) + ", but version "
        + std::to_string(m_configuration.version)
        + " was in force when it reached the log; post the intent again under a new id";
    for (const auto &[offset, other] : m_plans) {
        if (other.state == PlanState::Confirmed && other.version == m_configuration.version) {
            entry.supersededBy = other.intent;
        }
    }
}

void ConfigurationFold::applyConfirmRecord(const StoredRecord &stored)
{
    const Result<value> json = parseJson(stored.record.payload);
    if (!json) {
        return;
    }
    FieldReader reader(*json, "record");
    const PlanId planId(reader.requiredString("plan"));
    const std::string operatorName = reader.optionalString("operator", "");
    PlanEntry *entry = reader.finish() ? find(intentIdOf(planId)) : nullptr;
    if (entry == nullptr) {
        return;
    }
    if (entry->state == PlanState::Planned) {
        confirm(*entry, operatorName, stored.offset);
    } else if (entry->state == PlanState::Superseded) {
        collide(*entry);
    }
}

void ConfigurationFold::confirm(PlanEntry &entry, const std::string &operatorName, Offset offset)
{
    const Result<Intent> intent = parseIntent(entry.body);
    const Result<Configuration> after =
        intent ? applyIntent(m_configuration, *intent) : Result<Configuration>(tl::unexpected(intent.error()));
    if (!after) {
        entry.state = PlanState::Refused;
        entry.reason = after.error().message;
        return;
    }
    const std::uint64_t version = m_configuration.version + 1;
    m_configuration = *after;
    m_configuration.version = version;
    m_configuration.offset = offset;
    entry.state = PlanState::Confirmed;
    entry.version = version;
    entry.confirmedOffset = offset;
    entry.confirmedBy = operatorName;
    supersedeOthers(entry);
}

void ConfigurationFold::supersedeOthers(const PlanEntry &winner)
{
    for (auto &[offset, other] : m_plans) {
        if (other.state == PlanState::Planned) {
            other.state = PlanState::Superseded;
            other.supersededBy = winner.intent;
            other.reason = supersededReason(winner);
        }
    }
}

void ConfigurationFold::collide(PlanEntry &loser)
{
    PlanEntry *winner = find(loser.supersededBy);
    if (winner == nullptr) {
        return;
    }
    addOnce(loser.collisions, winner->intent);
    addOnce(winner->collisions, loser.intent);
}

void ConfigurationFold::insert(PlanEntry entry)
{
    m_offsets[entry.intent] = entry.offset;
    m_plans.emplace(entry.offset, std::move(entry));
    if (m_plans.size() > MaxPlans) {
        m_offsets.erase(m_plans.begin()->second.intent);
        m_plans.erase(m_plans.begin());
    }
}

PlanEntry *ConfigurationFold::find(const IntentId &intent)
{
    const auto found = m_offsets.find(intent);
    return found == m_offsets.end() ? nullptr : &m_plans.at(found->second);
}

const PlanEntry *ConfigurationFold::findIntent(const IntentId &intent) const
{
    const auto found = m_offsets.find(intent);
    return found == m_offsets.end() ? nullptr : &m_plans.at(found->second);
}

const PlanEntry *ConfigurationFold::findPlan(const PlanId &plan) const
{
    return findIntent(intentIdOf(plan));
}

Offset ConfigurationFold::applied() const
{
    return m_applied;
}

const Configuration &ConfigurationFold::configuration() const
{
    return m_configuration;
}

const std::map<Offset, PlanEntry> &ConfigurationFold::plans() const
{
    return m_plans;
}

std::string ConfigurationFold::checkpoint() const
{
    value json = value::object();
    json["configuration"] = toJson(m_configuration);
    json["plans"] = value::array();
    value &plans = json["plans"];
    for (const auto &[offset, entry] : m_plans) {
        plans[plans.size()] = toJson(entry);
    }
    json["writers"] = m_dedup.toJson();
    return json.serialize();
}

Result<void> ConfigurationFold::restore(const std::string &checkpoint, Offset offset)
{
    const Result<value> json = parseJson(checkpoint);
    if (!json) {
        return tl::unexpected(json.error());
    }
    FieldReader reader(*json, "checkpoint");
    ConfigurationFold restored;
    const Result<Configuration> configuration = parseConfiguration(reader.optionalObject("configuration"));
    if (!configuration) {
        return tl::unexpected(configuration.error());
    }
    if (offset < m_applied || configuration->version < m_configuration.version) {
        return failure(ErrorCode::Conflict, "the checkpoint is older than the state here; it is ignored");
    }
    restored.m_configuration = *configuration;
    for (const value &plan : reader.optionalArray("plans")) {
        Result<PlanEntry> entry = parsePlanEntry(plan);
        if (!entry) {
            return tl::unexpected(entry.error());
        }
        restored.insert(std::move(*entry));
    }
    if (Result<void> read = restored.m_dedup.restore(value::array(reader.optionalArray("writers"))); !read) {
        return read;
    }
    if (Result<void> read = reader.finish(); !read) {
        return read;
    }
    restored.m_applied = offset;
    *this = std::move(restored);
    return {};
}

} // namespace bergamot
