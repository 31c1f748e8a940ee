#pragma once

// Where an idempotency key lives: its home failure domain, whose stream decides about it, and the instance there that
// claims keys for all others.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bergamot/base/ids.h"

namespace bergamot
{

/// The stream of the keys whose home is `domain`.
std::string keysStream(const FailureDomainId &domain);

/// The home of `key` among the configured domains; none if there are none.
std::optional<FailureDomainId> keyHome(std::string_view key, const std::vector<FailureDomainId> &domains);

/// The live instance of `domain` that claims its keys; none if there is none. It saves appends and is no lease: two
/// committers at once do no harm, for the log decides.
std::optional<InstanceId> keyCommitter(const FailureDomainId &domain, const std::vector<InstanceId> &liveInstances);

} // namespace bergamot
