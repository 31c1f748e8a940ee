#include "bergamot/routing/report_limit.h"

#include <cmath>
#include <limits>

namespace bergamot
{

namespace
{

constexpr double MinUsedShare = 0.8; // of the limit; a limit that was not used does not grow
constexpr double InitialGrowthFactor = 1.5;

} // namespace

ReportLimit::ReportLimit(ReportLimitOptions options)
    : m_options(options)
    , m_limit(options.initial)
{ }

void ReportLimit::dispatched(std::uint32_t inFlight)
{
    m_peak = std::max(m_peak, inFlight);
}

void ReportLimit::reported(double requestsPerSlot, TimePoint measuredAt)
{
    m_reporting = true;
    if (measuredAt <= m_measuredAt) {
        return;
    }
    m_measuredAt = measuredAt;
    m_everFull = m_everFull || requestsPerSlot > m_options.fullThreshold;
    if (requestsPerSlot > m_options.fullThreshold) {
        m_limit *= std::clamp(m_options.target / requestsPerSlot, m_options.minCutFactor, 1.0);
    } else if (m_peak >= MinUsedShare * allowed()) {
        grow();
    }
    m_limit = std::clamp(m_limit, m_options.minLimit, m_options.maxLimit);
    m_peak = 0;
}

void ReportLimit::reportsStopped()
{
    m_reporting = false;
}

double ReportLimit::allowed() const
{
    return m_reporting ? std::max(1.0, std::floor(m_limit + m_options.rounding))
                       : std::numeric_limits<double>::infinity();
}

void ReportLimit::grow()
{
    m_limit = m_everFull ? m_limit + m_options.growth * std::pow(m_limit, m_options.growthPower)
                         : m_limit * InitialGrowthFactor;
}

} // namespace bergamot
