#include "bergamot/standins/rate_limit.h"

#include <algorithm>

namespace bergamot
{

namespace
{

constexpr Duration BurstWindow = std::chrono::seconds(1);

} // namespace

RateLimit::RateLimit(std::uint32_t perSecond)
    : m_perSecond(std::max<std::uint32_t>(1, perSecond))
    , m_budget(BurstWindow)
{ }

std::optional<Duration> RateLimit::take(TimePoint now)
{
    if (m_refilled) {
        m_budget = std::min(BurstWindow, m_budget + (now - *m_refilled));
    }
    m_refilled = now;
    const Duration cost = BurstWindow / m_perSecond;
    if (m_budget < cost) {
        return cost - m_budget;
    }
    m_budget -= cost;
    return std::nullopt;
}

void RateLimit::setRate(std::uint32_t perSecond)
{
    m_perSecond = std::max<std::uint32_t>(1, perSecond);
}

} // namespace bergamot
