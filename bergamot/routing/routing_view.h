#pragma once

// Builds the routing table from a view of the inner protocol and the configuration.
//
//     Snapshot<RoutingTable> table(std::make_shared<const RoutingTable>());
//     table.publish(std::make_shared<const RoutingTable>(routingTable(view, configuration)));

#include <memory>
#include <vector>

#include "bergamot/config/configuration.h"
#include "bergamot/protocol/generated/inner_generated.h"
#include "bergamot/routing/routing_table.h"

namespace bergamot
{

/// Leaves out endpoints whose address cannot be parsed and endpoints of services or models that are not configured.
RoutingTable routingTable(const inner::ViewT &view, const Configuration &configuration);

/// Converts suspect reports to and from the tables of the inner protocol.
std::vector<std::unique_ptr<inner::SuspectT>> toFrames(const std::vector<SuspectReport> &reports);
std::vector<SuspectReport> fromFrames(const std::vector<std::unique_ptr<inner::SuspectT>> &frames);

} // namespace bergamot
