#include "bergamot/cost/latency_quantile.h"

namespace bergamot
{

namespace
{

constexpr double StepOfMean = 0.1;
constexpr double MeanSmoothing = 0.05;

} // namespace

LatencyQuantile::LatencyQuantile(double quantile)
    : m_quantile(quantile)
{ }

void LatencyQuantile::add(Duration latency)
{
    const double value = std::chrono::duration<double>(latency).count();
    if (m_mean <= 0) {
        m_mean = value;
        m_value = value;
        return;
    }
    m_mean += MeanSmoothing * (value - m_mean);
    const double step = StepOfMean * m_mean;
    m_value += value > m_value ? step * m_quantile : -step * (1.0 - m_quantile);
    m_value = std::max(m_value, 0.0);
}

Duration LatencyQuantile::value() const
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_value));
}

} // namespace bergamot
