#include "bergamot/load/fleet_scenario.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <set>

#include "bergamot/base/json.h"

namespace bergamot
{

namespace
{

constexpr std::uint64_t MostOfOneKind = 1000;

/// A target's name without its number, and the number.
struct TargetName
{
    std::string kind;
    std::optional<std::uint32_t> number;
};

struct TargetKind
{
    std::set<std::string> faults;
    std::uint32_t FleetScenario::*count; // null: there is one, without a number
};

const std::set<std::string> &answerFaults()
{
    static const std::set<std::string> faults = {"out", "delay", "refuse", "half", "close", "silent", "clear"};
    return faults;
}

std::set<std::string> withAnswerFaults(std::set<std::string> faults)
{
    faults.insert(answerFaults().begin(), answerFaults().end());
    return faults;
}

const std::map<std::string, TargetKind> &targetKinds()
{
    static const std::map<std::string, TargetKind> kinds = {
        {"log", {withAnswerFaults({"limit", "retain"}), nullptr}},
        {"list", {withAnswerFaults({"lag"}), nullptr}},
        {"weight-store", {answerFaults(), nullptr}},
        {"scoring", {answerFaults(), nullptr}},
        {"service", {{"change"}, nullptr}},
        {"instance", {{"kill", "replace", "terminate", "pause-control"}, &FleetScenario::instances}},
        {"engine",
         {withAnswerFaults({"crash", "leave", "fail-swap", "poison", "slow-slots", "stall", "ignore-fencing"}),
          &FleetScenario::engines}},
        {"endpoint", {withAnswerFaults({"crash", "leave", "poison", "slow"}), &FleetScenario::serviceEndpoints}},
    };
    return kinds;
}

TargetName splitTarget(const std::string &target)
{
    const std::size_t dash = target.rfind('-');
    if (dash == std::string::npos) {
        return {target, std::nullopt};
    }
    std::uint32_t number = 0;
    const char *end = target.data() + target.size();
    const auto [rest, error] = std::from_chars(target.data() + dash + 1, end, number);
    if (error != std::errc() || rest != end) {
        return {target, std::nullopt};
    }
    return {target.substr(0, dash), number};
}

std::string joined(const std::set<std::string> &names)
{
    std::string text;
    for (const std::string &name : names) {
        text += text.empty() ? name : ", " + name;
    }
    return text;
}

std::uint32_t countOf(FieldReader &reader, const std::string &name, std::uint32_t fallback)
{
    const std::uint64_t value = reader.optionalUnsigned(name, fallback);
    if (value == 0 || value > MostOfOneKind) {
        reader.reject(name, "must be between 1 and 1000");
        return fallback;
    }
    return static_cast<std::uint32_t>(value);
}

std::chrono::milliseconds milliseconds(FieldReader &reader, const std::string &name)
{
    return std::chrono::milliseconds(reader.optionalUnsigned(name, 0));
}

FlagValues flagValues(FieldReader &reader, const std::string &name)
{
    FlagValues values;
    const web::json::value flags = reader.optionalObject(name);
    for (const auto &[flag, value] : flags.as_object()) {
        if (!value.is_string()) {
            std::string place = name;
            place.append(".").append(flag);
            reader.reject(place, "must be a string");
            continue;
        }
        values[flag] = value.as_string();
    }
    return values;
}

std::vector<FailureDomainId> domains(FieldReader &reader)
{
    std::vector<FailureDomainId> found;
    for (const web::json::value &element : reader.optionalArray("domains")) {
        if (!element.is_string() || element.as_string().empty()) {
            reader.reject("domains", "must hold non-empty names of failure domains");
            continue;
        }
        found.emplace_back(element.as_string());
    }
    if (found.empty()) {
        reader.reject("domains", "must name at least one failure domain");
    }
    return found;
}

} // namespace

Result<FleetScenario> parseFleet(const web::json::value &json, const std::string &path)
{
    FieldReader reader(json, path);
    reader.rejectUnknown({"domains",
                          "instances",
                          "engines",
                          "service_endpoints",
                          "model",
                          "service",
                          "platform_delay_ms",
                          "standin",
                          "control",
                          "entry",
                          "configuration"});
    FleetScenario fleet;
    fleet.domains = domains(reader);
    fleet.instances = countOf(reader, "instances", fleet.instances);
    fleet.engines = countOf(reader, "engines", fleet.engines);
    fleet.serviceEndpoints = countOf(reader, "service_endpoints", fleet.serviceEndpoints);
    fleet.model = reader.requiredString("model");
    fleet.service = reader.requiredString("service");
    fleet.platformDelay = milliseconds(reader, "platform_delay_ms");
    fleet.standin = flagValues(reader, "standin");
    fleet.control = flagValues(reader, "control");
    fleet.entry = flagValues(reader, "entry");
    fleet.configuration = reader.optionalObject("configuration");
    if (Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    return fleet;
}

Result<FaultScenario> parseFault(const web::json::value &json, const std::string &path)
{
    FieldReader reader(json, path);
    reader.rejectUnknown({"at_ms", "fault", "target", "lasts_ms", "call", "count", "duration_ms", "text"});
    FaultScenario fault;
    fault.at = std::chrono::milliseconds(reader.requiredUnsigned("at_ms"));
    fault.fault = reader.requiredString("fault");
    fault.target = reader.requiredString("target");
    fault.lasts = milliseconds(reader, "lasts_ms");
    fault.call = reader.optionalString("call", "");
    fault.count = reader.optionalUnsigned("count", fault.count);
    fault.duration = milliseconds(reader, "duration_ms");
    fault.text = reader.optionalString("text", "");
    if (fault.fault == "pause-control" && fault.lasts == std::chrono::milliseconds::zero()) {
        reader.reject("lasts_ms", "must say how long the process is stopped");
    }
    if (Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    return fault;
}

std::string faultRemedy(const FaultScenario &fault, const FleetScenario &fleet)
{
    const TargetName target = splitTarget(fault.target);
    const auto found = targetKinds().find(target.kind);
    if (found == targetKinds().end()) {
        return "has target '" + fault.target
            + "'; write log, list, weight-store, scoring, service, instance-N, engine-N or endpoint-N";
    }
    const TargetKind &kind = found->second;
    if ((kind.count != nullptr) != target.number.has_value()) {
        return "has target '" + fault.target + "'; "
            + (kind.count == nullptr ? "there is one, without a number" : "add its number, from 1");
    }
    if (target.number && (*target.number == 0 || *target.number > fleet.*kind.count)) {
        return "has target '" + fault.target + "'; there are " + std::to_string(fleet.*kind.count);
    }
    if (!kind.faults.contains(fault.fault)) {
        return "has fault '" + fault.fault + "' for " + target.kind + "; write one of: " + joined(kind.faults);
    }
    return {};
}

} // namespace bergamot
