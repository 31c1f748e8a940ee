#include "bergamot/load/scenario.h"

#include "bergamot/base/json.h"

namespace bergamot
{

namespace
{

const std::map<std::string, CallKind> &callKinds()
{
    static const std::map<std::string, CallKind> kinds = {
        {"stock", CallKind::Stock},
        {"confirm", CallKind::Confirm},
        {"keyed-confirm", CallKind::KeyedConfirm},
        {"generate", CallKind::Generate},
    };
    return kinds;
}

std::chrono::milliseconds milliseconds(FieldReader &reader, const std::string &name, std::chrono::milliseconds fallback)
{
    return std::chrono::milliseconds(reader.optionalUnsigned(name, static_cast<std::uint64_t>(fallback.count())));
}

std::uint32_t positive(FieldReader &reader, const std::string &name, std::uint32_t fallback)
{
    constexpr std::uint64_t Most = 1'000'000;
    const std::uint64_t value = reader.optionalUnsigned(name, fallback);
    if (value == 0 || value > Most) {
        reader.reject(name, "must be between 1 and 1000000");
        return fallback;
    }
    return static_cast<std::uint32_t>(value);
}

Address address(FieldReader &reader, const std::string &name, const std::string &text)
{
    const Result<Address> parsed = parseAddress(text);
    if (!parsed) {
        reader.reject(name, "holds a bad address: " + parsed.error().message);
        return {};
    }
    return *parsed;
}

std::vector<Address> addresses(FieldReader &reader, const std::string &name)
{
    std::vector<Address> found;
    for (const web::json::value &element : reader.optionalArray(name)) {
        found.push_back(address(reader, name, element.is_string() ? element.as_string() : element.serialize()));
    }
    return found;
}

Result<CallerScenario> parseCaller(const web::json::value &json, const std::string &path)
{
    FieldReader reader(json, path);
    CallerScenario caller;
    caller.tenant = reader.requiredString("tenant");
    caller.requestClass = reader.optionalString("class", "interactive");
    caller.target = reader.requiredString("target");
    caller.ratePerSecond = reader.optionalNumber("rate_per_second", 1);
    caller.deadline = milliseconds(reader, "deadline_ms", caller.deadline);
    if (caller.ratePerSecond <= 0) {
        reader.reject("rate_per_second", "must be above 0");
    }
    const std::string kind = reader.requiredString("kind");
    const auto found = callKinds().find(kind);
    if (found == callKinds().end()) {
        reader.reject("kind", "must be stock, confirm, keyed-confirm or generate");
    } else {
        caller.kind = found->second;
    }
    if (Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    return caller;
}

Result<TrainerScenario> parseTrainer(const web::json::value &json, const std::string &path)
{
    FieldReader reader(json, path);
    TrainerScenario trainer;
    trainer.trainer = TrainerId(reader.requiredString("trainer"));
    trainer.model = ModelId(reader.requiredString("model"));
    trainer.steps = positive(reader, "steps", 1);
    trainer.groups = positive(reader, "groups", 1);
    trainer.samplesPerGroup = positive(reader, "samples_per_group", 1);
    trainer.maxTokens = positive(reader, "max_tokens", 16);
    trainer.stalenessBound = reader.optionalUnsigned("staleness_bound", 1);
    trainer.trainingTime = milliseconds(reader, "training_ms", trainer.trainingTime);
    trainer.publishes = reader.optionalBool("publishes", false);
    if (Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    return trainer;
}

/// Parses each element of array `name` with `parse`; errors join those of `reader`.
template<typename T>
std::vector<T> parseEach(FieldReader &reader,
                         const std::string &name,
                         Result<T> (*parse)(const web::json::value &, const std::string &))
{
    std::vector<T> parsed;
    for (const web::json::value &element : reader.optionalArray(name)) {
        Result<T> one = parse(element, name + "[" + std::to_string(parsed.size()) + "]");
        if (!one) {
            reader.reject(name, "is wrong: " + one.error().message);
            return parsed;
        }
        parsed.push_back(std::move(*one));
    }
    return parsed;
}

} // namespace

Result<Scenario> parseScenario(std::string_view text)
{
    const Result<web::json::value> json = parseJson(text);
    if (!json) {
        return tl::unexpected(json.error());
    }
    FieldReader reader(*json, "scenario");
    Scenario scenario;
    scenario.seed = reader.optionalUnsigned("seed", scenario.seed);
    scenario.duration = milliseconds(reader, "duration_ms", scenario.duration);
    scenario.entries = addresses(reader, "entries");
    scenario.controls = addresses(reader, "controls");
    scenario.endpoints = addresses(reader, "endpoints");
    scenario.terminated = addresses(reader, "terminated");
    if (reader.has("weight_store")) {
        scenario.weightStore = address(reader, "weight_store", reader.requiredString("weight_store"));
    }
    scenario.callers = parseEach<CallerScenario>(reader, "callers", parseCaller);
    scenario.trainers = parseEach<TrainerScenario>(reader, "trainers", parseTrainer);
    if (!scenario.callers.empty() && scenario.entries.empty()) {
        reader.reject("entries", "must name at least one instance when there are callers");
    }
    if (!scenario.trainers.empty() && scenario.controls.empty()) {
        reader.reject("controls", "must name at least one instance when there are trainers");
    }
    if (Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    return scenario;
}

} // namespace bergamot
