#include "bergamot/usage/usage_counter.h"

namespace bergamot::usage
{

void UsageCounter::record(const std::string &tenant, WallTime time)
{
    ++m_counts[windowOf(time, m_options.windowLength)][tenant];
    while (m_counts.size() > m_options.keptWindows) {
        m_told.erase(m_counts.begin()->first);
        m_counts.erase(m_counts.begin());
    }
}

WindowCounts UsageCounter::untold(const std::string &collector) const
{
    if (collector != m_collector) {
        return m_counts;
    }
    WindowCounts changed;
    for (const auto &[window, counts] : m_counts) {
        const auto told = m_told.find(window);
        if (told == m_told.end() || told->second != counts) {
            changed.emplace(window, counts);
        }
    }
    return changed;
}

void UsageCounter::told(const std::string &collector, const WindowCounts &totals)
{
    if (collector != m_collector) {
        m_collector = collector;
        m_told.clear();
    }
    for (const auto &[window, counts] : totals) {
        if (m_counts.contains(window)) {
            m_told.insert_or_assign(window, counts);
        }
    }
}

} // namespace bergamot::usage
