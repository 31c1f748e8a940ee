#pragma once

// A snapshot of the engines, trainers and models of the fleet, as input of the sample scheduler.
//
//     FleetState fleetState;
//     fleetState.engines.push_back({.engine = EndpointId("e1"), .model = ModelId("agent"), .slots = 8});

#include <cstdint>
#include <map>
#include <vector>

#include "bergamot/base/address.h"
#include "bergamot/base/ids.h"
#include "bergamot/config/configuration.h"
#include "bergamot/routing/crash_quarantine.h"

namespace bergamot
{

struct EngineView
{
    EndpointId engine;
    ModelId model;
    Address address;
    WeightVersion version = 0;
    WeightVersion loading = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    bool leaving = false;
    bool reachable = true;
};

struct FleetState
{
    std::vector<EngineView> engines;
    std::map<TrainerId, TrainerConfig> trainers;
    std::map<ModelId, ModelConfig> models;
    std::map<ModelId, WeightVersion> published; // newest published version; engines may not have loaded it yet
    std::vector<SuspectReport> suspects; // all suspect reports known in the failure domain
};

} // namespace bergamot
