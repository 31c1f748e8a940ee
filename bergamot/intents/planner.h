#pragma once

// What a change of configuration costs: which engines it touches, how much capacity is lost and for how long, what the
// weight store has to serve, and what trainers will notice. A forecast for the operator, from what this instance sees.
//
//     const PlanForecast forecast = planChange(before, after, fleet, options);

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include <cpprest/json.h>

#include "bergamot/config/configuration.h"
#include "bergamot/platform/weight_store.h"

namespace bergamot
{

struct FleetEngine
{
    EndpointId engine;
    ModelId model;
    FailureDomainId domain;
    WeightVersion version = 0;
};

/// What the planner knows of the endpoints and the weight store.
struct FleetSnapshot
{
    std::vector<FleetEngine> engines; // live ones
    std::map<ModelId, PublishedWeights> published;
};

struct PlannerOptions
{
    std::chrono::milliseconds engineLoadTime{3000}; // to fetch one version and swap it in
    std::chrono::milliseconds publicationInterval{std::chrono::minutes(6)}; // between weight versions
};

/// What the change takes from one model in one failure domain.
struct CapacityCost
{
    ModelId model;
    FailureDomainId domain;
    std::uint32_t engines = 0;
    std::uint32_t touched = 0; // engines that load another version
    std::uint32_t outAtOnce = 0; // engines that may swap at the same time
    std::uint32_t lostPercent = 0; // of the model's engines in the domain, while it lasts
};

struct TrainerCost
{
    TrainerId trainer;
    std::uint64_t predictedStaleness = 0; // versions, while the change is carried out
    std::uint64_t stalenessBound = 0;
    std::chrono::milliseconds predictedIdle{0}; // capacity lost, as time of the whole model
    std::int64_t stepTimeChangePercent = 0; // by a changed share of the engines
};

struct PlanForecast
{
    std::uint32_t enginesTouched = 0;
    std::uint32_t storeFetches = 0;
    std::chrono::milliseconds duration{0}; // until the last engine has the new version
    std::vector<CapacityCost> capacity;
    std::vector<TrainerCost> trainers;
    std::vector<std::string> warnings;
};

/// Pure: equal arguments give an equal forecast.
PlanForecast planChange(const Configuration &before,
                        const Configuration &after,
                        const FleetSnapshot &fleet,
                        const PlannerOptions &options);

/// The "cost" of a plan, without its warnings.
web::json::value toJson(const PlanForecast &forecast);

} // namespace bergamot
