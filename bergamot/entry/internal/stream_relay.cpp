#include "bergamot/entry/internal/stream_relay.h"

#include "bergamot/entry/internal/answers.h"

namespace bergamot::entry_internal
{

namespace
{

constexpr int StatusOk = 200;
constexpr std::size_t MaxCollectedBytes = 1U << 20U;

} // namespace

StreamRelay::StreamRelay(AttemptId attempt, std::shared_ptr<SharedCallerStream> callerStream, Events events)
    : m_attempt(attempt)
    , m_callerStream(std::move(callerStream))
    , m_events(std::move(events))
{ }

void StreamRelay::onHead(const HttpResponse &head)
{
    if (head.status != StatusOk) {
        return;
    }
    m_streaming = m_callerStream->claim(m_attempt);
    m_ownedByOtherAttempt = !m_streaming;
    if (m_streaming) {
        m_events.started();
        m_callerStream->responder().beginStream(answerToCaller(head));
    }
}

bool StreamRelay::onChunk(std::string_view bytes)
{
    if (m_ownedByOtherAttempt) {
        return false;
    }
    if (m_streaming) {
        if (m_callerStream->responder().write(bytes)) {
            return true;
        }
        m_events.callerLost(m_callerStream->responder().callerTooSlow() ? CallerLoss::TooSlow
                                                                        : CallerLoss::Disconnected);
        return false;
    }
    m_body.append(bytes);
    return m_body.size() <= MaxCollectedBytes;
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
