#pragma once

// Claims of idempotency keys in progress, and the replies of the keys' owner.

#include <functional>
#include <memory>
#include <unordered_map>

#include "bergamot/entry/call_parser.h"
#include "bergamot/entry/control_link.h"

namespace bergamot::entry_internal
{

/// The outcome of a claim.
struct ClaimResult
{
    KeyState state = KeyState::Unavailable;
    Duration retryAfter{};
};

/// To be used on one thread; callbacks passed to `claim` run on any thread.
class KeyClaims
{
public:
    using ReplyCallback = std::function<void(RequestId, Result<inner::KeyClaimReplyT>)>;

    /// `idPrefix` starts the id of every claim and must differ between runs of the process.
    KeyClaims(std::shared_ptr<ControlLink> control, std::string idPrefix);

    void claim(RequestId request, const CallerCall &call, Duration deadlineLeft, const ReplyCallback &done);
    /// Applies the owner's reply. A claim whose reply was lost is released, because the owner may have recorded it.
    ClaimResult applyReply(RequestId request, const Result<inner::KeyClaimReplyT> &reply);
    /// Removes and returns the stored answer of a request whose key is `KeyState::Finished`.
    inner::KeyClaimReplyT takeStored(RequestId request);
    /// Reports the outcome of the run to the owner; `answer` is null if it is unknown.
    void record(const RecordKeyAction &action, const HttpResponse *answer);

private:
    struct Claim
    {
        std::string key;
        std::string id;
    };

    void release(const Claim &claim);

    std::shared_ptr<ControlLink> m_control;
    std::string m_idPrefix;
    std::unordered_map<RequestId, Claim> m_claims;
    std::unordered_map<RequestId, inner::KeyClaimReplyT> m_stored;
};

} // namespace bergamot::entry_internal
