#include "bergamot/routing/spill_limit.h"

namespace bergamot
{

namespace
{

// The age of a report is rounded at each hop, so the same report may seem to be measured slightly later each time.
constexpr Duration SameReportInterval = std::chrono::milliseconds(500);
constexpr double InitialLimit = 1;
constexpr double MaxGrowthFactor = 2; // per report

} // namespace

SpillLimit::SpillLimit(double fullThreshold)
    : m_fullThreshold(fullThreshold)
{ }

void SpillLimit::dispatched(std::uint32_t inFlight)
{
    m_peak = std::max(m_peak, inFlight);
}

void SpillLimit::reported(const SpillReport &report, TimePoint measuredAt)
{
    if (measuredAt <= m_measuredAt + SameReportInterval) {
        return;
    }
    m_measuredAt = measuredAt;
    const double used = std::min<double>(m_limit, m_peak);
    const double free = (m_fullThreshold - report.requestsPerSlot) * report.slots;
    const double maxLimit = std::max(InitialLimit, used * MaxGrowthFactor);
    m_limit = std::clamp(used + report.share * free, 0.0, maxLimit);
    m_peak = 0;
}

void SpillLimit::reportsStopped()
{
    m_limit = 0;
}

std::uint32_t SpillLimit::allowed() const
{
    return static_cast<std::uint32_t>(m_limit);
}

} // namespace bergamot
