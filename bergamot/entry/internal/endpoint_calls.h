#pragma once

// The attempts in flight: builds the request to an endpoint, sends it, and keeps the answer until the router decides
// what happens to it.

#include <functional>
#include <memory>
#include <unordered_map>

#include "bergamot/entry/call_parser.h"
#include "bergamot/entry/internal/stream_relay.h"
#include "bergamot/http/client.h"

namespace bergamot::entry_internal
{

/// To be used on one thread; `Events` are called on other threads.
class EndpointCalls
{
public:
    struct Events
    {
        std::function<void(AttemptId)> started;
        std::function<void(RequestId, CallerLoss)> callerLost;
        std::function<void(AttemptId, CallOutcome)> done;
    };

    EndpointCalls(std::string idPrefix, Events events);

    void dispatch(const DispatchAction &action,
                  const CallerCall &call,
                  const std::shared_ptr<SharedCallerStream> &callerStream);
    /// Cancels an attempt; an engine also gets a `/cancel` request, so that it stops generating.
    void cancel(AttemptId attempt);
    void dropConnections(const Address &address);

    /// Stores a received answer until `takeAnswer`.
    void storeAnswer(AttemptId attempt, HttpResponse answer);
    /// The attempt's stored answer, or null if there is no such attempt.
    const HttpResponse *peekAnswer(AttemptId attempt) const;
    /// Removes the attempt and returns its answer, whose body is empty if it was streamed.
    HttpResponse takeAnswer(AttemptId attempt);
    /// Whether the attempt's answer was streamed to the caller.
    bool wasStreamed(AttemptId attempt) const;
    /// Removes an attempt that ended without a usable answer.
    void discard(AttemptId attempt);

private:
    struct Attempt
    {
        Address address;
        std::string engineRequestId; // its `request_id` at the engine; empty for a service
        std::shared_ptr<PendingCall> pending;
        std::shared_ptr<StreamRelay> relay;
        HttpResponse answer;
    };

    std::string m_idPrefix;
    Events m_events;
    HttpClient m_client;
    std::unordered_map<AttemptId, Attempt> m_attempts;
};

} // namespace bergamot::entry_internal
