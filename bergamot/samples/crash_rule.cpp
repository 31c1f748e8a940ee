#include "bergamot/samples/crash_rule.h"

namespace bergamot
{

namespace
{

constexpr std::size_t MinCrashedEngines = 2;
constexpr std::uint32_t MaxDeaths = 3; // limit if only one engine is available

} // namespace

bool CrashRule::mayStart(const GroupKey &group, const EndpointId &engine) const
{
    const auto suspect = m_suspects.find(group);
    if (suspect == m_suspects.end()) {
        return true;
    }
    return suspect->second.probeEngine.empty() && !m_probes.contains(engine);
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
    }
}

bool CrashRule::exceedsCrashLimit(const SuspectState &suspectState) const
{
    return suspectState.engines.size() >= MinCrashedEngines || suspectState.deaths >= MaxDeaths;
}

std::vector<GroupKey> CrashRule::recordEngineDeath(const EndpointId &engine, const std::set<GroupKey> &inFlight)
{
    const auto probe = m_probes.find(engine);
    std::set<GroupKey> suspects = inFlight;
    if (probe != m_probes.end()) {
        suspects = {probe->second};
        m_probes.erase(probe);
    }
    std::vector<GroupKey> result;
    for (const GroupKey &group : suspects) {
        SuspectState &suspectState = m_suspects[group];
        const bool wasProbe = suspectState.probeEngine == engine;
        suspectState.engines.insert(engine);
        ++suspectState.deaths;
        suspectState.probeEngine = wasProbe ? EndpointId() : suspectState.probeEngine;
        if (wasProbe && exceedsCrashLimit(suspectState)) {
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
