#include "bergamot/routing/load_estimate.h"

#include "bergamot/base/invariant.h"

namespace bergamot
{

namespace
{

// A report older than this says nothing any more; it also bounds the memory of changes.
constexpr Duration OldestReport = std::chrono::seconds(10);

} // namespace

void LoadEstimate::dispatched(TimePoint now)
{
    ++m_inFlight;
    remember(now, 1);
}

void LoadEstimate::finished(TimePoint now)
{
    checkInvariant(m_inFlight > 0, "A request finishes only after it was dispatched.");
    --m_inFlight;
    remember(now, -1);
}

void LoadEstimate::reported(std::uint32_t requests, TimePoint measuredAt)
{
    if (measuredAt < m_measuredAt) {
        return;
    }
    m_measuredAt = measuredAt;
    m_reported = requests;
    while (!m_changes.empty() && m_changes.front().at <= measuredAt) {
        m_changedSinceReport -= m_changes.front().difference;
        m_changes.pop_front();
    }
}

std::uint32_t LoadEstimate::load(TimePoint now) const
{
    if (m_measuredAt < now - OldestReport) {
        return m_inFlight;
    }
    const std::int64_t corrected = static_cast<std::int64_t>(m_reported) + m_changedSinceReport;
    return static_cast<std::uint32_t>(std::max<std::int64_t>(corrected, m_inFlight));
}

std::uint32_t LoadEstimate::inFlight() const
{
    return m_inFlight;
}

void LoadEstimate::remember(TimePoint now, std::int32_t difference)
{
    m_changes.push_back({.at = now, .difference = difference});
    m_changedSinceReport += difference;
    if (m_changes.front().at < now - OldestReport) {
        reported(0, now - OldestReport);
    }
}

} // namespace bergamot
