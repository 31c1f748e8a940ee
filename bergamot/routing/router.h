#pragma once

// Routes callers' requests to endpoints with the policies of this package. A pure state machine: events come in with
// the current time and actions go out. It has no sockets, threads or clocks; its owner does the I/O.
//
//     Router router({.instance = "entry-1", .domain = FailureDomainId("a")}, seed);
//     router.onView(table, now);
//     router.onRequest(request, now);
//     for (const Action &action : router.takeActions()) { ... }
//
// Each request ends in exactly one ForwardAction, ForwardStoredAction, RefuseAction or AbortStreamAction, unless its
// caller disconnects first.

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <unordered_map>

#include "bergamot/quota/token_granter.h"
#include "bergamot/routing/attempt_policy.h"
#include "bergamot/routing/crash_quarantine.h"
#include "bergamot/routing/request.h"
#include "bergamot/routing/retry_budget.h"
#include "bergamot/routing/routing_table.h"
#include "bergamot/routing/target_state.h"

namespace bergamot
{

struct RouterOptions
{
    TargetOptions target;
    AttemptTimeoutOptions timeouts;
    BackoffOptions backoff;
    QuarantineOptions quarantine;
    std::uint32_t maxRetries = 3; // maximum number of retries of one request
    // Whether the HTTP client sends a request again by itself when a pooled connection breaks. A failure to connect on
    // a pooled connection then does not prove that the request was never sent.
    bool clientResendsOnPooled = true;
    Duration maxResumptionWait = std::chrono::seconds(1); // for an endpoint of the stream's software version
    Duration deadlineMargin = std::chrono::milliseconds(5); // reserved for delivering the answer to the caller
    Duration minStall = std::chrono::milliseconds(500); // an earlier timeout is no failure of the endpoint
};

/// Requests of one target wait because its endpoints are limited; each needs a token of one of them.
struct TokenRequest
{
    std::uint64_t id = 0;
    std::vector<EndpointProcess> endpoints;
    std::array<std::uint32_t, quota::TokenUses> wanted{}; // by use
};

/// Not thread-safe.
class Router
{
public:
    Router(RouterOptions options, std::uint64_t seed);
    ~Router();
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    void onView(const RoutingTable &table, TimePoint now);
    void onRequest(CallerRequest request, TimePoint now);
    void onKeyState(RequestId id, KeyState state, Duration retryAfter, TimePoint now);
    /// The attempt's answer is being streamed to the caller; no other attempt's answer can be used from then on, so the
    /// others are cancelled.
    void onStreamStarted(AttemptId id, TimePoint now);
    void onAnswered(AttemptId id, const AttemptAnswer &answer, TimePoint now);
    void onFailed(AttemptId id, const AttemptFailure &failure, TimePoint now);
    /// The caller has disconnected: its attempts are cancelled and no answer is produced.
    void onCallerDisconnected(RequestId id, TimePoint now);
    /// New requests are refused as not run from now on; requests that were accepted finish.
    void stopAccepting();
    /// As `stopAccepting`, and every request that was accepted ends now: one that was not sent is refused as not run,
    /// any other as one that may have run.
    void stop(TimePoint now);
    /// While this instance is cut off from the endpoints, requests are refused as not sent; those that were sent go on.
    void setCutOff(bool cutOff, TimePoint now);
    /// From now on requests whose work is known go where they are expected to be complete first, whatever the domain.
    void setPlacesByCompletion(bool places);
    /// An endpoint has reported its load in an answer.
    void onLoadReport(const EndpointId &endpoint, const cost::LoadReport &report, TimePoint now);
    /// Requests of class `Batch` that may be in flight at the target's endpoints, while `waiting` wait that take `work`
    /// each.
    std::size_t batchRoom(const std::string &target, std::size_t waiting, Duration work, TimePoint now);
    /// Another instance has told what it knows of an endpoint.
    void onOutlookTold(const cost::SharedOutlook &told, TimePoint now);
    /// What this instance itself knows of the endpoints of which it has heard since `after`.
    std::vector<cost::SharedOutlook> outlooks(TimePoint after, TimePoint now) const;
    /// The process of the endpoint was alive at `aliveAt`, so it had not crashed before then.
    void onHeartbeat(const EndpointProcess &process, TimePoint aliveAt, TimePoint now);
    /// Reports of other instances on requests that crash endpoints.
    void onCrashReports(const std::vector<CrashReport> &reports, TimePoint now);
    /// Runs timers and dispatches waiting requests; to be called every few milliseconds.
    void tick(TimePoint now);

    Actions takeActions();
    /// Tokens to request now; each request is answered by `onTokens`. At most one per target is open.
    std::vector<TokenRequest> takeTokenRequests(TimePoint now);
    /// The gate knows the granted tokens. Requests that get none are refused and return at the given times.
    void onTokens(std::uint64_t id, const std::array<quota::ReturnTimes, quota::TokenUses> &returns, TimePoint now);
    /// What this instance has learned about requests that crash endpoints, to send to all other instances.
    std::vector<CrashReport> takeCrashReports(TimePoint now);

    /// Requests that have no final answer yet.
    std::size_t pending() const;
    std::size_t queued() const;
    std::uint64_t retries() const;
    std::uint64_t hedges() const;

private:
    enum class Stage {
        AwaitingKey,
        Queued,
        Quarantined, // waits for an endpoint to run on alone
        Running,
        AwaitingRetry,
    };

    struct Pending
    {
        CallerRequest request;
        TargetState *target = nullptr;
        Stage stage = Stage::Queued;
        RequestOutcome outcome = RequestOutcome::RefusedNotRun;
        bool keyClaimed = false;
        bool streamStarted = false;
        bool timedOut = false;
        std::uint32_t retries = 0;
        std::uint32_t dispatches = 0;
        Duration retryAfter{};
        std::vector<AttemptId> attempts; // in flight
        std::vector<std::size_t> tried; // slots of the target's pool
    };

    struct Attempt
    {
        RequestId request = 0;
        TargetState *target = nullptr;
        std::size_t slot = 0;
        std::uint64_t incarnation = 0; // of the endpoint
        TimePoint dispatchedAt{};
        Duration timeout{};
        bool endsEarly = false; // the timeout is short because a retry may follow
        Connection connection = Connection::Pooled;
        bool mayReuse = false; // the connection may have been used before
        RunMode mode = RunMode::Shared;
    };

    enum class TimerKind {
        Deadline,
        Retry,
        Hedge,
        ResumptionWait,
    };

    struct Timer
    {
        TimePoint at;
        RequestId request = 0;
        TimerKind kind = TimerKind::Deadline;

        bool operator>(const Timer &other) const
        {
            return at > other.at;
        }
    };

    struct Refusal
    {
        RefusalReason reason = RefusalReason::NoEndpoint;
        std::string message;
        Duration retryAfter{};
    };

    // router.cpp: admission and refusals
    void admit(Pending &pending, TimePoint now);
    void enqueue(Pending &pending, TimePoint now);
    void refuse(Pending &pending, const Refusal &refusal);
    void refuseQueue(TargetState &target);
    /// Refuses a request that resumes a stream: no endpoint of its software version can run it.
    void refuseResumption(Pending &pending);
    /// Admits a request that only endpoints of one software version may run. It does not wait in the queue, where it
    /// would hold up the requests behind it.
    void admitResumption(Pending &pending, TimePoint now);
    void finish(RequestId id);
    Pending *find(RequestId id);
    Duration retryAfter(const TargetState &target, Duration expectedWait);

    // router_dispatch.cpp: dispatch, quarantine and timers
    bool tryDispatch(Pending &pending, TimePoint now);
    void dispatch(Pending &pending, std::size_t slot, Connection connection, RunMode mode, TimePoint now);
    /// Whether an attempt of the request that times out can be followed by a retry.
    bool mayRetryAfterTimeout(const Pending &pending) const;
    void dispatchQueued(TargetState &target, TimePoint now);
    void dispatchResumptions(TargetState &target, TimePoint now);
    static PickRequest pickRequest(const Pending &pending);
    void dispatchQuarantined(TargetState &target, TimePoint now);
    void quarantine(Pending &pending, TimePoint now);
    QuarantineStatus quarantineStatus(const CallerRequest &request, TimePoint now) const;
    /// Decides again on the waiting suspects, after what is known about them has changed.
    void reviewSuspects(TimePoint now);
    /// Whether a request with the fingerprint has an endpoint reserved.
    bool hasReservation(const TargetState &target, std::uint64_t fingerprint);
    void refuseSuspect(Pending &pending, TimePoint now);
    void hedge(Pending &pending, TimePoint now);

    // router_tokens.cpp: requests to endpoints that have named a limit
    std::vector<RequestId> requestsWithoutToken(const TargetState &target, TimePoint now);
    /// The reserved endpoint of a waiting suspect that the gate does not admit; null if there is none.
    QuarantineReservation *gatedReservation(TargetState &target, RequestId id, TimePoint now);
    void refuseForLimit(Pending &pending, Duration retryAfter, TimePoint now);
    void runTimers(TimePoint now);
    void deadlinePassed(Pending &pending, TimePoint now);
    /// Cancels the attempts of a request and refuses it.
    void endUnanswered(Pending &pending, RefusalReason reason, const std::string &message, TimePoint now);

    // router_outcome.cpp: answers and failures
    std::optional<Attempt> takeAttempt(AttemptId id);
    /// Cancels the attempts of a request, but for `kept` (0: none).
    void cancelAttempts(Pending &pending, TimePoint now, AttemptId kept = 0);
    void retryOrGiveUp(Pending &pending, FailureStep step, const Attempt &attempt, TimePoint now);
    void giveUp(Pending &pending, RefusalReason reason);
    void recordFailure(const Attempt &attempt, const AttemptFailure &failure, const Pending &pending, TimePoint now);
    void recordKey(const Pending &pending, RequestOutcome outcome, AttemptId attempt);

    RouterOptions m_options;
    std::mt19937_64 m_random;
    CrashQuarantine m_quarantine;
    std::unordered_map<std::string, std::unique_ptr<TargetState>> m_targets;
    std::unordered_map<RequestId, Pending> m_pending;
    std::unordered_map<AttemptId, Attempt> m_attempts;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;
    Actions m_actions;
    AttemptId m_lastAttempt = 0;
    std::uint64_t m_lastTokenRequest = 0;
    TimePoint m_reviewAt{};
    bool m_accepting = true;
    bool m_cutOff = false;
    bool m_placesByCompletion = false;
    std::uint64_t m_retries = 0;
    std::uint64_t m_hedges = 0;
};

} // namespace bergamot
