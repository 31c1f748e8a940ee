#include "bergamot/entry/shutdown_sequence.h"

namespace bergamot
{

ShutdownSequence::ShutdownSequence(ShutdownOptions options)
    : m_options(options)
{ }

void ShutdownSequence::begin(TimePoint now)
{
    if (m_phase == ShutdownPhase::Serving) {
        m_phase = ShutdownPhase::Unready;
        m_startedAt = now;
    }
}

ShutdownPhase ShutdownSequence::advance(TimePoint now, std::size_t inFlight)
{
    if (m_phase == ShutdownPhase::Unready && now - m_startedAt >= m_options.balancerGrace) {
        m_phase = ShutdownPhase::Refusing;
        return m_phase;
    }
    const bool overLimit = now - m_startedAt >= m_options.balancerGrace + m_options.limit;
    if (m_phase == ShutdownPhase::Refusing && (inFlight == 0 || overLimit)) {
        m_phase = ShutdownPhase::Closed;
    }
    return m_phase;
}

ShutdownPhase ShutdownSequence::phase() const
{
    return m_phase;
}

} // namespace bergamot
