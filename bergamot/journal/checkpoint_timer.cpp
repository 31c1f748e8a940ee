#include "bergamot/journal/checkpoint_timer.h"

#include <algorithm>

namespace bergamot
{

CheckpointTimer::CheckpointTimer(CheckpointTimerOptions options, TimePoint now)
    : m_options(options)
    , m_seenAt(now)
    , m_notBefore(now)
{ }

void CheckpointTimer::seen(TimePoint now)
{
    m_seenAt = now;
}

void CheckpointTimer::appended(TimePoint now)
{
    m_notBefore = now + m_options.minGap;
}

bool CheckpointTimer::due(const StreamGrowth &growth, TimePoint now) const
{
    if (growth.applied == 0 || now < m_notBefore) {
        return false;
    }
    const bool pays = growth.bytesSince >= std::max(m_options.minBytes, growth.lastBytes);
    return pays || now - m_seenAt >= m_options.maxAge;
}

} // namespace bergamot
