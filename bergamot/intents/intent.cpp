#include "bergamot/intents/intent.h"

#include "bergamot/base/json.h"

namespace bergamot
{

namespace
{

using web::json::value;

constexpr std::size_t MaxIdLength = 128;

void join(std::string &text, const std::string &part)
{
    text += text.empty() ? part : "; " + part;
}

template<typename Id>
std::vector<Id> removedIds(FieldReader &reader, const std::string &section)
{
    std::vector<Id> ids;
    for (const value &name : reader.optionalArray(section)) {
        if (!name.is_string() || name.as_string().empty()) {
            reader.reject(section, "must hold non-empty names");
            return {};
        }
        ids.emplace_back(name.as_string());
    }
    std::sort(ids.begin(), ids.end());
    ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
    return ids;
}

template<typename Id>
value toNames(const std::vector<Id> &ids)
{
    value json = value::array();
    for (const Id &id : ids) {
        json[json.size()] = value(id.value());
    }
    return json;
}

template<typename Entries, typename Id>
void removeEntries(Entries &entries, const std::vector<Id> &ids, const std::string &kind, std::string &problems)
{
    for (const Id &id : ids) {
        if (entries.erase(id) == 0) {
            join(problems, "there is no " + kind + " '" + id.value() + "' to remove");
        }
    }
}

template<typename Entries>
void setEntries(Entries &entries, const Entries &set)
{
    for (const auto &[id, entry] : set) {
        entries[id] = entry;
    }
}

void checkVersions(const Configuration &base, const Configuration &after, std::string &problems)
{
    for (const auto &[id, model] : after.models) {
        const auto before = base.models.find(id);
        const bool lower = before != base.models.end() && model.version != 0 && model.version < before->second.version;
        if (lower) {
            join(problems,
                 "models." + id.value() + ".version is below the present " + std::to_string(before->second.version)
                     + "; weight versions only rise, so publish the older weights under a new version");
        }
    }
}

Result<void> readId(FieldReader &reader, Intent &intent)
{
    intent.id = IntentId(reader.requiredString("id"));
    if (intent.id.value().size() > MaxIdLength || intent.id.value().find('/') != std::string::npos) {
        reader.reject("id", "must be at most 128 characters without '/'");
    }
    intent.operatorName = reader.requiredString("operator");
    return reader.finish();
}

} // namespace

Result<Intent> parseIntent(const value &json)
{
    Intent intent;
    FieldReader reader(json, "intent");
    reader.rejectUnknown({"id", "operator", "set", "remove"});
    std::string problems;
    const value set = reader.optionalObject("set");
    const value removed = reader.optionalObject("remove");
    FieldReader setReader(set, "intent.set");
    setReader.rejectUnknown({"domains", "models", "trainers", "services"});
    FieldReader removeReader(removed, "intent.remove");
    removeReader.rejectUnknown({"models", "trainers", "services"});
    intent.removedModels = removedIds<ModelId>(removeReader, "models");
    intent.removedTrainers = removedIds<TrainerId>(removeReader, "trainers");
    intent.removedServices = removedIds<ServiceId>(removeReader, "services");
    const Result<Configuration> parsed = parseConfiguration(set);
    for (const Result<void> &read : {readId(reader, intent), setReader.finish(), removeReader.finish()}) {
        if (!read) {
            join(problems, read.error().message);
        }
    }
    if (!parsed) {
        join(problems, parsed.error().message);
    }
    if (!problems.empty()) {
        return failure(ErrorCode::InvalidArgument, problems);
    }
    intent.set = *parsed;
    return intent;
}

value toJson(const Intent &intent)
{
    value set = toJson(intent.set);
    set.erase("version");
    set.erase("offset");
    value removed = value::object();
    removed["models"] = toNames(intent.removedModels);
    removed["trainers"] = toNames(intent.removedTrainers);
    removed["services"] = toNames(intent.removedServices);
    value json = value::object();
    json["id"] = value(intent.id.value());
    json["operator"] = value(intent.operatorName);
    json["set"] = set;
    json["remove"] = removed;
    return json;
}

Result<Configuration> applyIntent(const Configuration &base, const Intent &intent)
{
    Configuration after = base;
    std::string problems;
    if (!intent.set.domains.empty() && !base.domains.empty() && intent.set.domains != base.domains) {
        join(problems,
             "the failure domains were set before and stay: idempotency keys are placed over them, and a key that moved"
             " could run twice; leave set.domains out");
    }
    if (!intent.set.domains.empty()) {
        after.domains = intent.set.domains;
    }
    removeEntries(after.models, intent.removedModels, "model", problems);
    removeEntries(after.trainers, intent.removedTrainers, "trainer", problems);
    removeEntries(after.services, intent.removedServices, "service", problems);
    setEntries(after.models, intent.set.models);
    setEntries(after.trainers, intent.set.trainers);
    setEntries(after.services, intent.set.services);
    checkVersions(base, after, problems);
    for (const std::string &problem : configurationProblems(after)) {
        join(problems, problem);
    }
    if (!problems.empty()) {
        return failure(ErrorCode::Conflict, problems);
    }
    return after;
}

} // namespace bergamot
