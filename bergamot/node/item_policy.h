#pragma once

// What the configuration means for the items of a batch.
//
//     scheduler.setPolicies(batch, itemPolicies(configuration, {.host = "shop.example", .path = "/samples/b1"}));
//
// The route of an item is that of its own path at the host of its batch: it says which services run the item, how often
// it may fail and whether its text may mix weight versions. The scoring call has a route of its own. The route to which
// the batch was submitted says when results are due and how long items are kept trying.

#include <algorithm>

#include "bergamot/dispatch/sample_scheduler.h"
#include "bergamot/fleet/configuration.h"

namespace bergamot::node
{

/// Where a batch was submitted.
struct BatchOrigin
{
    std::string host;
    std::string path; // empty: not known
};

/// The policy of items under `route`, which run at the services that take its traffic, at whichever has room.
/// `scoring` is the route of their scoring calls, `submission` that of their batch; null if there is none.
inline dispatch::ItemPolicy
itemPolicy(const fleet::Route &route, const fleet::Route *scoring, const fleet::Route *submission)
{
    const fleet::Route &bounds = submission == nullptr ? route : *submission;
    return {.services = fleet::activeServices(route),
            .scoringRoute = scoring == nullptr ? std::string() : scoring->name,
            .maxAttempts = std::max(1U, route.maxAttempts),
            .maxScoringFailures = std::max(route.maxAttempts, scoring == nullptr ? 1U : scoring->maxAttempts),
            .singleVersion = route.singleVersion,
            .resultDeadline = bounds.resultDeadline,
            .retention = bounds.retention};
}

/// The policies of the items of a batch. The lookup refers to `configuration`.
inline dispatch::ItemPolicyLookup itemPolicies(const fleet::Configuration &configuration, BatchOrigin origin)
{
    const fleet::Route *submission = configuration.findRoute(origin.host, origin.path);
    return [&configuration, submission, host = std::move(origin.host)](
               const batch::Item &item) -> std::optional<dispatch::ItemPolicy> {
        const fleet::Route *route = configuration.findRoute(host, item.path);
        if (route == nullptr) {
            return std::nullopt;
        }
        const fleet::Route *scoring =
            item.scoring ? configuration.findRoute(item.scoring->host, item.scoring->path) : nullptr;
        return itemPolicy(*route, scoring, submission);
    };
}

} // namespace bergamot::node
