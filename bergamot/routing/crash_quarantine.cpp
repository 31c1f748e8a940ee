#include "bergamot/routing/crash_quarantine.h"

#include "bergamot/base/hash.h"

namespace bergamot
{

namespace
{

// A report from another instance may be this old on arrival. Within this time after a suspect was cleared here, such
// reports don't make it a suspect again.
constexpr Duration ClearedHoldTime = std::chrono::seconds(10);

} // namespace

std::uint64_t
requestFingerprint(std::string_view target, std::string_view method, std::string_view path, std::string_view body)
{
    return stableHash(body, stableHash(path, stableHash(method, stableHash(target))));
}

CrashQuarantine::CrashQuarantine(QuarantineOptions options)
    : m_options(options)
{ }

QuarantineStatus CrashQuarantine::statusOf(std::uint64_t fingerprint, TimePoint now) const
{
    if (m_entries.empty()) {
        return QuarantineStatus::Clear;
    }
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || found->second.endpoints.empty()
        || now - found->second.changedAt > m_options.retention) {
        return QuarantineStatus::Clear;
    }
    const Entry &entry = found->second;
    const bool refused = entry.ranAlone && entry.endpoints.size() >= m_options.endpointsToRefuse;
    return refused ? QuarantineStatus::Refused : QuarantineStatus::Suspect;
}

void CrashQuarantine::recordEndpointLoss(std::uint64_t fingerprint,
                                         const EndpointId &endpoint,
                                         RunMode mode,
                                         TimePoint now)
{
    evictIfFull(now);
    Entry &entry = m_entries[fingerprint];
    const bool firstLoss = entry.endpoints.empty();
    if (!firstLoss && mode == RunMode::Shared) {
        return;
    }
    entry.endpoints.insert(endpoint);
    entry.ranAlone = entry.ranAlone || mode == RunMode::Alone;
    entry.changedAt = now;
    addChange(fingerprint, entry, false);
}

void CrashQuarantine::retractEndpointLoss(std::uint64_t fingerprint, const EndpointId &endpoint, TimePoint now)
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || found->second.endpoints.erase(endpoint) == 0) {
        return;
    }
    found->second.ranAlone = false;
    if (found->second.endpoints.empty()) {
        addChange(fingerprint, found->second, true);
        found->second = Entry{.endpoints = {}, .ranAlone = false, .changedAt = now, .clearedAt = now};
    }
}

void CrashQuarantine::recordFinished(std::uint64_t fingerprint, TimePoint now)
{
    if (m_entries.empty()) {
        return;
    }
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || found->second.endpoints.empty()) {
        return;
    }
    addChange(fingerprint, found->second, true);
    found->second = Entry{.endpoints = {}, .ranAlone = false, .changedAt = now, .clearedAt = now};
}

bool CrashQuarantine::hasCrashed(std::uint64_t fingerprint, const EndpointId &endpoint) const
{
    const auto found = m_entries.find(fingerprint);
    return found != m_entries.end() && found->second.endpoints.contains(endpoint);
}

void CrashQuarantine::merge(const std::vector<SuspectReport> &reports, TimePoint now)
{
    for (const SuspectReport &report : reports) {
        const auto found = m_entries.find(report.fingerprint);
        if (report.cleared) {
            if (found != m_entries.end()) {
                found->second = Entry{.endpoints = {}, .ranAlone = false, .changedAt = now, .clearedAt = now};
            }
            continue;
        }
        if (found != m_entries.end() && found->second.clearedAt != TimePoint{}
            && now - found->second.clearedAt < ClearedHoldTime) {
            continue;
        }
        evictIfFull(now);
        Entry &entry = m_entries[report.fingerprint];
        const std::size_t before = entry.endpoints.size();
        const bool ranAloneBefore = entry.ranAlone;
        entry.endpoints.insert(report.endpoints.begin(), report.endpoints.end());
        entry.ranAlone = entry.ranAlone || report.ranAlone;
        if (entry.endpoints.size() != before || entry.ranAlone != ranAloneBefore) {
            entry.changedAt = now;
        }
    }
}

std::vector<SuspectReport> CrashQuarantine::takeChanges()
{
    return std::exchange(m_unreportedChanges, {});
}

std::size_t CrashQuarantine::size() const
{
    return m_entries.size();
}

void CrashQuarantine::addChange(std::uint64_t fingerprint, const Entry &entry, bool cleared)
{
    m_unreportedChanges.push_back(
        {.fingerprint = fingerprint, .endpoints = entry.endpoints, .ranAlone = entry.ranAlone, .cleared = cleared});
}

void CrashQuarantine::evictIfFull(TimePoint now)
{
    if (m_entries.size() < m_options.maxSuspects) {
        return;
    }
    std::erase_if(m_entries, [&](const auto &item) {
        return now - item.second.changedAt > m_options.retention;
    });
    while (m_entries.size() >= m_options.maxSuspects) {
        const auto oldest =
            std::min_element(m_entries.begin(), m_entries.end(), [](const auto &left, const auto &right) {
                return left.second.changedAt < right.second.changedAt;
            });
        m_entries.erase(oldest);
    }
}

} // namespace bergamot
