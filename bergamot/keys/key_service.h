#pragma once

// Claims idempotency keys on the log for the entries of a failure domain and keeps the answers that requests got. No
// request with a key is dispatched before its claim is known to be the first one in the log.
//
//     KeyService service({.writer = "instance-3", .incarnation = incarnation, .stream = keysStream(domain)},
//                        loop, clock, appender, fold, caughtUp);
//     service.claim(claim, [](Result<inner::KeyClaimReplyT> reply) { ... });
//     service.outcome(outcome, [](Result<inner::KeyOutcomeReplyT> reply) { ... });
//
// What an entry may do with a verdict:
// - Granted: dispatch, once, under this claim id, and report the outcome whatever it is.
// - Finished: answer as the first run was answered. Status 502 with a message: the first run may have happened and its
//   answer is lost.
// - InProgress: answer "not run" with Retry-After; another request with the key is running.
// - Mismatch: refuse; the key was used with another body.
// - Refused: answer "not run" with Retry-After. A grant that arrives after the entry stopped waiting is not used; if
//   it may have been given, the entry reports an outcome with `ran` false.

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bergamot/base/clock.h"
#include "bergamot/base/event_loop.h"
#include "bergamot/journal/appender.h"
#include "bergamot/keys/key_fold.h"

namespace bergamot
{

struct KeyServiceOptions
{
    std::string writer; // the appender's
    std::uint64_t incarnation = 0; // the appender's
    std::string stream;
    std::chrono::milliseconds claimTimeout{2000}; // until a claim that is not seen on the log is refused
    std::chrono::milliseconds runLimit{60'000}; // a request that claimed a key is over by then
    std::chrono::milliseconds retryAfter{1000}; // told with InProgress and Refused
    std::chrono::milliseconds outcomeRetry{1000}; // between appends of an outcome that the log did not take
    std::size_t maxOutcomes = 4096; // that wait for the log
};

/// Confined to the thread of the loop.
class KeyService
{
public:
    using ClaimDone = Callback<inner::KeyClaimReplyT>;
    using OutcomeDone = Callback<inner::KeyOutcomeReplyT>;

    KeyService(KeyServiceOptions options,
               EventLoop &loop,
               Clock &clock,
               Appender &appender,
               const KeyFold &fold,
               std::function<bool()> caughtUp);
    ~KeyService();
    KeyService(const KeyService &) = delete;
    KeyService &operator=(const KeyService &) = delete;

    /// `done` gets a verdict, never an error.
    void claim(const inner::KeyClaimT &claim, ClaimDone done);
    /// `done` gets `recorded` true once the log has the outcome. If false, the service keeps trying.
    void outcome(const inner::KeyOutcomeT &outcome, OutcomeDone done);
    /// The fold has advanced.
    void onApplied();
    void tick();

private:
    struct Waiter
    {
        inner::KeyClaimT claim;
        ClaimDone done;
    };

    struct PendingClaim
    {
        std::string claimId;
        std::vector<Waiter> waiters;
        TimePoint deadline;
        Offset landed = 0; // 0: not known yet
    };

    struct PendingOutcome
    {
        inner::KeyOutcomeT outcome;
        OutcomeDone done; // empty once it was called
        TimePoint nextTry;
        bool underway = false;
        Offset landed = 0;
    };

    /// A claim that was refused though its record may still reach the log.
    struct Abandoned
    {
        std::string key;
        bool byEntry = false; // the entry says that it did not run, whoever granted it
        TimePoint until;
    };

    void startClaim(const inner::KeyClaimT &claim, ClaimDone done);
    void claimAppended(const std::string &key, const std::string &claimId, const Result<Offset> &offset);
    void settleClaims();
    void refuseClaim(std::map<std::string, PendingClaim>::iterator pending, const std::string &why, bool mayLand);
    inner::KeyClaimReplyT verdict(const KeyEntry &entry, const inner::KeyClaimT &claim);
    inner::KeyClaimReplyT verdictWhileClaimed(const KeyEntry &entry, const inner::KeyClaimT &claim);
    inner::KeyClaimReplyT refusal(const std::string &why) const;
    bool grantedHere(const KeyEntry &entry) const;
    /// While the log is in doubt, one claim at a time finds out whether it takes records again.
    bool mayAskTheLog() const;

    void enqueueOutcome(const inner::KeyOutcomeT &outcome, OutcomeDone done);
    void appendOutcome(const std::string &claimId, PendingOutcome &pending);
    void outcomeAppended(const std::string &claimId, const Result<Offset> &offset);
    void settleOutcomes();
    void freeAbandoned();
    std::chrono::milliseconds writerClock() const;

    const KeyServiceOptions m_options;
    EventLoop &m_loop;
    Clock &m_clock;
    Appender &m_appender;
    const KeyFold &m_fold;
    const std::function<bool()> m_caughtUp;
    std::map<std::string, PendingClaim> m_claims; // by key
    bool m_logInDoubt = false; // the newest claim was not seen to land
    std::map<std::string, PendingOutcome> m_outcomes; // by claim id
    std::map<std::string, Abandoned> m_abandoned; // by claim id
    std::map<std::string, TimePoint> m_seenClaimed; // by claim id of others' runs
    std::shared_ptr<KeyService *> m_self; // callbacks that outlive the service find it empty
};

} // namespace bergamot
