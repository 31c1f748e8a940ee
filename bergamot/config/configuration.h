#pragma once

// The configuration that operators agree on through the log: what is served, who draws samples, and under which
// bounds. A value; equal on every instance that has applied the same offset.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <cpprest/json.h>

#include "bergamot/base/error.h"
#include "bergamot/base/ids.h"

namespace bergamot
{

struct ModelConfig
{
    ModelId model;
    WeightVersion version = 0; // serve exactly this one; 0: follow the newest published
    std::uint32_t capacityFloorPercent = 50; // share of a domain's engines that keep serving during a swap
    bool enginesCheckFencing = true; // false: engines obey an order whatever its fencing number

    bool operator==(const ModelConfig &) const = default;
};

enum class SampleStrategy {
    IdleTime, // weigh the trainer's idle time more
    Staleness, // weigh the samples' staleness more
};

struct TrainerConfig
{
    TrainerId trainer;
    ModelId model;
    std::uint32_t sharePercent = 100; // of the model's engines, guaranteed
    std::uint64_t stalenessBound = 1; // versions behind the newest weights in force, at most
    std::uint32_t sparePercent = 10; // extra tokens allowed for spare samples, of those needed
    SampleStrategy strategy = SampleStrategy::IdleTime;
    std::string scoring; // IP:PORT of its scoring service, or empty

    bool operator==(const TrainerConfig &) const = default;
};

struct ServiceConfig
{
    ServiceId service;
    std::vector<std::string> repeatablePaths; // path prefixes whose POSTs may run more than once
    std::uint64_t timeoutMilliseconds = 2000; // for a caller that names no deadline

    bool operator==(const ServiceConfig &) const = default;
};

struct Configuration
{
    std::uint64_t version = 0; // rises by one with each confirmed plan; 0 is the empty configuration
    Offset offset = 0; // of the confirmation that made it
    std::vector<FailureDomainId> domains; // sorted; set once, by the first plan: idempotency keys are placed over them
    std::map<ModelId, ModelConfig> models;
    std::map<TrainerId, TrainerConfig> trainers;
    std::map<ServiceId, ServiceConfig> services;

    bool operator==(const Configuration &) const = default;
};

/// Reads the JSON form of a configuration; the error lists every bad field with its remedy.
Result<Configuration> parseConfiguration(const web::json::value &json);

/// The inverse of `parseConfiguration`; equal configurations give equal text.
web::json::value toJson(const Configuration &configuration);

web::json::value toJson(const ModelConfig &config);
web::json::value toJson(const TrainerConfig &config);
web::json::value toJson(const ServiceConfig &config);

/// What is wrong between entries that are each well formed, with the remedy: a trainer of an undeclared model, shares
/// over 100%. Empty if nothing is.
std::vector<std::string> configurationProblems(const Configuration &configuration);

/// Reads one entry, named `path` in errors.
Result<ModelConfig> parseModelConfig(const ModelId &model, const web::json::value &json, const std::string &path);
Result<TrainerConfig>
parseTrainerConfig(const TrainerId &trainer, const web::json::value &json, const std::string &path);
Result<ServiceConfig>
parseServiceConfig(const ServiceId &service, const web::json::value &json, const std::string &path);

} // namespace bergamot
