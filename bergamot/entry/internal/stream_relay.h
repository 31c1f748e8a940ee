#pragma once

// Hands an endpoint's stream to the caller as it arrives. One attempt of a request wins the caller's stream; an answer
// that is no success is collected instead, so that it can be handed over whole.

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include "bergamot/http/message.h"
#include "bergamot/routing/request.h"

namespace bergamot::entry_internal
{

/// The caller's side of one request; shared by its attempts. Thread-safe.
class StreamGate
{
public:
    explicit StreamGate(ResponderPtr responder)
        : m_responder(std::move(responder))
    { }

    /// True for the first attempt that asks, and for it again later.
    bool claim(AttemptId attempt)
    {
        AttemptId none = 0;
        return m_owner.compare_exchange_strong(none, attempt) || none == attempt;
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
    Gone, // its connection has ended
    TooSlow, // it did not take what was sent; its stream was aborted
};

/// Receives one attempt's stream; its calls come one after the other.
class StreamRelay
{
public:
    struct Events
    {
        std::function<void()> started;
        std::function<void(CallerLoss)> callerLost;
    };

    StreamRelay(AttemptId attempt, std::shared_ptr<StreamGate> gate, Events events);

    void head(const HttpResponse &head);
    /// False: nothing more is wanted.
    bool chunk(std::string_view bytes);
    /// What was collected of an answer that was not streamed; call it after the end.
    std::string takeBody();
    bool streaming() const;

private:
    AttemptId m_attempt;
    std::shared_ptr<StreamGate> m_gate;
    Events m_events;
    bool m_streaming = false;
    bool m_lost = false; // another attempt has the caller's stream
    std::string m_body;
};

} // namespace bergamot::entry_internal
