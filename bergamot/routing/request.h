#pragma once

// The input events and the output actions of the router. Request and answer bodies stay in the I/O layer around the
// router, which finds them by `RequestId` and `AttemptId`.

#include <cstdint>
#include <limits>
#include <string>
#include <variant>
#include <vector>

#include "bergamot/base/address.h"
#include "bergamot/base/clock.h"
#include "bergamot/base/ids.h"
#include "bergamot/routing/outcome.h"

namespace bergamot
{

using RequestId = std::uint64_t;
using AttemptId = std::uint64_t;

/// The properties of a caller's request that routing depends on.
struct CallerRequest
{
    RequestId id = 0; // unique within the process
    std::string target; // as `serviceTarget` or `modelTarget` names it
    TrafficClass trafficClass = TrafficClass::Interactive;
    TimePoint deadline{};
    bool repeatable = false; // the request may run more than once
    bool streaming = false;
    std::string key; // idempotency key, or empty
    std::uint64_t fingerprint = 0;
    std::uint64_t prefix = 0; // hash of the prompt's prefix; 0: no affinity
    double work = 1; // expected size, in units of the target's smallest request
    Duration usualWork{}; // time that it takes at an idle endpoint of usual speed; zero: not known
    Duration tailWork{}; // few requests that look like it take longer; zero: not known
    Duration queuedWork{}; // the same of a request of this target; zero: not known
    std::uint32_t mostAttempts = std::numeric_limits<std::uint32_t>::max(); // maximum number of dispatches
    std::string softwareVersion; // of the endpoints that may run it, as it resumes a stream of theirs; empty: of any
    bool beginsStream = false; // the answer is a stream that the caller may resume
    std::string tenant; // shares the queue with others; empty: none
    bool owed = false; // sent again until it is answered; never held or refused because endpoints crashed under it
};

/// Why a request was refused; its name is a label in metrics and logs.
enum class RefusalReason {
    UnknownTarget,
    ShuttingDown,
    QueueFull,
    DeadlineTooShort,
    NoEndpoint,
    RetriesExhausted,
    KeyUnavailable,
    KeyInProgress,
    KeyMismatch,
    CrashSuspect,
    AttemptFailed,
    DeadlinePassed,
    NoSuchSoftware, // no endpoint of the software version that began the stream can resume it now
    LimitReached, // the endpoints take no more requests a second from all instances together
};

std::string_view refusalReasonName(RefusalReason reason);

/// The state of an idempotency key as reported by the key's owner, or `Unavailable` without a reply.
enum class KeyState {
    Granted, // the request may run
    Finished, // the request ran; the I/O layer has the answer of the first run
    InProgress, // another request with the key is running
    Mismatch, // the key was used with another request
    Unavailable, // the owner cannot determine the state now
};

struct AttemptAnswer
{
    int status = 200;
    bool leaving = false; // the endpoint reports that it is leaving
    bool notRun = false; // the endpoint reports that it did not run the request
    Duration retryAfter{}; // as the endpoint requested; zero if it did not
};

struct AttemptFailure
{
    // Not used for a pooled connection with `RouterOptions::clientResendsOnPooled`: the request may have been sent and
    // the connection broken, before a second connection could not be opened.
    DeliveryProof proof = DeliveryProof::MaybeRan;
    bool timedOut = false;
};

enum class Connection {
    Pooled, // any open connection, or a new one
    Fresh, // a new connection
};

struct DispatchAction
{
    RequestId request = 0;
    AttemptId attempt = 0;
    EndpointId endpoint;
    std::uint64_t incarnation = 0; // of the endpoint; 0: not known
    std::string softwareVersion; // of the endpoint; empty: not known
    Address address;
    Connection connection = Connection::Pooled;
    Duration timeout{}; // of the whole attempt, or between two chunks of a stream
    Duration deadlineLeft{}; // to pass on to the endpoint
};

/// Deliver the attempt's answer to the caller.
struct ForwardAction
{
    RequestId request = 0;
    AttemptId attempt = 0;
};

/// Deliver the stored answer of the first run with the same key to the caller.
struct ForwardStoredAction
{
    RequestId request = 0;
};

struct RefuseAction
{
    RequestId request = 0;
    RequestOutcome outcome = RequestOutcome::RefusedNotRun;
    RefusalReason reason = RefusalReason::NoEndpoint;
    int status = 503;
    std::string message;
    Duration retryAfter{};
};

/// End the stream to the caller in such a way that the caller detects it as incomplete.
struct AbortStreamAction
{
    RequestId request = 0;
};

struct CancelAction
{
    AttemptId attempt = 0;
};

struct DropConnectionsAction
{
    Address address;
};

struct ClaimKeyAction
{
    RequestId request = 0;
};

/// Report the outcome of the run to the key's owner; `attempt` identifies the answer if there is one, else 0.
struct RecordKeyAction
{
    RequestId request = 0;
    RequestOutcome outcome = RequestOutcome::Answered;
    AttemptId attempt = 0;
};

using Action = std::variant<DispatchAction,
                            ForwardAction,
                            ForwardStoredAction,
                            RefuseAction,
                            AbortStreamAction,
                            CancelAction,
                            DropConnectionsAction,
                            ClaimKeyAction,
                            RecordKeyAction>;
using Actions = std::vector<Action>;

std::string serviceTarget(const ServiceId &service);
std::string modelTarget(const ModelId &model);

} // namespace bergamot
