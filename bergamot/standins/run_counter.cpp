#include "bergamot/standins/run_counter.h"

namespace bergamot
{

void RunCounter::add(const std::string &name)
{
    ++m_counts[name];
    ++m_total;
}

void RunCounter::arrived(TimePoint now)
{
    if (m_leavingSince) {
        m_lastAfterLeaving = now - *m_leavingSince;
    }
}

void RunCounter::setLeaving(bool leaving, TimePoint now)
{
    if (leaving == m_leavingSince.has_value()) {
        return;
    }
    m_leavingSince = leaving ? std::optional(now) : std::nullopt;
    m_lastAfterLeaving.reset();
}

std::uint64_t RunCounter::count(const std::string &name) const
{
    const auto found = m_counts.find(name);
    return found == m_counts.end() ? 0 : found->second;
}

const std::map<std::string, std::uint64_t> &RunCounter::counts() const
{
    return m_counts;
}

std::uint64_t RunCounter::total() const
{
    return m_total;
}

bool RunCounter::leaving() const
{
    return m_leavingSince.has_value();
}

std::optional<Duration> RunCounter::lastAfterLeaving() const
{
    return m_lastAfterLeaving;
}

} // namespace bergamot
