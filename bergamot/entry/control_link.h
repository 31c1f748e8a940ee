#pragma once

// The interface of an entry process to the control process of its instance: fetching views and claiming idempotency
// keys. Views can also be fetched from the control processes of other instances. The interface is small, so that the
// data path can be tested without a control process.

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

/// The control process to fetch a view from: the one at this address, or the local one if empty.
using ViewSource = std::optional<Address>;

/// A request for a view, which also reports suspects.
struct ViewQuery
{
    ViewSource source;
    std::uint64_t knownHash = 0; // hash of the view that the sender already has; 0: none
    std::vector<SuspectReport> suspects; // new reports on requests that crash endpoints
};

/// The answer to a request for a view.
struct ViewUpdate
{
    std::uint64_t hash = 0;
    std::shared_ptr<const inner::ViewT> view; // null: the view has the known hash
    std::optional<Duration> age = Duration{}; // time since its state was last complete; none: it never was
};

/// Thread-safe. Callbacks run on any thread.
class ControlLink
{
public:
    virtual ~ControlLink() = default;
    /// Fetches the newest view of the source, or no view if its hash is the known one.
    virtual void fetchView(const ViewQuery &query, Callback<ViewUpdate> done) = 0;
    /// Claims an idempotency key. After an error it is unknown whether the claim was recorded.
    virtual void claimKey(const inner::KeyClaimT &claim,
                          std::chrono::milliseconds timeout,
                          Callback<inner::KeyClaimReplyT> done) = 0;
    /// Reports how a claimed key's run ended. It is sent again a few times if it is not acknowledged, then dropped.
    virtual void recordKey(const inner::KeyOutcomeT &outcome) = 0;
};

} // namespace bergamot
