#include "bergamot/routing/retry_budget.h"

namespace bergamot
{

namespace
{

constexpr std::uint32_t MaxShift = 20;

} // namespace

ShareBudget::ShareBudget(ShareBudgetOptions options)
    : m_options(options)
    , m_available(options.initialBudget)
{ }

void ShareBudget::earn()
{
    m_available = std::min(m_options.maxBudget, m_available + m_options.share);
}

bool ShareBudget::spend()
{
    if (m_available < 1.0) {
        return false;
    }
    m_available -= 1.0;
    return true;
}

double ShareBudget::available() const
{
    return m_available;
}

Duration backoff(const BackoffOptions &options, std::uint32_t retry, std::mt19937_64 &random)
{
    const Duration doubled = options.minDelay * (std::int64_t{1} << std::min(retry, MaxShift));
    const Duration ceiling = std::min(doubled, options.maxDelay);
    std::uniform_int_distribution<Duration::rep> jitter(1, ceiling.count());
    return Duration(jitter(random));
}

} // namespace bergamot
