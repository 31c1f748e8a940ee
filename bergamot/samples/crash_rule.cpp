#include "bergamot/samples/crash_rule.h"

namespace bergamot
{

namespace
{

constexpr std::size_t DistinctEngines = 2;
constexpr std::uint32_t MaxDeaths = 3; // where there is only one engine to try

} // namespace

bool CrashRule::mayStart(const GroupKey &group, const EndpointId &engine) const
{
    const auto suspect = m_suspects.find(group);
    if (suspect == m_suspects.end()) {
        return true;
    }
    return suspect->second.watchedOn.empty() && !m_watched.contains(engine);
}

bool CrashRule::isHeld(const GroupKey &group) const
{
    const auto suspect = m_suspects.find(group);
    return suspect != m_suspects.end() && !suspect->second.watchedOn.empty();
}

void CrashRule::started(const GroupKey &group, const EndpointId &engine)
{
    const auto suspect = m_suspects.find(group);
    if (suspect != m_suspects.end()) {
        suspect->second.watchedOn = engine;
        m_watched[engine] = group;
    }
}

void CrashRule::ended(const GroupKey &group, const EndpointId &engine, bool whole)
{
    const auto suspect = m_suspects.find(group);
    if (suspect == m_suspects.end()) {
        return;
    }
    if (whole || suspect->second.watchedOn == engine) {
        m_watched.erase(suspect->second.watchedOn);
        suspect->second.watchedOn = EndpointId();
    }
    if (whole) {
        m_suspects.erase(suspect);
    }
}

bool CrashRule::givenUp(const Suspicion &suspicion) const
{
    return suspicion.engines.size() >= DistinctEngines || suspicion.deaths >= MaxDeaths;
}

std::vector<GroupKey> CrashRule::engineDied(const EndpointId &engine, const std::set<GroupKey> &inFlight)
{
    const auto watched = m_watched.find(engine);
    std::set<GroupKey> blamed = inFlight;
    if (watched != m_watched.end()) {
        blamed = {watched->second};
        m_watched.erase(watched);
    }
    std::vector<GroupKey> result;
    for (const GroupKey &group : blamed) {
        Suspicion &suspicion = m_suspects[group];
        const bool underWatch = suspicion.watchedOn == engine;
        suspicion.engines.insert(engine);
        ++suspicion.deaths;
        suspicion.watchedOn = underWatch ? EndpointId() : suspicion.watchedOn;
        if (underWatch && givenUp(suspicion)) {
            result.push_back(group);
        }
    }
    return result;
}

std::vector<EndpointId> CrashRule::enginesDiedUnder(const GroupKey &group) const
{
    const auto suspect = m_suspects.find(group);
    if (suspect == m_suspects.end()) {
        return {};
    }
    return {suspect->second.engines.begin(), suspect->second.engines.end()};
}

void CrashRule::suspect(const GroupKey &group, const std::set<EndpointId> &engines)
{
    m_suspects[group].engines.insert(engines.begin(), engines.end());
}

bool CrashRule::isSuspect(const GroupKey &group) const
{
    return m_suspects.contains(group);
}

void CrashRule::clear(const GroupKey &group)
{
    ended(group, EndpointId(), true);
}

void CrashRule::forget(const StepKey &step)
{
    std::erase_if(m_suspects, [&](const auto &entry) {
        return entry.first.step == step;
    });
    std::erase_if(m_watched, [&](const auto &entry) {
        return entry.second.step == step;
    });
}

} // namespace bergamot
