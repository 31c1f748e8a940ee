#include "bergamot/samples/staleness_rule.h"

namespace bergamot
{

namespace
{

constexpr int PeriodSmoothing = 4; // one new period counts for a quarter

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

void StalenessRule::newestInForce(WeightVersion version, bool mayFall, TimePoint now)
{
    if (version == m_newest || (version < m_newest && !mayFall)) {
        return;
    }
    if (version > m_newest && m_newest > 0) {
        const Duration each = (now - m_newestSince) / static_cast<Duration::rep>(version - m_newest);
        m_period = m_period ? *m_period + (each - *m_period) / PeriodSmoothing : each;
    }
    m_newest = version;
    m_newestSince = now;
}

std::uint64_t StalenessRule::forecast(WeightVersion version, TimePoint handOver) const
{
    const std::uint64_t behind = m_newest > version ? m_newest - version : 0;
    if (!m_period || *m_period <= Duration::zero() || handOver <= m_newestSince) {
        return behind;
    }
    return behind + static_cast<std::uint64_t>((handOver - m_newestSince) / *m_period);
}

} // namespace bergamot
