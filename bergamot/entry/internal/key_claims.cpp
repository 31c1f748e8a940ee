#include "bergamot/entry/internal/key_claims.h"

namespace bergamot::entry_internal
{

namespace
{

constexpr Duration MaxClaimTimeout = std::chrono::seconds(3);
// A claim may use at most half of the remaining time, so that the request has time to run.
constexpr int ClaimDeadlineDivisor = 2;
// Answers are stored in the platform's log; a longer one is not stored, and recorded as unknown.
constexpr std::size_t MaxStoredAnswerBytes = 16U << 10U;

KeyState stateOf(inner::KeyVerdict verdict)
{
    switch (verdict) {
    case inner::KeyVerdict::Granted:
        return KeyState::Granted;
    case inner::KeyVerdict::Finished:
        return KeyState::Finished;
    case inner::KeyVerdict::InProgress:
        return KeyState::InProgress;
    case inner::KeyVerdict::Mismatch:
        return KeyState::Mismatch;
    case inner::KeyVerdict::Refused:
        return KeyState::Unavailable;
    }
    return KeyState::Unavailable;
}

} // namespace

KeyClaims::KeyClaims(std::shared_ptr<ControlLink> control, std::string idPrefix)
    : m_control(std::move(control))
    , m_idPrefix(std::move(idPrefix))
{ }

void KeyClaims::claim(RequestId request, const CallerCall &call, Duration deadlineLeft, const ReplyCallback &done)
{
    const Claim &claim =
        m_claims.emplace(request, Claim{call.facts.key, m_idPrefix + std::to_string(request)}).first->second;
    inner::KeyClaimT frame;
    frame.key = claim.key;
    frame.body_digest = call.keyDigest;
    frame.claim_id = claim.id;
    const Duration timeoutLimit = std::min(deadlineLeft / ClaimDeadlineDivisor, MaxClaimTimeout);
    const auto timeout = std::chrono::ceil<std::chrono::milliseconds>(timeoutLimit);
    m_control->claimKey(frame, timeout, [request, done](Result<inner::KeyClaimReplyT> reply) {
        done(request, std::move(reply));
    });
}

ClaimResult KeyClaims::applyReply(RequestId request, const Result<inner::KeyClaimReplyT> &reply)
{
    const auto found = m_claims.find(request);
    if (found == m_claims.end()) {
        return {};
    }
    if (!reply) {
        release(found->second);
        m_claims.erase(found);
        return {.state = KeyState::Unavailable,
                .retryAfter = reply.error().retryAfter.value_or(std::chrono::milliseconds(0))};
    }
    const KeyState state = stateOf(reply->verdict);
    if (state == KeyState::Finished) {
        m_stored[request] = *reply;
    }
    if (state != KeyState::Granted) {
        m_claims.erase(found);
    }
    return {.state = state, .retryAfter = std::chrono::milliseconds(reply->retry_after_ms)};
}

inner::KeyClaimReplyT KeyClaims::takeStored(RequestId request)
{
    auto node = m_stored.extract(request);
    return node.empty() ? inner::KeyClaimReplyT() : std::move(node.mapped());
}

void KeyClaims::record(const RecordKeyAction &action, const HttpResponse *answer)
{
    const auto found = m_claims.find(action.request);
    if (found == m_claims.end()) {
        return;
    }
    const Claim claim = found->second;
    m_claims.erase(found);
    if (action.outcome == RequestOutcome::RefusedNotRun) {
        release(claim);
        return;
    }
    inner::KeyOutcomeT outcome;
    outcome.key = claim.key;
    outcome.claim_id = claim.id;
    outcome.ran = true;
    outcome.known = answer != nullptr && answer->body.size() <= MaxStoredAnswerBytes;
    if (outcome.known) {
        outcome.status = answer->status;
        outcome.content_type = answer->contentType;
        outcome.body = answer->body;
    }
    m_control->recordKey(outcome);
}

void KeyClaims::release(const Claim &claim)
{
    inner::KeyOutcomeT outcome;
    outcome.key = claim.key;
    outcome.claim_id = claim.id;
    m_control->recordKey(outcome);
}

} // namespace bergamot::entry_internal
