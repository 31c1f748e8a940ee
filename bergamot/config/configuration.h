#pragma once

// The configuration that operators change through the log: the served models and services, the trainers that receive
// samples, and their limits. A value type, equal on every instance that has applied the log up to the same offset.

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
    WeightVersion version = 0; // the version to serve; 0 follows the newest published one
    std::uint32_t capacityFloorPercent = 50; // share of a domain's engines that keep serving during a swap
    bool enginesCheckFencing = true; // false if engines accept orders with any fencing number

    bool operator==(const ModelConfig &) const = default;
};

/// The goal that the scheduling of a trainer's samples favours.
enum class SampleStrategy {
    IdleTime, // short idle time of the trainer
    Staleness, // low staleness of the samples
};

struct TrainerConfig
{
    TrainerId trainer;
    ModelId model;
    std::uint32_t sharePercent = 100; // guaranteed share of the model's engines
    std::uint64_t stalenessBound = 1; // maximum number of versions behind the newest weights in force
    std::uint32_t sparePercent = 10; // limit for tokens of speculative copies, relative to the tokens needed
    SampleStrategy strategy = SampleStrategy::IdleTime;
    std::string scoring; // IP:PORT of the scoring service, or empty

    bool operator==(const TrainerConfig &) const = default;
};

struct ServiceConfig
{
    ServiceId service;
    std::vector<std::string> repeatablePaths; // path prefixes of POST requests that may run more than once
    std::uint64_t timeoutMilliseconds = 2000; // for requests without a deadline

    bool operator==(const ServiceConfig &) const = default;
};

struct Configuration
{
    std::uint64_t version = 0; // increases by one with each confirmed plan; 0 is the empty configuration
    Offset offset = 0; // log offset of the confirmation that created this version
    std::vector<FailureDomainId>
        domains; // sorted; set once by the first plan, because idempotency keys are assigned to domains
    std::map<ModelId, ModelConfig> models;
    std::map<TrainerId, TrainerConfig> trainers;
    std::map<ServiceId, ServiceConfig> services;

    bool operator==(const Configuration &) const = default;
};

/// Parses the JSON form of a configuration. The error lists every invalid field and how to correct it.
Result<Configuration> parseConfiguration(const web::json::value &json);

/// The inverse of `parseConfiguration`; equal configurations serialize to the same text.
web::json::value toJson(const Configuration &configuration);

web::json::value toJson(const ModelConfig &config);
web::json::value toJson(const TrainerConfig &config);
web::json::value toJson(const ServiceConfig &config);

/// Inconsistencies between valid entries and how to correct them: a trainer whose model is not declared, or shares of
/// one model that exceed 100% in total. Empty if there are none.
std::vector<std::string> configurationProblems(const Configuration &configuration);

/// Each parses one entry; errors name it by `path`.
Result<ModelConfig> parseModelConfig(const ModelId &model, const web::json::value &json, const std::string &path);
Result<TrainerConfig>
parseTrainerConfig(const TrainerId &trainer, const web::json::value &json, const std::string &path);
Result<ServiceConfig>
parseServiceConfig(const ServiceId &service, const web::json::value &json, const std::string &path);

} // namespace bergamot
