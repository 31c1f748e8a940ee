#pragma once

// Checks the weight versions that an engine reports for a generation. Samples are labelled with these versions only, so
// a generation whose report is incomplete or contradictory must be discarded.
//
//     if (Result<void> proven = checkLabels(generation, maxTokens); !proven) { ... discard ... }

#include <cstdint>

#include "bergamot/base/error.h"
#include "bergamot/platform/engine.h"

namespace bergamot
{

/// Returns `InvalidArgument` with the reason unless `generation` is complete and its spans give a version for each
/// token.
Result<void> checkLabels(const Generation &generation, std::uint32_t maxTokens);

} // namespace bergamot
