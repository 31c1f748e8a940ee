#pragma once

// What an entry process asks of the control process beside it: views, and claims of idempotency keys. Views can be had
// from the control processes of other instances too. Narrow, so that the data path is tested without a control process.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bergamot/base/address.h"
#include "bergamot/base/clock.h"
#include "bergamot/base/error.h"
#include "bergamot/protocol/generated/inner_generated.h"
#include "bergamot/routing/crash_quarantine.h"

namespace bergamot
{

/// Whose view: the control process at this address, or the own one.
using ViewSource = std::optional<Address>;

struct ViewQuestion
{
    ViewSource source;
    std::uint64_t knownHash = 0;
    std::vector<SuspectReport> suspects; // handed over: what was learned of crashing requests
};

struct ViewNews
{
    std::uint64_t hash = 0;
    std::shared_ptr<const inner::ViewT> view; // null: unchanged
    std::optional<Duration> age = Duration{}; // since the state in it was last whole; none: it never was
};

/// Thread-safe. Callbacks run on any thread.
class ControlLink
{
public:
    virtual ~ControlLink() = default;
    /// The newest view of the source unless it has the known hash.
    virtual void fetchView(const ViewQuestion &question, Callback<ViewNews> done) = 0;
    /// Any error means that nothing is proved about the key.
    virtual void claimKey(const inner::KeyClaimT &claim,
                          std::chrono::milliseconds timeout,
                          Callback<inner::KeyClaimReplyT> done) = 0;
    /// Sent a few times until it is acknowledged; then given up.
    virtual void recordKey(const inner::KeyOutcomeT &outcome) = 0;
};

} // namespace bergamot
