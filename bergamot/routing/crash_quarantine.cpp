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

SuspectReport toSuspectReport(const CrashReport &report)
{
    SuspectReport suspect{.fingerprint = report.fingerprint, .endpoints = {}, .cleared = report.cleared};
    for (const CrashUnderRequest &crash : report.crashes) {
        suspect.endpoints.insert(crash.process.endpoint);
        suspect.ranAlone = suspect.ranAlone || crash.alone;
    }
    return suspect;
}

CrashReport toCrashReport(const SuspectReport &report)
{
    CrashReport crashes{.fingerprint = report.fingerprint, .crashes = {}, .cleared = report.cleared};
    for (const EndpointId &endpoint : report.endpoints) {
        crashes.crashes.push_back({.process = {.endpoint = endpoint}, .alone = report.ranAlone});
    }
    return crashes;
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
    if (found == m_entries.end() || found->second.crashes.empty()
        || now - found->second.changedAt > m_options.retention) {
        return QuarantineStatus::Clear;
    }
    const Entry &entry = found->second;
    return now - entry.changedAt < refusal(entry) ? QuarantineStatus::Refused : QuarantineStatus::Suspect;
}

Duration CrashQuarantine::refusedFor(std::uint64_t fingerprint, TimePoint now) const
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end()) {
        return {};
    }
    return std::max(Duration::zero(), found->second.changedAt + refusal(found->second) - now);
}

Duration CrashQuarantine::refusal(const Entry &entry) const
{
    const std::size_t crashes = entry.crashes.size();
    const bool blamed =
        crashes >= m_options.maxCrashes || (crashes >= m_options.endpointsToRefuse && isOnlySuspect(entry));
    if (!blamed) {
        return {};
    }
    return crashes > m_options.endpointsToRefuse ? m_options.retention : m_options.firstRefusal;
}

bool CrashQuarantine::isOnlySuspect(const Entry &entry) const
{
    return std::any_of(entry.crashes.begin(), entry.crashes.end(), [&](const auto &crash) {
        const auto others = std::count_if(m_entries.begin(), m_entries.end(), [&](const auto &other) {
            return &other.second != &entry && other.second.crashes.contains(crash.first);
        });
        return crash.second.alone && others == 0;
    });
}

void CrashQuarantine::recordEndpointLoss(std::uint64_t fingerprint,
                                         const EndpointProcess &process,
                                         RunMode mode,
                                         TimePoint now)
{
    evictIfFull(now);
    Entry &entry = m_entries[fingerprint];
    const bool alone = mode == RunMode::Alone;
    if (!entry.crashes.empty() && !alone) {
        return;
    }
    Crash &crash = entry.crashes[process];
    crash = {.at = now, .alone = crash.alone || alone, .observed = true};
    entry.changedAt = now;
    scheduleReport(fingerprint, alone ? now : now + m_options.reportDelay);
}

void CrashQuarantine::recordBrokenStream(std::uint64_t fingerprint,
                                         const EndpointProcess &process,
                                         RunMode mode,
                                         TimePoint now)
{
    if (m_brokenStreams.size() >= m_options.maxSuspects) {
        std::erase_if(m_brokenStreams, [&](const auto &item) {
            return now - item.second.at > m_options.firstRefusal;
        });
    }
    if (m_brokenStreams.size() >= m_options.maxSuspects) {
        m_brokenStreams.clear();
    }
    BrokenStreams &broken = m_brokenStreams[fingerprint];
    broken.processes.insert(process);
    broken.at = now;
    if (mode == RunMode::Alone || broken.processes.size() >= m_options.brokenStreamsToSuspect) {
        recordEndpointLoss(fingerprint, process, mode, now);
    }
}

bool CrashQuarantine::recordAlive(const EndpointProcess &process, TimePoint aliveAt, TimePoint now)
{
    return retractCrashes(
        process,
        [aliveAt](const Crash &crash) {
            return crash.at < aliveAt;
        },
        now);
}

bool CrashQuarantine::recordAnswered(const EndpointProcess &process, TimePoint since, TimePoint now)
{
    return retractCrashes(
        process,
        [since](const Crash &crash) {
            return crash.at > since;
        },
        now);
}

bool CrashQuarantine::retractCrashes(const EndpointProcess &process,
                                     const std::function<bool(const Crash &)> &survived,
                                     TimePoint now)
{
    bool changed = false;
    for (auto &[fingerprint, entry] : m_entries) {
        const auto crash = entry.crashes.find(process);
        if (crash == entry.crashes.end() || !survived(crash->second)) {
            continue;
        }
        changed = true;
        const bool observed = crash->second.observed;
        entry.crashes.erase(crash);
        entry.changedAt = now;
        if (!entry.crashes.empty()) {
            continue;
        }
        m_reportsDue.erase(fingerprint);
        if (observed && entry.reported) {
            scheduleReport(fingerprint, now); // the instances that did not observe the crash leave that to this one
        }
    }
    return changed;
}

void CrashQuarantine::recordFinished(std::uint64_t fingerprint, TimePoint now)
{
    m_brokenStreams.erase(fingerprint);
    if (m_entries.empty()) {
        return;
    }
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || found->second.crashes.empty()) {
        return;
    }
    Entry &entry = found->second;
    entry = Entry{.crashes = {}, .changedAt = now, .clearedAt = now, .reported = entry.reported};
    m_reportsDue.erase(fingerprint);
    if (entry.reported) {
        scheduleReport(fingerprint, now);
    }
}

bool CrashQuarantine::hasCrashed(std::uint64_t fingerprint, const EndpointId &endpoint) const
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end()) {
        return false;
    }
    const auto crash = found->second.crashes.lower_bound({endpoint, 0});
    return crash != found->second.crashes.end() && crash->first.endpoint == endpoint;
}

void CrashQuarantine::merge(const std::vector<CrashReport> &reports, TimePoint now)
{
    for (const CrashReport &report : reports) {
        const auto found = m_entries.find(report.fingerprint);
        if (report.cleared) {
            if (found != m_entries.end()) {
                found->second = Entry{.crashes = {}, .changedAt = now, .clearedAt = now};
                m_reportsDue.erase(report.fingerprint);
            }
            continue;
        }
        if (found != m_entries.end() && found->second.clearedAt != TimePoint{}
            && now - found->second.clearedAt < ClearedHoldTime) {
            continue;
        }
        evictIfFull(now);
        Entry &entry = m_entries[report.fingerprint];
        entry.reported = true;
        for (const CrashUnderRequest &reported : report.crashes) {
            const auto [crash, added] = entry.crashes.try_emplace(reported.process, Crash{.at = now});
            if (added || (reported.alone && !crash->second.alone)) {
                crash->second.alone = crash->second.alone || reported.alone;
                entry.changedAt = now;
            }
        }
    }
}

std::vector<CrashReport> CrashQuarantine::takeChanges(TimePoint now)
{
    std::vector<CrashReport> changes;
    for (auto due = m_reportsDue.begin(); due != m_reportsDue.end();) {
        if (due->second > now) {
            ++due;
            continue;
        }
        const auto entry = m_entries.find(due->first);
        if (entry != m_entries.end()) {
            CrashReport report{.fingerprint = due->first, .crashes = {}, .cleared = entry->second.crashes.empty()};
            for (const auto &[process, crash] : entry->second.crashes) {
                report.crashes.push_back({.process = process, .alone = crash.alone});
            }
            entry->second.reported = !report.cleared;
            changes.push_back(std::move(report));
        }
        due = m_reportsDue.erase(due);
    }
    return changes;
}

std::size_t CrashQuarantine::size() const
{
    return m_entries.size();
}

void CrashQuarantine::scheduleReport(std::uint64_t fingerprint, TimePoint at)
{
    const auto [due, added] = m_reportsDue.try_emplace(fingerprint, at);
    if (!added) {
        due->second = std::min(due->second, at);
    }
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
