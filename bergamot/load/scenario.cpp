#include "bergamot/load/scenario.h"

#include "bergamot/base/json.h"

namespace bergamot
{

namespace
{

constexpr std::uint64_t MostLostPercent = 90;
constexpr std::uint32_t Whole = 100; // percent

const std::map<std::string, CallKind> &callKinds()
{
    static const std::map<std::string, CallKind> kinds = {
        {"stock", CallKind::Stock},
        {"status", CallKind::Status},
        {"confirm", CallKind::Confirm},
        {"keyed-confirm", CallKind::KeyedConfirm},
        {"pull", CallKind::Pull},
        {"keyed-pull", CallKind::KeyedPull},
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
    reader.rejectUnknown(
        {"tenant", "class", "kind", "target", "rate_per_second", "deadline_ms", "item", "shortest_percent"});
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
        reader.reject("kind", "must be stock, status, confirm, keyed-confirm, pull, keyed-pull or generate");
    } else {
        caller.kind = found->second;
    }
    caller.shortestPercent = positive(reader, "shortest_percent", Whole);
    if (caller.shortestPercent > Whole) {
        reader.reject("shortest_percent", "must be at most 100");
    }
    caller.item = reader.optionalString("item", "");
    if (isNonIdempotent(caller.kind) && !caller.item.empty()) {
        reader.reject("item", "must be left out for non-idempotent calls, or their runs cannot be told apart");
    }
    if (Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    return caller;
}

Result<TrainerScenario> parseTrainer(const web::json::value &json, const std::string &path)
{
    FieldReader reader(json, path);
    reader.rejectUnknown({"trainer",
                          "model",
                          "steps",
                          "groups",
                          "samples_per_group",
                          "max_tokens",
                          "staleness_bound",
                          "training_ms",
                          "publishes",
                          "hands_in_ahead",
                          "lost_draws_percent"});
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
    trainer.handsInAhead = reader.optionalBool("hands_in_ahead", false);
    const std::uint64_t lost = reader.optionalUnsigned("lost_draws_percent", 0);
    if (lost > MostLostPercent) {
        reader.reject("lost_draws_percent", "must be from 0 to 90");
    }
    trainer.lostDrawsPercent = static_cast<std::uint32_t>(lost);
    if (Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    return trainer;
}

bool hasElements(const web::json::value &json, const std::string &name)
{
    return json.has_array_field(name) && json.at(name).size() > 0;
}

/// Parses each element of array `name` with `parse`; errors join those of `reader`.
template<typename T>
std::vector<T> parseEach(FieldReader &reader,
                         const std::string &name,
                         Result<T> (*parse)(const web::json::value &, const std::string &))
{
    std::vector<T> parsed;
    std::size_t index = 0;
    for (const web::json::value &element : reader.optionalArray(name)) {
        Result<T> one = parse(element, name + "[" + std::to_string(index) + "]");
        ++index;
        if (!one) {
            reader.reject(name, "is wrong: " + one.error().message);
            continue;
        }
        parsed.push_back(std::move(*one));
    }
    return parsed;
}

void parseFleetAndFaults(FieldReader &reader, Scenario &scenario)
{
    scenario.faults = parseEach<FaultScenario>(reader, "faults", parseFault);
    if (!reader.has("fleet")) {
        if (!scenario.faults.empty()) {
            reader.reject("fleet", "must say which processes there are when there are faults");
        }
        return;
    }
    Result<FleetScenario> fleet = parseFleet(reader.optionalObject("fleet"), "fleet");
    if (!fleet) {
        reader.reject("fleet", "is wrong: " + fleet.error().message);
        return;
    }
    scenario.fleet = std::move(*fleet);
    for (const FaultScenario &fault : scenario.faults) {
        const std::string name = "faults at " + std::to_string(fault.at.count()) + " ms";
        if (const std::string remedy = faultRemedy(fault, *scenario.fleet); !remedy.empty()) {
            reader.reject(name, remedy);
        }
        if (fault.at >= scenario.duration) {
            reader.reject(name, "must come before duration_ms");
        }
    }
}

} // namespace

bool isNonIdempotent(CallKind kind)
{
    return kind == CallKind::Confirm || kind == CallKind::KeyedConfirm || kind == CallKind::Pull
        || kind == CallKind::KeyedPull;
}

Result<Scenario> parseScenario(std::string_view text)
{
    const Result<web::json::value> json = parseJson(text);
    if (!json) {
        return tl::unexpected(json.error());
    }
    FieldReader reader(*json, "scenario");
    reader.rejectUnknown({"note",
                          "seed",
                          "duration_ms",
                          "entries",
                          "controls",
                          "endpoints",
                          "terminated",
                          "weight_store",
                          "callers",
                          "trainers",
                          "fleet",
                          "faults"});
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
    parseFleetAndFaults(reader, scenario);
    if (hasElements(*json, "callers") && scenario.entries.empty()) {
        reader.reject("entries", "must name at least one instance when there are callers");
    }
    if (hasElements(*json, "trainers") && scenario.controls.empty()) {
        reader.reject("controls", "must name at least one instance when there are trainers");
    }
    if (Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    return scenario;
}

} // namespace bergamot
