#pragma once

// What an instance knew when it began a request. An instance that sends the request for it compares this with what it
// has read itself.
//
//     RequestBasis basis{.configuration = configuration.version()};

#include <cstdint>
#include <optional>
#include <string>

#include "bergamot/tenants/tenant_index.h"

namespace bergamot::relay
{

struct RequestBasis
{
    std::uint64_t configuration = 0; // version that routed it; 0: not known
    std::optional<tenants::KeyDigest> callerKey; // nothing: its caller has no key
    std::string batch; // of the item that it scores; empty: it is a caller's request
    std::uint64_t ownerEpoch = 0; // of the pool's owner that scores the item
};

} // namespace bergamot::relay
