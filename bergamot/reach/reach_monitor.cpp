#include "bergamot/reach/reach_monitor.h"

#include <algorithm>

namespace bergamot::reach
{

ReachMonitor::ReachMonitor(ReachMonitorOptions options, std::uint64_t seed)
    : m_options(options)
    , m_random(seed)
{ }

void ReachMonitor::setEndpoints(const std::set<Address> &endpoints)
{
    m_endpoints = endpoints;
    const auto gone = [this](const Address &address) {
        return !m_endpoints.contains(address);
    };
    std::erase_if(m_failed, gone);
    std::erase_if(m_connected, gone);
    m_cutOff = m_cutOff && !m_endpoints.empty();
}

void ReachMonitor::connected(const Address &address, TimePoint now)
{
    if (!m_endpoints.contains(address)) {
        return;
    }
    m_connectedAt = now;
    m_probeRequested = false;
    m_failed.clear();
    if (!m_cutOff) {
        return;
    }
    m_connected.insert(address);
    if (m_connected.size() >= atMostAll(m_options.connectionsToReturn)) {
        m_cutOff = false;
        m_connected.clear();
    }
}

void ReachMonitor::failed(const Address &address)
{
    if (!m_endpoints.contains(address)) {
        return;
    }
    m_failed.insert(address);
    m_connected.clear();
    m_cutOff = m_cutOff || m_failed.size() >= atMostAll(m_options.failuresToCutOff);
}

void ReachMonitor::requestProbe()
{
    m_probeRequested = true;
}

bool ReachMonitor::cutOff() const
{
    return m_cutOff;
}

bool ReachMonitor::suspects() const
{
    return !m_failed.empty();
}

bool ReachMonitor::connectedSince(TimePoint since) const
{
    return m_connectedAt != TimePoint{} && m_connectedAt >= since;
}

bool ReachMonitor::reachedSince(TimePoint since) const
{
    return m_endpoints.empty() || connectedSince(since);
}

std::vector<Address> ReachMonitor::takeProbes(TimePoint now)
{
    const bool wanted = m_cutOff || !m_failed.empty() || m_probeRequested;
    const bool answered = !m_cutOff && m_failed.empty() && m_connectedAt >= m_probedAt;
    if (!wanted || (!answered && now - m_probedAt < m_options.probeInterval)) {
        return {};
    }
    m_probedAt = now;
    m_probeRequested = false;
    std::vector<Address> candidates;
    for (const Address &endpoint : m_endpoints) {
        // An endpoint that failed a moment ago says nothing new, unless it may be back.
        if (m_cutOff || !m_failed.contains(endpoint)) {
            candidates.push_back(endpoint);
        }
    }
    std::shuffle(candidates.begin(), candidates.end(), m_random);
    candidates.resize(std::min(candidates.size(), m_options.probesPerRound));
    return candidates;
}

std::size_t ReachMonitor::atMostAll(std::size_t count) const
{
    return std::min(count, m_endpoints.size());
}

} // namespace bergamot::reach
