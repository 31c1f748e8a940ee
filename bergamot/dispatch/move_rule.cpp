#include "bergamot/dispatch/move_rule.h"

#include <algorithm>
#include <cmath>

namespace bergamot::dispatch
{

namespace
{

constexpr double MeanSeconds = 3; // over which the mean forgets; a text takes about as long

} // namespace

void SteadyRate::add(double seconds, TimePoint now)
{
    const double elapsed = m_samples == 0 ? 0 : std::chrono::duration<double>(now - m_addedAt).count();
    const double weight = std::max(1.0 / (m_samples + 1), 1 - std::exp(-elapsed / MeanSeconds));
    m_value += weight * (seconds - m_value);
    m_samples = std::min<std::uint32_t>(m_samples + 1, 1000);
    m_addedAt = now;
}

bool movePays(const MoveFacts &facts, double speedup)
{
    const double stays = facts.remainingEvents * facts.here;
    const double moves = facts.startSeconds + std::max(0.0, facts.remainingEvents - 1) * facts.there;
    return facts.remainingEvents >= 1 && stays > speedup * moves;
}

} // namespace bergamot::dispatch
