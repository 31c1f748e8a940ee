#pragma once

// Names one process of an endpoint, for facts that end with it.
//
//     EndpointProcess process{EndpointId("e1"), 1774429259408};

#include <compare>
#include <cstdint>

#include "bergamot/base/ids.h"

namespace bergamot
{

/// An endpoint that starts again under its id has another incarnation, a larger one.
struct EndpointProcess
{
    EndpointId endpoint;
    std::uint64_t incarnation = 0; // 0: not known

    auto operator<=>(const EndpointProcess &) const = default;
};

} // namespace bergamot
