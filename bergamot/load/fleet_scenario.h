#pragma once

// The parts of a scenario that scripts/bench acts on: which processes make up the fleet, and which faults befall them
// when. The load tool only checks them, so that a bad file fails before anything is started.
//
//     Result<FleetScenario> fleet = parseFleet(json, "fleet");
//     Result<FaultScenario> fault = parseFault(json, "faults[0]");
//     if (const std::string remedy = faultRemedy(*fault, *fleet); !remedy.empty()) { ... }

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <cpprest/json.h>

#include "bergamot/base/error.h"
#include "bergamot/base/ids.h"

namespace bergamot
{

/// Settings of a program by flag name without dashes.
using FlagValues = std::map<std::string, std::string>;

struct FleetScenario
{
    std::vector<FailureDomainId> domains; // instances, engines and service endpoints take turns in them
    std::uint32_t instances = 18;
    std::uint32_t engines = 9;
    std::uint32_t serviceEndpoints = 3;
    std::string model;
    std::string service;
    std::chrono::milliseconds platformDelay{0}; // added to each answer of log, list and weight store
    FlagValues standin;
    FlagValues control;
    FlagValues entry;
    web::json::value configuration = web::json::value::object(); // of the intent confirmed before the run
};

/// One fault. The target is "log", "list", "weight-store", "scoring", "service" or a kind with a number from 1:
/// "instance-4", "engine-2", "endpoint-1". With "leave", the platform's list says so too unless `text` is "unlisted";
/// with `text` "list" only the list does.
struct FaultScenario
{
    std::chrono::milliseconds at{0}; // from the start of the callers
    std::string fault;
    std::string target;
    std::chrono::milliseconds lasts{0}; // 0: for good; otherwise undone after it
    std::string call; // as in the stand-in's command: which calls it hits
    std::uint64_t count = 1;
    std::chrono::milliseconds duration{0};
    std::string text;
};

Result<FleetScenario> parseFleet(const web::json::value &json, const std::string &path);
Result<FaultScenario> parseFault(const web::json::value &json, const std::string &path);

/// What is wrong with `fault` in this fleet, as the end of a sentence; empty if nothing.
std::string faultRemedy(const FaultScenario &fault, const FleetScenario &fleet);

} // namespace bergamot
