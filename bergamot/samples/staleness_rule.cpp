#include "bergamot/samples/staleness_rule.h"

namespace bergamot
{

namespace
{

constexpr int PeriodSmoothing = 4; // a new period has a weight of one quarter

} // namespace

WeightVersion oldestVersion(const std::vector<TokenSpan> &spans)
{
    if (spans.empty()) {
        return 0;
    }
    const auto older = [](const TokenSpan &left, const TokenSpan &right) {
        return left.version < right.version;
    };
    return std::min_element(spans.begin(), spans.end(), older)->version;
}

std::uint64_t stalenessOf(const std::vector<TokenSpan> &spans, WeightVersion newest)
{
    const WeightVersion oldest = oldestVersion(spans);
    return newest > oldest ? newest - oldest : 0;
}

void StalenessRule::updateNewest(WeightVersion version, bool allowDecrease, TimePoint now)
{
    if (version == m_newest || (version < m_newest && !allowDecrease)) {
        return;
    }
    if (version > m_newest && m_newest > 0) {
        const Duration each = (now - m_newestSince) / static_cast<Duration::rep>(version - m_newest);
        m_versionPeriod = m_versionPeriod ? *m_versionPeriod + (each - *m_versionPeriod) / PeriodSmoothing : each;
    }
    m_newest = version;
    m_newestSince = now;
}

std::uint64_t StalenessRule::forecast(WeightVersion version, TimePoint deliveryTime) const
{
    const std::uint64_t behind = m_newest > version ? m_newest - version : 0;
    if (!m_versionPeriod || *m_versionPeriod <= Duration::zero() || deliveryTime <= m_newestSince) {
        return behind;
    }
    return behind + static_cast<std::uint64_t>((deliveryTime - m_newestSince) / *m_versionPeriod);
}

} // namespace bergamot
