#include "bergamot/samples/crash_rule.h"

#include <algorithm>

namespace bergamot
{

namespace
{

constexpr std::size_t MinCrashedEngines = 2;
constexpr std::uint32_t MaxDeaths = 3; // limit if only one engine is available

} // namespace

CrashRule::CrashRule(CrashRuleOptions options)
    : m_options(options)
{ }

bool CrashRule::mayStart(const GroupKey &group, const EndpointId &engine) const
{
    const auto suspect = m_suspects.find(group);
    if (suspect == m_suspects.end()) {
        return true;
    }
    return suspect->second.probeEngine.empty() && !suspect->second.verdictAt && !m_probes.contains(engine);
}

bool CrashRule::isProbed(const GroupKey &group) const
{
    const auto suspect = m_suspects.find(group);
    return suspect != m_suspects.end() && !suspect->second.probeEngine.empty();
}

void CrashRule::recordStart(const GroupKey &group, const EndpointId &engine)
{
    const auto suspect = m_suspects.find(group);
    if (suspect != m_suspects.end()) {
        suspect->second.probeEngine = engine;
        m_probes[engine] = group;
    }
}

void CrashRule::recordEnd(const GroupKey &group, const EndpointId &engine, bool finished)
{
    const auto suspect = m_suspects.find(group);
    if (suspect == m_suspects.end()) {
        return;
    }
    if (finished || suspect->second.probeEngine == engine) {
        m_probes.erase(suspect->second.probeEngine);
        suspect->second.probeEngine = EndpointId();
    }
    if (finished) {
        m_suspects.erase(suspect);
        recordSound(group);
    }
}

void CrashRule::recordSound(const GroupKey &group)
{
    for (EngineDeath &death : m_deaths) {
        if (death.probed == group) {
            death.probed.reset();
            excuseOthers(death);
        }
    }
}

bool CrashRule::exceedsCrashLimit(const SuspectState &suspectState) const
{
    return suspectState.engines.size() >= MinCrashedEngines || suspectState.deaths >= MaxDeaths;
}

bool CrashRule::otherEngineCrashed(const GroupKey &group, TimePoint now) const
{
    return std::any_of(m_deaths.begin(), m_deaths.end(), [&](const EngineDeath &death) {
        return !death.probed && now - death.at <= m_options.burstWindow && !death.inFlight.contains(group);
    });
}

void CrashRule::excuseOthers(const EngineDeath &death)
{
    for (auto &[group, suspectState] : m_suspects) {
        const Duration between = std::chrono::abs(death.at - suspectState.lastDeathAt);
        if (!death.inFlight.contains(group) && between <= m_options.burstWindow) {
            suspectState.engines.clear();
            suspectState.deaths = 0;
        }
    }
}

void CrashRule::recordEngineDeath(const EndpointId &engine, const std::set<GroupKey> &inFlight, TimePoint now)
{
    std::erase_if(m_deaths, [&](const EngineDeath &death) {
        return now - death.at > m_options.burstWindow + m_options.verdictDelay;
    });
    const auto probe = m_probes.find(engine);
    std::set<GroupKey> suspects = inFlight;
    if (probe != m_probes.end()) {
        suspects = {probe->second};
        m_deaths.push_back({.at = now, .inFlight = inFlight, .probed = probe->second});
        m_probes.erase(probe);
    } else {
        m_deaths.push_back({.at = now, .inFlight = inFlight, .probed = std::nullopt});
        excuseOthers(m_deaths.back());
    }
    for (const GroupKey &group : suspects) {
        SuspectState &suspectState = m_suspects[group];
        const bool wasProbe = suspectState.probeEngine == engine;
        suspectState.probeEngine = wasProbe ? EndpointId() : suspectState.probeEngine;
        if (otherEngineCrashed(group, now)) {
            continue;
        }
        suspectState.engines.insert(engine);
        ++suspectState.deaths;
        suspectState.lastDeathAt = now;
        if (wasProbe && exceedsCrashLimit(suspectState)) {
            suspectState.verdictAt = now + m_options.verdictDelay;
        }
    }
}

std::vector<GroupKey> CrashRule::takeGivenUp(TimePoint now)
{
    std::vector<GroupKey> result;
    for (auto &[group, suspectState] : m_suspects) {
        if (!suspectState.verdictAt || now < *suspectState.verdictAt) {
            continue;
        }
        suspectState.verdictAt.reset();
        if (exceedsCrashLimit(suspectState)) {
            result.push_back(group);
        }
    }
    return result;
}

std::vector<EndpointId> CrashRule::crashedEngines(const GroupKey &group) const
{
    const auto suspect = m_suspects.find(group);
    if (suspect == m_suspects.end()) {
        return {};
    }
    return {suspect->second.engines.begin(), suspect->second.engines.end()};
}

void CrashRule::addSuspect(const GroupKey &group, const std::set<EndpointId> &engines)
{
    m_suspects[group].engines.insert(engines.begin(), engines.end());
}

bool CrashRule::isSuspect(const GroupKey &group) const
{
    return m_suspects.contains(group);
}

void CrashRule::clearSuspect(const GroupKey &group)
{
    recordEnd(group, EndpointId(), true);
}

void CrashRule::removeStep(const StepKey &step)
{
    std::erase_if(m_suspects, [&](const auto &entry) {
        return entry.first.step == step;
    });
    std::erase_if(m_probes, [&](const auto &entry) {
        return entry.second.step == step;
    });
}

} // namespace bergamot
