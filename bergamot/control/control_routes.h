#pragma once

// Answers of the control process that are about itself and the fleet: readiness and GET /v1/fleet.

#include "bergamot/control/fleet_node.h"
#include "bergamot/http/message.h"

namespace bergamot
{

/// What the readiness of a control process rests on.
struct Readiness
{
    bool isDraining = false;
    bool isCaughtUp = false; // the log's streams are known to be applied
    std::uint64_t configVersion = 0; // 0: no configuration yet
};

/// 200 if the instance can serve: it has caught up, or has a configuration from its peers. Else 503 and why.
HttpResponse readinessResponse(const Readiness &readiness);

/// Every instance with its failure domain, the configuration version in force there, and its condition.
HttpResponse fleetResponse(const FleetStatus &status, const Dissemination &dissemination);

} // namespace bergamot
