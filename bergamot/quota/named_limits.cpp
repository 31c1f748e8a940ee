#include "bergamot/quota/named_limits.h"

#include <algorithm>
#include <cmath>

namespace bergamot::quota
{

NamedLimits::NamedLimits(NamedLimitsOptions options, std::uint64_t seed)
    : m_options(options)
    , m_random(seed)
{ }

bool NamedLimits::heard(const EndpointProcess &process, std::optional<double> perSecond, TimePoint now)
{
    if (!perSecond && m_entries.empty()) {
        return false;
    }
    if (!perSecond && !m_entries.contains(process.endpoint)) {
        return false;
    }
    Entry *entry = entryFor(process);
    if (entry == nullptr) {
        return false;
    }
    if (perSecond) {
        perSecond = std::max(*perSecond, m_options.minPerSecond);
    }
    const bool changed = differs(entry->perSecond, perSecond);
    if (changed) {
        m_limited += perSecond.has_value() ? 1 : 0;
        m_limited -= entry->perSecond.has_value() ? 1 : 0;
        entry->perSecond = perSecond;
    }
    if (!differs(entry->perSecond, entry->shared)) {
        entry->reportAt.reset();
    } else if (!entry->reportAt) {
        std::uniform_int_distribution<Duration::rep> delay(0, m_options.maxReportDelay.count());
        entry->reportAt = now + Duration(delay(m_random));
    }
    return changed;
}

void NamedLimits::reported(const LimitReport &report)
{
    Entry *entry = entryFor(report.process);
    if (entry == nullptr) {
        return;
    }
    entry->shared = report.perSecond;
    if (!differs(entry->perSecond, report.perSecond)) {
        entry->reportAt.reset();
    } else if (!entry->reportAt) {
        // What was heard here and not reported yet may be newer.
        m_limited += report.perSecond.has_value() ? 1 : 0;
        m_limited -= entry->perSecond.has_value() ? 1 : 0;
        entry->perSecond = report.perSecond;
    }
}

std::optional<double> NamedLimits::limitOf(const EndpointProcess &process) const
{
    if (m_limited == 0) {
        return std::nullopt;
    }
    const auto found = m_entries.find(process.endpoint);
    const bool known = found != m_entries.end() && found->second.incarnation == process.incarnation;
    return known ? found->second.perSecond : std::nullopt;
}

bool NamedLimits::empty() const
{
    return m_limited == 0;
}

std::vector<LimitReport> NamedLimits::takeReports(TimePoint now)
{
    std::vector<LimitReport> reports;
    for (auto &[endpoint, entry] : m_entries) {
        if (entry.reportAt && *entry.reportAt <= now) {
            entry.reportAt.reset();
            entry.shared = entry.perSecond;
            reports.push_back({.process = {endpoint, entry.incarnation}, .perSecond = entry.perSecond});
        }
    }
    return reports;
}

std::vector<LimitReport> NamedLimits::all() const
{
    std::vector<LimitReport> limits;
    for (const auto &[endpoint, entry] : m_entries) {
        if (entry.perSecond) {
            limits.push_back({.process = {endpoint, entry.incarnation}, .perSecond = entry.perSecond});
        }
    }
    return limits;
}

void NamedLimits::retain(const std::function<bool(const EndpointId &)> &present)
{
    std::erase_if(m_entries, [&](const auto &item) {
        const bool gone = !present(item.first);
        m_limited -= gone && item.second.perSecond ? 1 : 0;
        return gone;
    });
}

bool NamedLimits::differs(const std::optional<double> &left, const std::optional<double> &right) const
{
    if (!left || !right) {
        return left.has_value() != right.has_value();
    }
    return std::abs(*left - *right) > m_options.minChange * *left;
}

NamedLimits::Entry *NamedLimits::entryFor(const EndpointProcess &process)
{
    const auto found = m_entries.find(process.endpoint);
    if (found == m_entries.end() && m_entries.size() >= m_options.maxEndpoints) {
        return nullptr;
    }
    Entry &entry = m_entries[process.endpoint];
    if (process.incarnation < entry.incarnation) {
        return nullptr;
    }
    if (process.incarnation > entry.incarnation) {
        m_limited -= entry.perSecond ? 1 : 0;
        entry = Entry{.incarnation = process.incarnation};
    }
    return &entry;
}

} // namespace bergamot::quota
