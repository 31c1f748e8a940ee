#pragma once

// Claims of idempotency keys that are under way, and what their owner said.

#include <functional>
#include <memory>
#include <unordered_map>

#include "bergamot/entry/call_parser.h"
#include "bergamot/entry/control_link.h"

namespace bergamot::entry_internal
{

struct KeyVerdictFacts
{
    KeyState state = KeyState::Unavailable;
    Duration retryAfter{};
};

/// Thread-confined, but for the callbacks given to `claim`.
class KeyClaims
{
public:
    using Replied = std::function<void(RequestId, Result<inner::KeyClaimReplyT>)>;

    /// Ids of claims start with `idPrefix`, which differs for each start of the process.
    KeyClaims(std::shared_ptr<ControlLink> control, std::string idPrefix);

    void claim(RequestId request, const CallerCall &call, Duration deadlineLeft, const Replied &replied);
    /// Reads the owner's reply. A claim whose reply was lost is given back, in case it was recorded.
    KeyVerdictFacts take(RequestId request, const Result<inner::KeyClaimReplyT> &reply);
    inner::KeyClaimReplyT takeStored(RequestId request);
    /// Tells the owner how the run ended; `answer` is null if it is not known.
    void record(const RecordKeyAction &action, const HttpResponse *answer);

private:
    struct Claim
    {
        std::string key;
        std::string id;
    };

    void giveBack(const Claim &claim);

    std::shared_ptr<ControlLink> m_control;
    std::string m_idPrefix;
    std::unordered_map<RequestId, Claim> m_claims;
    std::unordered_map<RequestId, inner::KeyClaimReplyT> m_stored;
};

} // namespace bergamot::entry_internal
