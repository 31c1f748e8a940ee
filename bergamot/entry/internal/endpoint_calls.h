#pragma once

// The attempts in flight: builds what goes to an endpoint, sends it, and keeps each answer until the router says what
// becomes of it.

#include <functional>
#include <memory>
#include <unordered_map>

#include "bergamot/entry/call_parser.h"
#include "bergamot/entry/internal/stream_relay.h"
#include "bergamot/http/client.h"

namespace bergamot::entry_internal
{

/// Thread-confined; `Events` come from other threads.
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

    void dispatch(const DispatchAction &action, const CallerCall &call, const std::shared_ptr<StreamGate> &gate);
    /// Ends an attempt; an engine is told to stop generating.
    void cancel(AttemptId attempt);
    void dropConnections(const Address &address);

    /// Keeps an answer that has come until `takeAnswer`.
    void keepAnswer(AttemptId attempt, HttpResponse answer);
    /// The attempt's answer, or null if there is none.
    const HttpResponse *peekAnswer(AttemptId attempt) const;
    /// The attempt's answer; an empty one if it was streamed.
    HttpResponse takeAnswer(AttemptId attempt);
    /// Whether the attempt's answer has gone to the caller as it came.
    bool streamed(AttemptId attempt) const;
    /// Forgets an attempt that has ended without an answer of use.
    void forget(AttemptId attempt);

private:
    struct Attempt
    {
        Address address;
        std::string engineRequest; // its id at the engine, or empty
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
