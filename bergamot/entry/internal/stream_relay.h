#pragma once

// Forwards an endpoint's stream to the caller as it arrives. Only one attempt of a request gets the caller's stream. An
// answer with a status other than 200 is collected instead, so that it can be delivered as a whole.

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include "bergamot/http/message.h"
#include "bergamot/routing/request.h"

namespace bergamot::entry_internal
{

/// The caller's side of one request, shared by the request's attempts. Thread-safe.
class SharedCallerStream
{
public:
    explicit SharedCallerStream(ResponderPtr responder)
        : m_responder(std::move(responder))
    { }

    /// Reserves the stream for the first attempt that calls this. True for that attempt, also in later calls.
    bool claim(AttemptId attempt)
    {
        AttemptId owner = 0;
        return m_owner.compare_exchange_strong(owner, attempt) || owner == attempt;
    }

    Responder &responder()
    {
        return *m_responder;
    }

private:
    ResponderPtr m_responder;
    std::atomic<AttemptId> m_owner{0};
};

/// Why nothing more can be sent to a caller.
enum class CallerLoss {
    Disconnected, // its connection is closed
    TooSlow, // it did not read fast enough; its stream was aborted
};

/// Receives the stream of one attempt. Calls must not overlap.
class StreamRelay
{
public:
    struct Events
    {
        std::function<void()> started;
        std::function<void(CallerLoss)> callerLost;
    };

    StreamRelay(AttemptId attempt, std::shared_ptr<SharedCallerStream> callerStream, Events events);

    void onHead(const HttpResponse &head);
    /// False: the call should be cancelled, no further bytes are needed.
    bool onChunk(std::string_view bytes);
    /// The collected body of an answer that was not streamed; to be called after the call has ended.
    std::string takeBody();
    /// Whether the answer is being streamed to the caller.
    bool streaming() const;

private:
    AttemptId m_attempt;
    std::shared_ptr<SharedCallerStream> m_callerStream;
    Events m_events;
    bool m_streaming = false;
    bool m_ownedByOtherAttempt = false; // another attempt has the caller's stream
    std::string m_body;
};

} // namespace bergamot::entry_internal
