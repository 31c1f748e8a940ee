#include "bergamot/fleet/endpoint_directory.h"

#include <algorithm>

namespace bergamot::fleet
{

namespace
{

/// An entry without an incarnation does not show that the endpoint has started again.
bool mayBeSame(std::uint64_t left, std::uint64_t right)
{
    return left == 0 || right == 0 || left == right;
}

} // namespace

bool EndpointDirectory::put(Endpoint endpoint)
{
    m_missingUntil.erase(endpoint.id);
    endpoint.saidLeaving = saidLeaving(endpoint.id, endpoint.incarnation);
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
    entryGone(id, now);
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

bool EndpointDirectory::markLeaving(const std::string &id, std::uint64_t incarnation, TimePoint now)
{
    const auto registered = m_endpoints.find(id);
    const bool isRegistered = registered != m_endpoints.end();
    if (isRegistered ? !mayBeSame(registered->second.incarnation, incarnation) : incarnation == 0) {
        return false;
    }
    const auto known = m_leaving.find(id);
    if (known != m_leaving.end() && mayBeSame(known->second.incarnation, incarnation)) {
        return false;
    }
    LeavingMark mark{.incarnation = incarnation, .unregisteredSince = std::nullopt};
    if (isRegistered) {
        registered->second.saidLeaving = true;
    } else {
        mark.unregisteredSince = now;
    }
    m_leaving.insert_or_assign(id, mark);
    return true;
}

bool EndpointDirectory::saidLeaving(const std::string &id, std::uint64_t incarnation)
{
    const auto known = m_leaving.find(id);
    if (known == m_leaving.end()) {
        return false;
    }
    if (!mayBeSame(known->second.incarnation, incarnation)) {
        m_leaving.erase(known);
        return false;
    }
    known->second.incarnation = std::max(known->second.incarnation, incarnation);
    known->second.unregisteredSince.reset();
    return true;
}

void EndpointDirectory::entryGone(const std::string &id, TimePoint now)
{
    const auto known = m_leaving.find(id);
    if (known == m_leaving.end()) {
        return;
    }
    if (known->second.incarnation == 0) {
        m_leaving.erase(known); // the next entry under the id cannot be told from this one
    } else {
        known->second.unregisteredSince = now;
    }
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
        entryGone(missing->first, confirmedAt);
        missing = m_missingUntil.erase(missing);
    }
    std::erase_if(m_leaving, [this, confirmedAt](const auto &known) {
        const std::optional<TimePoint> &since = known.second.unregisteredSince;
        return since && confirmedAt - *since > m_options.leavingMemory;
    });
    return changed;
}

} // namespace bergamot::fleet
