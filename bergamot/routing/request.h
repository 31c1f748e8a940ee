#pragma once

// The events that the router takes and the actions that it gives. Bodies stay with the shell, which finds them by
// `RequestId` and `AttemptId`.

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

/// What the decisions need to know of a caller's request.
struct CallerRequest
{
    RequestId id = 0; // unique within the process
    std::string target; // as `serviceTarget` or `modelTarget` names it
    TrafficClass trafficClass = TrafficClass::Interactive;
    TimePoint deadline{};
    bool repeatable = false; // running it twice does no harm
    bool streaming = false;
    std::string key; // idempotency key, or empty
    std::uint64_t fingerprint = 0;
    std::uint64_t prefix = 0; // hash of the prompt's beginning; 0: no affinity
    double work = 1; // expected size, in units of the target's smallest request
    std::uint32_t mostAttempts = std::numeric_limits<std::uint32_t>::max(); // endpoints that it may be sent to
};

/// Why a request was refused; a label of metrics and logs.
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
};

std::string_view refusalReasonName(RefusalReason reason);

/// What the owner of an idempotency key says.
enum class KeyState {
    Granted, // run it
    Finished, // it ran; the shell has the first run's answer
    InProgress, // another run has it
    Mismatch, // the key was used with another body
    Unavailable, // nothing can be proved now
};

struct AttemptAnswer
{
    int status = 200;
    bool leaving = false; // the endpoint says that it is leaving
    bool notRun = false; // the endpoint says that it did not run the request
    Duration retryAfter{}; // as the endpoint asks; zero: it does not
};

struct AttemptFailure
{
    // Counts for the request only on a fresh connection: a pooled one may have broken under it before the next could
    // not be opened.
    DeliveryProof proof = DeliveryProof::MaybeRan;
    bool timedOut = false;
};

enum class Connection {
    Pooled, // any open one
    Fresh, // one that was never used
};

struct DispatchAction
{
    RequestId request = 0;
    AttemptId attempt = 0;
    EndpointId endpoint;
    Address address;
    Connection connection = Connection::Pooled;
    Duration timeout{}; // for the whole attempt; between bytes for a stream
    Duration deadlineLeft{}; // to pass on to the endpoint
};

/// Hand the attempt's answer to the caller.
struct ForwardAction
{
    RequestId request = 0;
    AttemptId attempt = 0;
};

/// Hand the stored answer of the key's first run to the caller.
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

/// End the stream to the caller so that it is seen as broken.
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

/// Tell the key's owner how the run ended; `attempt` names the answer if it is known.
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
