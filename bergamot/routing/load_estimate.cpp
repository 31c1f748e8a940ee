#include "bergamot/routing/load_estimate.h"

#include "bergamot/base/invariant.h"

namespace bergamot
{

namespace
{

constexpr double ReportSmoothing = 0.3;

} // namespace

void LoadEstimate::dispatched(TimePoint now)
{
    ++m_inFlight;
    recordChange(now, 1);
}

void LoadEstimate::finished(TimePoint now)
{
    checkInvariant(m_inFlight > 0, "A request finishes only after it was dispatched.");
    --m_inFlight;
    recordChange(now, -1);
}

void LoadEstimate::reported(std::uint32_t requests, TimePoint measuredAt)
{
    if (measuredAt <= m_measuredAt) {
        return;
    }
    m_measuredAt = measuredAt;
    dropChanges(measuredAt);
    const double ownThen = static_cast<double>(m_inFlight) - static_cast<double>(m_changedSinceReport);
    m_others = std::max(0.0, requests - ownThen);
    m_smoothedOthers = m_hasReport ? m_smoothedOthers + ReportSmoothing * (m_others - m_smoothedOthers) : m_others;
    m_hasReport = true;
}

double LoadEstimate::load(TimePoint now, Duration duration) const
{
    if (!m_hasReport || m_measuredAt < now - MaxReportAge) {
        return m_inFlight;
    }
    const double others = m_smoothedOthers + freshness(now, duration) * (m_others - m_smoothedOthers);
    return m_inFlight + others;
}

double LoadEstimate::freshness(TimePoint now, Duration duration) const
{
    if (!m_hasReport) {
        return 0;
    }
    const auto age = static_cast<double>(std::max(now - m_measuredAt, Duration::zero()).count());
    const auto scale = static_cast<double>(std::max<Duration>(duration, std::chrono::milliseconds(1)).count());
    return scale / (scale + age);
}

std::uint32_t LoadEstimate::inFlight() const
{
    return m_inFlight;
}

void LoadEstimate::recordChange(TimePoint now, std::int32_t difference)
{
    m_changes.push_back({.at = now, .difference = difference});
    m_changedSinceReport += difference;
    dropChanges(now - MaxReportAge);
}

void LoadEstimate::dropChanges(TimePoint until)
{
    while (!m_changes.empty() && m_changes.front().at <= until) {
        m_changedSinceReport -= m_changes.front().difference;
        m_changes.pop_front();
    }
}

} // namespace bergamot
