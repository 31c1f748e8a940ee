#include "bergamot/journal/checkpoint_timer.h"

namespace bergamot
{

CheckpointTimer::CheckpointTimer(CheckpointTimerOptions options, TimePoint now)
    : m_options(options)
    , m_seenAt(now)
    , m_notBefore(now)
{ }

void CheckpointTimer::seen(Offset offset, TimePoint now)
{
    m_newest = std::max(m_newest, offset);
    m_seenAt = now;
}

void CheckpointTimer::appended(TimePoint now)
{
    m_notBefore = now + m_options.minGap;
}

bool CheckpointTimer::due(Offset applied, TimePoint now) const
{
    if (applied == 0 || now < m_notBefore) {
        return false;
    }
    const std::uint64_t records = applied > m_newest ? applied - m_newest : 0;
    return records >= m_options.maxRecords || now - m_seenAt >= m_options.maxAge;
}

} // namespace bergamot
