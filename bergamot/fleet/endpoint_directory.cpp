#include "bergamot/fleet/endpoint_directory.h"

namespace bergamot::fleet
{

bool EndpointDirectory::put(Endpoint endpoint)
{
    m_missingUntil.erase(endpoint.id);
    const auto found = m_endpoints.find(endpoint.id);
    if (found != m_endpoints.end() && found->second == endpoint) {
        return false;
    }
    const std::string id = endpoint.id;
    m_endpoints.insert_or_assign(id, std::move(endpoint));
    return true;
}

bool EndpointDirectory::remove(const std::string &id, TimePoint now)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end()) {
        return false;
    }
    if (now < m_keepMissingUntil && !found->second.draining) {
        m_missingUntil.emplace(id, m_keepMissingUntil);
        return false;
    }
    m_missingUntil.erase(id);
    m_endpoints.erase(found);
    return true;
}

bool EndpointDirectory::replace(std::map<std::string, Endpoint> endpoints, TimePoint now)
{
    bool changed = false;
    std::vector<std::string> unregistered;
    for (const auto &[id, endpoint] : m_endpoints) {
        if (!endpoints.contains(id)) {
            unregistered.push_back(id);
        }
    }
    for (const std::string &id : unregistered) {
        changed = remove(id, now) || changed;
    }
    for (auto &[id, endpoint] : endpoints) {
        changed = put(std::move(endpoint)) || changed;
    }
    return changed;
}

void EndpointDirectory::storeRecovered(TimePoint now)
{
    m_keepMissingUntil = now + m_options.reregistrationTime;
}

bool EndpointDirectory::expire(TimePoint confirmedAt)
{
    bool changed = false;
    for (auto missing = m_missingUntil.begin(); missing != m_missingUntil.end();) {
        if (missing->second > confirmedAt) {
            ++missing;
            continue;
        }
        changed = m_endpoints.erase(missing->first) > 0 || changed;
        missing = m_missingUntil.erase(missing);
    }
    return changed;
}

} // namespace bergamot::fleet
