#pragma once

// The versions that a sample is labelled with come from the engine's own word alone. This check decides whether that
// word is enough.
//
//     if (Result<void> proven = checkLabels(generation, maxTokens); !proven) { ... discard ... }

#include <cstdint>

#include "bergamot/base/error.h"
#include "bergamot/platform/engine.h"

namespace bergamot
{

/// `InvalidArgument` with the reason unless `generation` is whole and its spans prove a version for every token.
Result<void> checkLabels(const Generation &generation, std::uint32_t maxTokens);

} // namespace bergamot
