#include "bergamot/batch/suspect_index.h"

#include <algorithm>

namespace bergamot::batch
{

void SuspectIndex::apply(const CrashReport &report, TimePoint now)
{
    const auto known = std::find_if(m_entries.begin(), m_entries.end(), [&](const Entry &entry) {
        return entry.suspect.fingerprint == report.fingerprint;
    });
    if (report.cleared) {
        if (known != m_entries.end()) {
            m_entries.erase(known);
        }
        return;
    }
    if (known == m_entries.end() && m_entries.size() >= m_options.maxSuspects) {
        m_entries.pop_front();
    }
    Entry &entry = known == m_entries.end()
        ? m_entries.emplace_back(Entry{.suspect = {.fingerprint = report.fingerprint}})
        : *known;
    std::vector<CrashUnderRequest> &crashes = entry.suspect.crashes;
    for (const CrashUnderRequest &reported : report.crashes) {
        const auto crash = std::find_if(crashes.begin(), crashes.end(), [&](const CrashUnderRequest &other) {
            return other.process == reported.process;
        });
        if (crash != crashes.end()) {
            crash->alone = crash->alone || reported.alone;
        } else if (crashes.size() < m_options.maxCrashes) {
            crashes.push_back(reported);
            entry.changedAt = now;
        }
    }
}

std::vector<CrashReport> SuspectIndex::suspects() const
{
    std::vector<CrashReport> result;
    result.reserve(m_entries.size());
    for (const Entry &entry : m_entries) {
        result.push_back(entry.suspect);
    }
    return result;
}

void SuspectIndex::restore(const std::vector<CrashReport> &suspects, TimePoint now)
{
    m_entries.clear();
    for (const CrashReport &suspect : suspects) {
        apply(suspect, now);
    }
}

void SuspectIndex::expire(TimePoint now)
{
    std::erase_if(m_entries, [&](const Entry &entry) {
        return now - entry.changedAt > m_options.retention;
    });
}

} // namespace bergamot::batch
