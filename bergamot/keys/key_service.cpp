#include "bergamot/keys/key_service.h"

namespace bergamot
{

namespace
{

constexpr std::int32_t BadGatewayStatus = 502;
constexpr std::chrono::minutes AbandonedFor(10);

inner::KeyClaimReplyT reply(inner::KeyVerdict verdict, std::string message)
{
    inner::KeyClaimReplyT made;
    made.verdict = verdict;
    made.message = std::move(message);
    return made;
}

inner::KeyClaimReplyT
finished(std::int32_t status, const std::string &contentType, const std::string &body, bool omitted)
{
    inner::KeyClaimReplyT made = reply(inner::KeyVerdict::Finished, "");
    made.status = status;
    made.content_type = contentType;
    made.body = body;
    if (omitted) {
        made.message = "the first request ran; its answer was too large to keep";
    }
    return made;
}

inner::KeyClaimReplyT lost()
{
    inner::KeyClaimReplyT made = reply(inner::KeyVerdict::Finished,
                                       "the first request with this key may have run; its answer is lost and it is not"
                                       " sent again");
    made.status = BadGatewayStatus;
    return made;
}

} // namespace

KeyService::KeyService(KeyServiceOptions options,
                       EventLoop &loop,
                       Clock &clock,
                       Appender &appender,
                       const KeyFold &fold,
                       std::function<bool()> caughtUp)
    : m_options(std::move(options))
    , m_loop(loop)
    , m_clock(clock)
    , m_appender(appender)
    , m_fold(fold)
    , m_caughtUp(std::move(caughtUp))
    , m_self(std::make_shared<KeyService *>(this))
{ }

KeyService::~KeyService()
{
    *m_self = nullptr;
}

std::chrono::milliseconds KeyService::writerClock() const
{
    return std::chrono::floor<std::chrono::milliseconds>(m_clock.now().time_since_epoch());
}

bool KeyService::grantedHere(const KeyEntry &entry) const
{
    return entry.claimRecord.writer == m_options.writer && entry.claimRecord.incarnation == m_options.incarnation;
}

inner::KeyClaimReplyT KeyService::refusal(const std::string &why) const
{
    inner::KeyClaimReplyT made = reply(inner::KeyVerdict::Refused, "not run: " + why);
    made.retry_after_ms = static_cast<std::uint64_t>(m_options.retryAfter.count());
    return made;
}

void KeyService::claim(const inner::KeyClaimT &claim, ClaimDone done)
{
    const KeyEntry *entry = m_fold.find(claim.key);
    const auto pending = m_claims.find(claim.key);
    if (m_abandoned.contains(claim.claim_id)) {
        done(refusal("this claim was refused before"));
    } else if (entry != nullptr) {
        done(verdict(*entry, claim));
    } else if (pending != m_claims.end()) {
        pending->second.waiters.push_back({claim, std::move(done)});
    } else if (!m_caughtUp()) {
        done(refusal("this instance does not have all claims of the log yet"));
    } else if (!mayAskTheLog()) {
        done(refusal("the log takes no claims now"));
    } else if (m_fold.full()) {
        done(refusal("too many keys are remembered"));
    } else {
        startClaim(claim, std::move(done));
    }
}

bool KeyService::mayAskTheLog() const
{
    return !m_logInDoubt || m_claims.empty();
}

void KeyService::startClaim(const inner::KeyClaimT &claim, ClaimDone done)
{
    PendingClaim &pending = m_claims[claim.key];
    pending.claimId = claim.claim_id;
    pending.deadline = m_clock.now() + m_options.claimTimeout;
    pending.waiters.push_back({claim, std::move(done)});
    const auto appended =
        [self = m_self, poster = m_loop.poster(), key = claim.key, id = claim.claim_id](Result<Offset> offset) {
            poster.post([self, key, id, offset = std::move(offset)] {
                if (*self != nullptr) {
                    (*self)->claimAppended(key, id, offset);
                }
            });
        };
    m_appender.append(m_options.stream, std::string(KeyClaimKind), keyClaimPayload(claim, writerClock()), appended);
}

void KeyService::claimAppended(const std::string &key, const std::string &claimId, const Result<Offset> &offset)
{
    const auto pending = m_claims.find(key);
    m_logInDoubt = m_logInDoubt && !offset;
    if (pending == m_claims.end() || pending->second.claimId != claimId) {
        return;
    }
    m_logInDoubt = !offset;
    if (offset) {
        pending->second.landed = *offset;
        settleClaims();
        return;
    }
    const ErrorCode code = offset.error().code;
    const bool mayLand = code == ErrorCode::Unknown || code == ErrorCode::DeadlineExceeded;
    refuseClaim(pending, "the log did not take the claim: " + offset.error().message, mayLand);
}

void KeyService::refuseClaim(std::map<std::string, PendingClaim>::iterator pending,
                             const std::string &why,
                             bool mayLand)
{
    if (mayLand) {
        m_abandoned[pending->second.claimId] = {pending->first, false, m_clock.now() + AbandonedFor};
    }
    const std::vector<Waiter> waiters = std::move(pending->second.waiters);
    m_claims.erase(pending);
    for (const Waiter &waiter : waiters) {
        waiter.done(refusal(why));
    }
}

void KeyService::settleClaims()
{
    for (auto next = m_claims.begin(); next != m_claims.end();) {
        const auto pending = next++;
        const KeyEntry *entry = m_fold.find(pending->first);
        if (entry != nullptr) {
            const std::vector<Waiter> waiters = std::move(pending->second.waiters);
            m_claims.erase(pending);
            for (const Waiter &waiter : waiters) {
                waiter.done(verdict(*entry, waiter.claim));
            }
        } else if (pending->second.landed != 0 && pending->second.landed <= m_fold.applied()) {
            refuseClaim(pending, "the claim was not accepted", false);
        }
    }
}

inner::KeyClaimReplyT KeyService::verdict(const KeyEntry &entry, const inner::KeyClaimT &claim)
{
    if (entry.digest != claim.body_digest) {
        return reply(inner::KeyVerdict::Mismatch, "this idempotency key was used with another body; choose a new key");
    }
    switch (entry.state) {
    case KeyState::Finished:
        return finished(entry.status, entry.contentType, entry.body, entry.bodyOmitted);
    case KeyState::Lost:
        return lost();
    case KeyState::Claimed:
        break;
    }
    return verdictWhileClaimed(entry, claim);
}

inner::KeyClaimReplyT KeyService::verdictWhileClaimed(const KeyEntry &entry, const inner::KeyClaimT &claim)
{
    const auto outcome = m_outcomes.find(entry.claimId);
    if (outcome != m_outcomes.end() && outcome->second.outcome.ran) {
        const inner::KeyOutcomeT &known = outcome->second.outcome;
        return known.known ? finished(known.status, known.content_type, known.body, false) : lost();
    }
    if (entry.claimId == claim.claim_id) {
        const bool granted = grantedHere(entry) && outcome == m_outcomes.end();
        return granted ? reply(inner::KeyVerdict::Granted, "") : refusal("another instance took this claim to the log");
    }
    const TimePoint now = m_clock.now();
    const auto [seen, isNew] = m_seenClaimed.try_emplace(entry.claimId, now);
    if (now - seen->second >= m_options.runLimit) {
        return lost();
    }
    inner::KeyClaimReplyT made = reply(inner::KeyVerdict::InProgress, "a request with this key is running");
    made.retry_after_ms = static_cast<std::uint64_t>(m_options.retryAfter.count());
    return made;
}

void KeyService::outcome(const inner::KeyOutcomeT &outcome, OutcomeDone done)
{
    const KeyEntry *entry = m_fold.find(outcome.key);
    inner::KeyOutcomeReplyT reply;
    if (entry != nullptr && entry->claimId == outcome.claim_id && entry->state != KeyState::Claimed) {
        reply.recorded = true;
        done(reply);
    } else if (!outcome.ran && (entry == nullptr || entry->claimId != outcome.claim_id)) {
        // The claim may still reach the log; it is freed when it does.
        m_abandoned[outcome.claim_id] = {outcome.key, true, m_clock.now() + AbandonedFor};
        reply.recorded = true;
        done(reply);
    } else if (m_outcomes.contains(outcome.claim_id) || m_outcomes.size() >= m_options.maxOutcomes) {
        done(reply);
    } else {
        enqueueOutcome(outcome, std::move(done));
    }
}

void KeyService::enqueueOutcome(const inner::KeyOutcomeT &outcome, OutcomeDone done)
{
    PendingOutcome &pending = m_outcomes[outcome.claim_id];
    pending.outcome = outcome;
    pending.done = std::move(done);
    appendOutcome(outcome.claim_id, pending);
}

void KeyService::appendOutcome(const std::string &claimId, PendingOutcome &pending)
{
    pending.underway = true;
    pending.landed = 0;
    const auto appended = [self = m_self, poster = m_loop.poster(), claimId](Result<Offset> offset) {
        poster.post([self, claimId, offset = std::move(offset)] {
            if (*self != nullptr) {
                (*self)->outcomeAppended(claimId, offset);
            }
        });
    };
    m_appender.append(
        m_options.stream, std::string(KeyOutcomeKind), keyOutcomePayload(pending.outcome, writerClock()), appended);
}

void KeyService::outcomeAppended(const std::string &claimId, const Result<Offset> &offset)
{
    const auto found = m_outcomes.find(claimId);
    if (found == m_outcomes.end()) {
        return;
    }
    PendingOutcome &pending = found->second;
    if (offset) {
        pending.landed = *offset;
        settleOutcomes();
        return;
    }
    pending.underway = false;
    pending.nextTry = m_clock.now() + m_options.outcomeRetry;
    if (const OutcomeDone done = std::exchange(pending.done, nullptr)) {
        done(inner::KeyOutcomeReplyT{});
    }
}

void KeyService::settleOutcomes()
{
    for (auto next = m_outcomes.begin(); next != m_outcomes.end();) {
        const auto found = next++;
        const PendingOutcome &pending = found->second;
        const KeyEntry *entry = m_fold.find(pending.outcome.key);
        const bool settled = entry != nullptr && entry->claimId == found->first && entry->state != KeyState::Claimed;
        const bool landed = pending.landed != 0 && pending.landed <= m_fold.applied();
        if (!settled && !landed) {
            continue;
        }
        const OutcomeDone done = pending.done;
        m_outcomes.erase(found);
        if (done) {
            inner::KeyOutcomeReplyT reply;
            reply.recorded = true;
            done(reply);
        }
    }
}

void KeyService::freeAbandoned()
{
    const TimePoint now = m_clock.now();
    std::erase_if(m_abandoned, [now](const auto &abandoned) {
        return abandoned.second.until <= now;
    });
    for (const auto &[claimId, abandoned] : m_abandoned) {
        const KeyEntry *entry = m_fold.find(abandoned.key);
        const bool landed = entry != nullptr && entry->claimId == claimId && entry->state == KeyState::Claimed;
        if (!landed || m_outcomes.contains(claimId) || (!abandoned.byEntry && !grantedHere(*entry))) {
            continue;
        }
        inner::KeyOutcomeT notRun;
        notRun.key = abandoned.key;
        notRun.claim_id = claimId;
        enqueueOutcome(notRun, nullptr);
    }
}

void KeyService::onApplied()
{
    settleClaims();
    settleOutcomes();
    freeAbandoned();
}

void KeyService::tick()
{
    const TimePoint now = m_clock.now();
    for (auto next = m_claims.begin(); next != m_claims.end();) {
        const auto pending = next++;
        if (pending->second.deadline <= now) {
            m_logInDoubt = true;
            refuseClaim(pending, "the log did not show the claim in time", true);
        }
    }
    for (auto &[claimId, pending] : m_outcomes) {
        if (!pending.underway && pending.nextTry <= now) {
            appendOutcome(claimId, pending);
        }
    }
    std::erase_if(m_seenClaimed, [this, now](const auto &seen) {
        return now - seen.second >= 10 * m_options.runLimit;
    });
    freeAbandoned();
}

} // namespace bergamot
