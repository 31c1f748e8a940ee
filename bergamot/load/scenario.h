#pragma once

// What one run of the load tool does: who calls, which trainers draw, how long, and where to check from outside.
//
//     Result<Scenario> scenario = parseScenario(text);

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bergamot/base/address.h"
#include "bergamot/base/error.h"
#include "bergamot/base/ids.h"
#include "bergamot/load/fleet_scenario.h"

namespace bergamot
{

enum class CallKind {
    Stock, // an idempotent read of a plain service
    Status, // the same, of the applications portal
    Confirm, // a lot confirmation without a key, sent once
    KeyedConfirm, // a lot confirmation with an idempotency key, sent twice through two instances
    Pull, // a record pull without a key
    KeyedPull, // a record pull with a key, sent twice
    Generate, // a generation by a model
};

/// Whether a call of this kind may run at most once.
bool isNonIdempotent(CallKind kind);

/// Callers of one tenant and class that arrive at random with a fixed mean rate, whether or not answers come.
struct CallerScenario
{
    std::string tenant;
    std::string requestClass; // "interactive", "internal" or "batch"
    CallKind kind = CallKind::Stock;
    std::string target; // service or model
    double ratePerSecond = 0;
    std::chrono::milliseconds deadline{2000};
    std::uint32_t shortestPercent = 100; // of the tokens asked for: the least that engines of this run generate
    std::string item; // what every request names; empty: each its own. Not for non-idempotent calls.
};

struct TrainerScenario
{
    TrainerId trainer;
    ModelId model;
    std::uint64_t steps = 1;
    std::uint32_t groups = 1;
    std::uint32_t samplesPerGroup = 1;
    std::uint32_t maxTokens = 16;
    std::uint64_t stalenessBound = 1; // checked on every sample received
    std::chrono::milliseconds trainingTime{500}; // for one step
    bool publishes = false; // publishes new weights after each step
    bool handsInAhead = false; // hands the next step in before it trains on this one
    std::uint32_t lostDrawsPercent = 0; // draws whose answer is thrown away, as if its connection had broken
};

struct Scenario
{
    std::uint64_t seed = 1;
    std::chrono::milliseconds duration{10000}; // callers stop after it; trainers finish their steps
    std::vector<Address> entries;
    std::vector<Address> controls;
    std::vector<Address> endpoints; // asked for what ran, at the end
    Address weightStore;
    std::vector<Address> terminated; // entries that get SIGTERM during the run: none of their requests may be cut off
    std::vector<CallerScenario> callers;
    std::vector<TrainerScenario> trainers;
    std::optional<FleetScenario> fleet; // read by scripts/bench; only checked here, as are the faults
    std::vector<FaultScenario> faults;
};

/// Reads the JSON form; the error lists every bad field with its remedy.
Result<Scenario> parseScenario(std::string_view text);

} // namespace bergamot
