#include "bergamot/samples/straggler_rule.h"

namespace bergamot
{

namespace
{

constexpr std::size_t RecentSamples = 256;
constexpr std::uint64_t RefreshSamples = 16;
constexpr std::uint64_t WholePercent = 100;
constexpr std::uint32_t MaxAttempts = 2;

} // namespace

void SampleTimes::add(Duration elapsed, std::uint64_t tokens)
{
    if (m_recent.size() < RecentSamples) {
        m_recent.push_back(elapsed);
    } else {
        m_recent[m_next] = elapsed;
        m_next = (m_next + 1) % RecentSamples;
    }
    m_tokens += tokens;
    ++m_samples;
    if (m_samples < RefreshSamples || m_samples % RefreshSamples == 0) {
        std::vector<Duration> sorted = m_recent;
        const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
        std::nth_element(sorted.begin(), middle, sorted.end());
        m_median = *middle;
    }
}

std::uint64_t SampleTimes::meanTokens() const
{
    return m_samples == 0 ? 0 : m_tokens / m_samples;
}

void SpeculationBudget::addRequired(std::uint64_t tokens, std::uint32_t sparePercent)
{
    m_allowed += tokens * sparePercent;
}

bool SpeculationBudget::tryTake(std::uint64_t tokens)
{
    if ((m_spent + tokens) * WholePercent > m_allowed) {
        return false;
    }
    m_spent += tokens;
    return true;
}

StragglerAction decideStraggler(const StragglerView &view, const DispatchStrategy &strategy)
{
    if (strategy.stragglerFactor <= 0) {
        return StragglerAction::Leave;
    }
    const bool slowEngine = view.engineLeaving || view.engineSpeed < SlowEngineSpeed;
    if (slowEngine && view.movable && view.attempts < MaxAttempts) {
        return StragglerAction::Move;
    }
    const bool late = view.medianDuration > Duration::zero()
        && std::chrono::duration<double>(view.elapsed).count()
            > strategy.stragglerFactor * std::chrono::duration<double>(view.medianDuration).count();
    return late && view.attempts < MaxAttempts ? StragglerAction::SpeculativeCopy : StragglerAction::Leave;
}

double stragglerUrgency(const StragglerView &view)
{
    const double medianDuration = std::max(std::chrono::duration<double>(view.medianDuration).count(), 1e-9);
    return std::chrono::duration<double>(view.elapsed).count() / medianDuration
        + 1.0 / std::max(view.missingInGroup, 1U);
}

} // namespace bergamot
