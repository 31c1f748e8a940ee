#pragma once

// What the configuration means for the items of a batch.
//
//     std::optional<dispatch::ItemPolicy> policy = itemPolicy(route, scoringRoute);

#include <algorithm>

#include "bergamot/dispatch/sample_scheduler.h"
#include "bergamot/fleet/configuration.h"

namespace bergamot::node
{

/// Items run at the services that take traffic of `route`, at whichever has room. `scoring` is the route of their
/// scoring calls; null if there is none.
inline dispatch::ItemPolicy itemPolicy(const fleet::Route &route, const fleet::Route *scoring)
{
    return {.services = fleet::activeServices(route),
            .maxAttempts = std::max(1U, route.maxAttempts),
            .maxScoringFailures = std::max(route.maxAttempts, scoring == nullptr ? 1U : scoring->maxAttempts),
            .singleVersion = route.singleVersion,
            .resultDeadline = route.resultDeadline,
            .retention = route.retention};
}

} // namespace bergamot::node
