#include "bergamot/entry/internal/stream_relay.h"

#include "bergamot/entry/internal/answers.h"

namespace bergamot::entry_internal
{

namespace
{

constexpr int Ok = 200;
constexpr std::size_t MostCollectedBytes = 1U << 20U;

} // namespace

StreamRelay::StreamRelay(AttemptId attempt, std::shared_ptr<StreamGate> gate, Events events)
    : m_attempt(attempt)
    , m_gate(std::move(gate))
    , m_events(std::move(events))
{ }

void StreamRelay::head(const HttpResponse &head)
{
    if (head.status != Ok) {
        return;
    }
    m_streaming = m_gate->claim(m_attempt);
    m_lost = !m_streaming;
    if (m_streaming) {
        m_events.started();
        m_gate->responder().beginStream(answerToCaller(head));
    }
}

bool StreamRelay::chunk(std::string_view bytes)
{
    if (m_lost) {
        return false;
    }
    if (m_streaming) {
        if (m_gate->responder().write(bytes)) {
            return true;
        }
        m_events.callerLost(m_gate->responder().callerTooSlow() ? CallerLoss::TooSlow : CallerLoss::Gone);
        return false;
    }
    m_body.append(bytes);
    return m_body.size() <= MostCollectedBytes;
}

std::string StreamRelay::takeBody()
{
    return std::move(m_body);
}

bool StreamRelay::streaming() const
{
    return m_streaming;
}

} // namespace bergamot::entry_internal
