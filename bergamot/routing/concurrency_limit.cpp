#include "bergamot/routing/concurrency_limit.h"

#include <cmath>

namespace bergamot
{

namespace
{

constexpr double OverloadFactor = 0.8;
constexpr double MinGradient = 0.5;
// Smooths the floor so that a single fast window does not set it.
constexpr double FloorSmoothing = 0.25;
constexpr double MaxFloorRise = 1.25;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(ConcurrencyLimitOptions options)
    : m_options(options)
    , m_limit(options.initial)
    , m_tolerance(options.tolerance)
{ }

void ConcurrencyLimit::answered(Duration latency, std::uint32_t inFlight)
{
    m_windowSum += std::chrono::duration<double>(latency).count();
    m_windowPeak = std::max(m_windowPeak, inFlight);
    if (++m_windowCount >= m_options.windowSize) {
        closeWindow();
    }
}

void ConcurrencyLimit::setReportedSlots(std::uint32_t slots)
{
    m_tolerance = slots > 0 ? m_options.reportedTolerance : m_options.tolerance;
    if (m_latencyFloor <= 0) {
        m_limit = std::clamp(std::max<double>(m_limit, slots), m_options.minimum, m_options.maximum);
    }
}

void ConcurrencyLimit::overloaded()
{
    if (m_reducedInWindow) {
        return;
    }
    m_reducedInWindow = true;
    m_limit = std::max(m_options.minimum, m_limit * OverloadFactor);
}

std::uint32_t ConcurrencyLimit::allowed() const
{
    return static_cast<std::uint32_t>(m_limit);
}

Duration ConcurrencyLimit::latencyFloor() const
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_latencyFloor));
}

void ConcurrencyLimit::closeWindow()
{
    const double mean = m_windowSum / m_windowCount;
    updateLatencyFloor(mean);
    const double gradient = std::clamp(m_tolerance * m_latencyFloor / std::max(mean, 1e-9), MinGradient, 1.0);
    const bool limitWasUsed = 2.0 * m_windowPeak >= m_limit;
    const double headroom = gradient < 1.0 || !limitWasUsed ? 0.0 : std::sqrt(m_limit);
    const double wanted = m_limit * gradient + headroom;
    const double next = m_limit + m_options.smoothing * (wanted - m_limit);
    m_limit = std::clamp(next, m_options.minimum, m_options.maximum);
    m_windowSum = 0;
    m_windowCount = 0;
    m_windowPeak = 0;
    m_reducedInWindow = false;
}

void ConcurrencyLimit::updateLatencyFloor(double mean)
{
    if (m_latencyFloor <= 0) {
        m_latencyFloor = mean;
        return;
    }
    if (mean < m_latencyFloor) {
        m_latencyFloor += FloorSmoothing * (mean - m_latencyFloor);
    }
    const bool stuck = m_limit <= m_options.minimum + 0.5 && mean > m_tolerance * m_latencyFloor;
    m_windowsAtMinimum = stuck ? m_windowsAtMinimum + 1 : 0;
    if (m_windowsAtMinimum >= m_options.windowsToRelearn) {
        m_latencyFloor = std::min(mean, m_latencyFloor * MaxFloorRise);
        m_windowsAtMinimum = 0;
    }
}

} // namespace bergamot
