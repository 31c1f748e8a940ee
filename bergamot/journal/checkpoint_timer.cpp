#include "bergamot/journal/checkpoint_timer.h"

#include <algorithm>

namespace bergamot
{

CheckpointTimer::CheckpointTimer(CheckpointTimerOptions options, TimePoint now)
    : m_options(options)
    , m_newestSeenAt(now)
    , m_nextAttemptAt(now)
{ }

void CheckpointTimer::seen(TimePoint now)
{
    m_newestSeenAt = now;
}

void CheckpointTimer::appended(TimePoint now)
{
    m_nextAttemptAt = now + m_options.minGap;
}

bool CheckpointTimer::due(const StreamGrowth &growth, TimePoint now) const
{
    if (growth.applied == 0 || now < m_nextAttemptAt) {
        return false;
    }
    const bool enoughBytes = growth.bytesSince >= std::max(m_options.minBytes, growth.lastBytes);
    return enoughBytes || now - m_newestSeenAt >= m_options.maxAge;
}

} // namespace bergamot
