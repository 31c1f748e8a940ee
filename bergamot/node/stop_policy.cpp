#include "bergamot/node/stop_policy.h"

#include <algorithm>

namespace bergamot::node
{

StopPolicy::StopPolicy(StopPolicyOptions options)
    : m_options(options)
{ }

void StopPolicy::stopRequested(TimePoint now)
{
    if (!m_stopRequestedAt) {
        m_stopRequestedAt = now;
    }
}

Duration StopPolicy::elapsed(TimePoint now) const
{
    return m_stopRequestedAt ? now - *m_stopRequestedAt : Duration::zero();
}

void StopPolicy::recordCall(const std::string &route, Duration duration, TimePoint now)
{
    Longest &longest = m_longest[route];
    if (now - longest.windowBegan >= m_options.durationWindow) {
        const bool adjacent = now - longest.windowBegan < 2 * m_options.durationWindow;
        longest = {.windowBegan = now, .previous = adjacent ? longest.current : Duration::zero()};
    }
    longest.current = std::max(longest.current, duration);
}

bool StopPolicy::mayTake(const std::string &route, Duration budget, TimePoint now) const
{
    const Duration left = timeLeft(now);
    if (!stopping() || budget <= left) {
        return true;
    }
    if (elapsed(now) >= m_options.minDrain) {
        return false;
    }
    const auto longest = m_longest.find(route);
    return left > Duration::zero()
        && (longest == m_longest.end() || std::max(longest->second.current, longest->second.previous) <= left);
}

Duration StopPolicy::timeLeft(TimePoint now) const
{
    if (!stopping()) {
        return Duration::max();
    }
    const Duration total = m_options.grace - m_options.killMargin - m_options.answerMargin;
    return std::max(Duration::zero(), total - elapsed(now));
}

bool StopPolicy::mayCloseIdle(TimePoint now) const
{
    return stopping() && elapsed(now) >= m_options.minDrain;
}

bool StopPolicy::mustEndCalls(TimePoint now) const
{
    return stopping() && elapsed(now) >= m_options.grace - m_options.killMargin;
}

bool StopPolicy::mustEnd(TimePoint now) const
{
    return stopping() && elapsed(now) >= m_options.grace - m_options.killMargin + m_options.flushTime;
}

} // namespace bergamot::node
