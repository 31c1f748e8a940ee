#pragma once

// Reads the view that the membership part hands out into the picture that the sample scheduler works with.
//
//     Result<FleetPicture> picture = readFleetPicture(view);

#include "bergamot/base/error.h"
#include "bergamot/protocol/generated/inner_generated.h"
#include "bergamot/samples/fleet_state.h"

namespace bergamot
{

/// `InvalidArgument` if the configuration in `view` cannot be read. Engines whose address cannot be read are left out.
Result<FleetPicture> readFleetPicture(const inner::ViewT &view);

} // namespace bergamot
