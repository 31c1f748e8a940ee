#pragma once

// What an entry process asks of the control process beside it: views, and claims of idempotency keys. Narrow, so that
// the data path is tested without a control process.

#include <cstdint>
#include <string>
#include <vector>

#include "bergamot/base/error.h"
#include "bergamot/protocol/generated/inner_generated.h"
#include "bergamot/routing/crash_quarantine.h"

namespace bergamot
{

struct ViewNews
{
    std::uint64_t hash = 0;
    std::shared_ptr<const inner::ViewT> view; // null: unchanged
};

/// Thread-safe. Callbacks run on any thread.
class ControlLink
{
public:
    virtual ~ControlLink() = default;
    /// The newest view unless it has `knownHash`; hands over what was learned of crashing requests.
    virtual void
    fetchView(std::uint64_t knownHash, const std::vector<SuspectReport> &suspects, Callback<ViewNews> done) = 0;
    /// Any error means that nothing is proved about the key.
    virtual void claimKey(const inner::KeyClaimT &claim,
                          std::chrono::milliseconds timeout,
                          Callback<inner::KeyClaimReplyT> done) = 0;
    /// Sent a few times until it is acknowledged; then given up.
    virtual void recordKey(const inner::KeyOutcomeT &outcome) = 0;
};

} // namespace bergamot
