#pragma once

// The routing table that follows from a view of the inner protocol.
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

/// Endpoints whose address cannot be read, or that serve nothing that is configured, are left out.
RoutingTable routingTable(const inner::ViewT &view, const Configuration &configuration);

/// Reports in the form of the inner protocol, and back.
std::vector<std::unique_ptr<inner::SuspectT>> toFrames(const std::vector<SuspectReport> &reports);
std::vector<SuspectReport> fromFrames(const std::vector<std::unique_ptr<inner::SuspectT>> &frames);

} // namespace bergamot
