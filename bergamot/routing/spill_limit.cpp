#include "bergamot/routing/spill_limit.h"

namespace bergamot
{

namespace
{

// The age of one report comes in steps, from several hops: it may seem to have been measured a little later each time.
constexpr Duration SameReport = std::chrono::milliseconds(500);
constexpr double FirstPlaces = 1;
constexpr double SteepestGrowth = 2; // factor for one report

} // namespace

SpillLimit::SpillLimit(double fullAt)
    : m_fullAt(fullAt)
{ }

void SpillLimit::dispatched(std::uint32_t inFlight)
{
    m_peak = std::max(m_peak, inFlight);
}

void SpillLimit::reported(const SpillReport &report, TimePoint measuredAt)
{
    if (measuredAt <= m_measuredAt + SameReport) {
        return;
    }
    m_measuredAt = measuredAt;
    const double used = std::min<double>(m_limit, m_peak);
    const double free = (m_fullAt - report.perSlot) * report.slots;
    const double most = std::max(FirstPlaces, used * SteepestGrowth);
    m_limit = std::clamp(used + report.share * free, 0.0, most);
    m_peak = 0;
}

void SpillLimit::silent()
{
    m_limit = 0;
}

std::uint32_t SpillLimit::allowed() const
{
    return static_cast<std::uint32_t>(m_limit);
}

} // namespace bergamot
