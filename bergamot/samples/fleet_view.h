#pragma once

// Converts the view from the membership component into the input of the sample scheduler.
//
//     Result<FleetState> fleetState = readFleetState(view);

#include "bergamot/base/error.h"
#include "bergamot/protocol/generated/inner_generated.h"
#include "bergamot/samples/fleet_state.h"

namespace bergamot
{

/// Returns `InvalidArgument` if the configuration in `view` is invalid. Engines with an invalid address are left out.
Result<FleetState> readFleetState(const inner::ViewT &view);

} // namespace bergamot
