#include "bergamot/fleet/endpoint_directory.h"

namespace bergamot::fleet
{

bool EndpointDirectory::put(Endpoint endpoint)
{
    m_missing.erase(endpoint.id);
    const auto found = m_listed.find(endpoint.id);
    if (found != m_listed.end() && found->second == endpoint) {
        return false;
    }
    const std::string id = endpoint.id;
    m_listed.insert_or_assign(id, std::move(endpoint));
    return true;
}

bool EndpointDirectory::remove(const std::string &id, TimePoint now)
{
    const auto found = m_listed.find(id);
    if (found == m_listed.end()) {
        return false;
    }
    if (now < m_forgiveUntil && !found->second.draining) {
        m_missing.emplace(id, m_forgiveUntil);
        return false;
    }
    m_missing.erase(id);
    m_listed.erase(found);
    return true;
}

bool EndpointDirectory::replace(std::map<std::string, Endpoint> listed, TimePoint now)
{
    bool changed = false;
    std::vector<std::string> gone;
    for (const auto &[id, endpoint] : m_listed) {
        if (!listed.contains(id)) {
            gone.push_back(id);
        }
    }
    for (const std::string &id : gone) {
        changed = remove(id, now) || changed;
    }
    for (auto &[id, endpoint] : listed) {
        changed = put(std::move(endpoint)) || changed;
    }
    return changed;
}

void EndpointDirectory::storeReturned(TimePoint now)
{
    m_forgiveUntil = now + m_options.relistTime;
}

bool EndpointDirectory::expire(TimePoint now)
{
    bool changed = false;
    for (auto missing = m_missing.begin(); missing != m_missing.end();) {
        if (missing->second > now) {
            ++missing;
            continue;
        }
        changed = m_listed.erase(missing->first) > 0 || changed;
        missing = m_missing.erase(missing);
    }
    return changed;
}

} // namespace bergamot::fleet
