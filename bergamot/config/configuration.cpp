#include "bergamot/config/configuration.h"

#include "bergamot/base/address.h"
#include "bergamot/base/json.h"

namespace bergamot
{

namespace
{

using web::json::value;

constexpr std::uint64_t MaxPercent = 100;
constexpr std::uint64_t MaxTimeoutMilliseconds = 600'000;

/// Collects the errors of several entries, so that all of them are reported together.
class ErrorList
{
public:
    void add(const Error &error)
    {
        m_messages += m_messages.empty() ? error.message : "; " + error.message;
    }

    /// The value of `result`; if it failed, adds the error and returns nullopt.
    template<typename T>
    std::optional<T> valueOrAddError(Result<T> result)
    {
        if (!result) {
            add(result.error());
            return std::nullopt;
        }
        return std::move(*result);
    }

    bool empty() const
    {
        return m_messages.empty();
    }

    const std::string &joinedMessages() const
    {
        return m_messages;
    }

private:
    std::string m_messages;
};

std::uint32_t readPercent(FieldReader &reader, const std::string &name, std::uint32_t fallback)
{
    const std::uint64_t read = reader.optionalUnsigned(name, fallback);
    if (read > MaxPercent) {
        reader.reject(name, "must be from 0 to 100");
        return fallback;
    }
    return static_cast<std::uint32_t>(read);
}

std::vector<std::string> readNonEmptyStrings(FieldReader &reader, const std::string &name, const std::string &remedy)
{
    std::vector<std::string> read;
    for (const value &element : reader.optionalArray(name)) {
        if (!element.is_string() || element.as_string().empty()) {
            reader.reject(name, remedy);
            return {};
        }
        read.push_back(element.as_string());
    }
    return read;
}

std::vector<FailureDomainId> readDomains(FieldReader &reader)
{
    std::vector<FailureDomainId> read;
    for (std::string &name : readNonEmptyStrings(reader, "domains", "must hold non-empty names of failure domains")) {
        read.emplace_back(std::move(name));
    }
    std::sort(read.begin(), read.end());
    if (std::adjacent_find(read.begin(), read.end()) != read.end()) {
        reader.reject("domains", "must name each failure domain once");
    }
    return read;
}

template<typename Id, typename Entry>
std::map<Id, Entry> readEntries(FieldReader &reader,
                                const std::string &section,
                                Result<Entry> (*parse)(const Id &, const value &, const std::string &),
                                ErrorList &errors)
{
    std::map<Id, Entry> read;
    const std::string path = "configuration." + section + ".";
    const value object = reader.optionalObject(section);
    for (const auto &[name, body] : object.as_object()) {
        if (name.empty()) {
            reader.reject(section, "must not hold an empty name");
            continue;
        }
        const Id id(name);
        if (std::optional<Entry> entry = errors.valueOrAddError(parse(id, body, path + name))) {
            read.emplace(id, std::move(*entry));
        }
    }
    return read;
}

template<typename Entries>
value entriesToJson(const Entries &entries)
{
    value json = value::object();
    for (const auto &[id, entry] : entries) {
        json[id.value()] = toJson(entry);
    }
    return json;
}

template<typename Names>
value namesToJson(const Names &names)
{
    value json = value::array();
    for (const auto &name : names) {
        if constexpr (std::is_same_v<std::decay_t<decltype(name)>, std::string>) {
            json[json.size()] = value(name);
        } else {
            json[json.size()] = value(name.value());
        }
    }
    return json;
}

std::string strategyName(SampleStrategy strategy)
{
    return strategy == SampleStrategy::IdleTime ? "idle_time" : "staleness";
}

SampleStrategy readStrategy(FieldReader &reader)
{
    const std::string name = reader.optionalString("strategy", strategyName(SampleStrategy::IdleTime));
    for (const SampleStrategy known : {SampleStrategy::IdleTime, SampleStrategy::Staleness}) {
        if (name == strategyName(known)) {
            return known;
        }
    }
    reader.reject("strategy", "must be idle_time or staleness");
    return SampleStrategy::IdleTime;
}

} // namespace

Result<ModelConfig> parseModelConfig(const ModelId &model, const value &json, const std::string &path)
{
    const ModelConfig defaults;
    FieldReader reader(json, path);
    reader.rejectUnknown({"version", "capacity_floor_percent", "engines_check_fencing"});
    ModelConfig config;
    config.model = model;
    config.version = reader.optionalUnsigned("version", defaults.version);
    config.capacityFloorPercent = readPercent(reader, "capacity_floor_percent", defaults.capacityFloorPercent);
    config.enginesCheckFencing = reader.optionalBool("engines_check_fencing", defaults.enginesCheckFencing);
    if (config.capacityFloorPercent == MaxPercent) {
        reader.reject("capacity_floor_percent", "must be below 100, or no engine could ever be swapped");
    }
    if (Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    return config;
}

Result<TrainerConfig> parseTrainerConfig(const TrainerId &trainer, const value &json, const std::string &path)
{
    const TrainerConfig defaults;
    FieldReader reader(json, path);
    reader.rejectUnknown({"model", "share_percent", "staleness_bound", "spare_percent", "strategy", "scoring"});
    TrainerConfig config;
    config.trainer = trainer;
    config.model = ModelId(reader.requiredString("model"));
    config.sharePercent = readPercent(reader, "share_percent", defaults.sharePercent);
    config.stalenessBound = reader.optionalUnsigned("staleness_bound", defaults.stalenessBound);
    config.sparePercent = readPercent(reader, "spare_percent", defaults.sparePercent);
    config.strategy = readStrategy(reader);
    config.scoring = reader.optionalString("scoring", "");
    if (!config.scoring.empty() && !parseAddress(config.scoring)) {
        reader.reject("scoring", "must be IP:PORT, or left out");
    }
    if (Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    return config;
}

Result<ServiceConfig> parseServiceConfig(const ServiceId &service, const value &json, const std::string &path)
{
    const ServiceConfig defaults;
    FieldReader reader(json, path);
    reader.rejectUnknown({"repeatable_paths", "timeout_ms"});
    ServiceConfig config;
    config.service = service;
    config.repeatablePaths = readNonEmptyStrings(reader, "repeatable_paths", "must hold non-empty path prefixes");
    for (const std::string &prefix : config.repeatablePaths) {
        if (prefix.front() != '/') {
            reader.reject("repeatable_paths", "must hold prefixes that begin with /, not '" + prefix + "'");
        }
    }
    config.timeoutMilliseconds = reader.optionalUnsigned("timeout_ms", defaults.timeoutMilliseconds);
    if (config.timeoutMilliseconds == 0 || config.timeoutMilliseconds > MaxTimeoutMilliseconds) {
        reader.reject("timeout_ms", "must be from 1 to 600000");
    }
    if (Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    return config;
}

Result<Configuration> parseConfiguration(const value &json)
{
    FieldReader reader(json, "configuration");
    reader.rejectUnknown({"version", "offset", "domains", "models", "trainers", "services"});
    ErrorList errors;
    Configuration read;
    read.version = reader.optionalUnsigned("version", 0);
    read.offset = reader.optionalUnsigned("offset", 0);
    read.domains = readDomains(reader);
    read.models = readEntries<ModelId, ModelConfig>(reader, "models", &parseModelConfig, errors);
    read.trainers = readEntries<TrainerId, TrainerConfig>(reader, "trainers", &parseTrainerConfig, errors);
    read.services = readEntries<ServiceId, ServiceConfig>(reader, "services", &parseServiceConfig, errors);
    if (Result<void> finished = reader.finish(); !finished) {
        errors.add(finished.error());
    }
    if (!errors.empty()) {
        return failure(ErrorCode::InvalidArgument, errors.joinedMessages());
    }
    return read;
}

value toJson(const ModelConfig &config)
{
    value json = value::object();
    json["version"] = value::number(config.version);
    json["capacity_floor_percent"] = value::number(config.capacityFloorPercent);
    json["engines_check_fencing"] = value::boolean(config.enginesCheckFencing);
    return json;
}

value toJson(const TrainerConfig &config)
{
    value json = value::object();
    json["model"] = value(config.model.value());
    json["share_percent"] = value::number(config.sharePercent);
    json["staleness_bound"] = value::number(config.stalenessBound);
    json["spare_percent"] = value::number(config.sparePercent);
    json["strategy"] = value(strategyName(config.strategy));
    json["scoring"] = value(config.scoring);
    return json;
}

value toJson(const ServiceConfig &config)
{
    value json = value::object();
    json["repeatable_paths"] = namesToJson(config.repeatablePaths);
    json["timeout_ms"] = value::number(config.timeoutMilliseconds);
    return json;
}

value toJson(const Configuration &configuration)
{
    value json = value::object();
    json["version"] = value::number(configuration.version);
    json["offset"] = value::number(configuration.offset);
    json["domains"] = namesToJson(configuration.domains);
    json["models"] = entriesToJson(configuration.models);
    json["trainers"] = entriesToJson(configuration.trainers);
    json["services"] = entriesToJson(configuration.services);
    return json;
}

std::vector<std::string> configurationProblems(const Configuration &configuration)
{
    std::vector<std::string> problems;
    std::map<ModelId, std::uint64_t> shares;
    for (const auto &[id, trainer] : configuration.trainers) {
        if (!configuration.models.contains(trainer.model)) {
            problems.push_back("trainers." + id.value() + ".model names '" + trainer.model.value()
                               + "', which is no model of the configuration; declare the model or remove the trainer");
        }
        shares[trainer.model] += trainer.sharePercent;
    }
    for (const auto &[model, share] : shares) {
        if (share > MaxPercent) {
            problems.push_back("the trainers of model '" + model.value() + "' are promised " + std::to_string(share)
                               + "% of its engines; lower their share_percent to 100 in all");
        }
    }
    return problems;
}

} // namespace bergamot
