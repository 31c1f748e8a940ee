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

EntryOutcome outcomeOf(const Endpoint *before, const Endpoint &after)
{
    if (before != nullptr && *before == after) {
        return EntryOutcome::Unchanged;
    }
    const bool wasDraining = before != nullptr && before->draining;
    if (after.draining && !wasDraining) {
        return EntryOutcome::Draining;
    }
    if (before == nullptr) {
        return EntryOutcome::Listed;
    }
    if (before->incarnation != after.incarnation) {
        return EntryOutcome::Restarted;
    }
    return wasDraining && !after.draining ? EntryOutcome::ReadyAgain : EntryOutcome::Updated;
}

} // namespace

EntryOutcome EndpointDirectory::put(EndpointEntry entry)
{
    Endpoint &endpoint = entry.endpoint;
    if (!m_order[endpoint.id].admit({.incarnation = endpoint.incarnation, .sequence = entry.sequence})) {
        return EntryOutcome::Outdated;
    }
    m_missing.erase(endpoint.id);
    endpoint.saidLeaving = saidLeaving(endpoint.id, endpoint.incarnation);
    const auto found = m_endpoints.find(endpoint.id);
    const EntryOutcome outcome = outcomeOf(found == m_endpoints.end() ? nullptr : &found->second, endpoint);
    if (outcome != EntryOutcome::Unchanged) {
        const std::string id = endpoint.id;
        m_endpoints.insert_or_assign(id, std::move(endpoint));
    }
    return outcome;
}

EntryOutcome EndpointDirectory::remove(const std::string &id, TimePoint now)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end()) {
        return EntryOutcome::Unchanged;
    }
    m_order[id].remove(now);
    if (now < m_keepMissingUntil && !found->second.draining) {
        m_missing.emplace(id, Missing{.until = m_keepMissingUntil});
        return EntryOutcome::Kept;
    }
    m_missing.erase(id);
    m_endpoints.erase(found);
    entryGone(id, now);
    return EntryOutcome::Removed;
}

std::vector<EntryChange> EndpointDirectory::replace(std::map<std::string, EndpointEntry> entries,
                                                    const std::set<std::string> &except,
                                                    TimePoint now)
{
    std::vector<std::string> unregistered;
    for (const auto &[id, endpoint] : m_endpoints) {
        if (!entries.contains(id) && !except.contains(id)) {
            unregistered.push_back(id);
        }
    }
    std::vector<EntryChange> changes;
    const auto add = [&changes](const std::string &id, EntryOutcome outcome) {
        if (outcome != EntryOutcome::Unchanged) {
            changes.push_back({.id = id, .outcome = outcome});
        }
    };
    for (const std::string &id : unregistered) {
        add(id, remove(id, now));
    }
    for (auto &[id, entry] : entries) {
        if (!except.contains(id)) {
            add(id, put(std::move(entry)));
        }
    }
    return changes;
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

std::vector<std::string> EndpointDirectory::dropMissing(const std::function<bool(const Missing &)> &drops,
                                                        TimePoint now)
{
    std::vector<std::string> dropped;
    std::erase_if(m_missing, [&](const auto &entry) {
        const auto &[id, missing] = entry;
        if (!drops(missing)) {
            return false;
        }
        m_endpoints.erase(id);
        entryGone(id, now);
        dropped.push_back(id);
        return true;
    });
    return dropped;
}

std::vector<std::string> EndpointDirectory::confirmRemovals(TimePoint now)
{
    if (m_missing.empty()) {
        return {};
    }
    struct Entries
    {
        std::size_t all = 0;
        std::size_t missing = 0;
    };
    std::map<std::string, Entries> services;
    for (const auto &[id, endpoint] : m_endpoints) {
        Entries &entries = services[endpoint.service];
        ++entries.all;
        entries.missing += m_missing.contains(id) ? 1 : 0;
    }
    for (auto &[id, missing] : m_missing) {
        const Entries &entries = services.at(m_endpoints.at(id).service);
        missing.lostWithOthers = missing.lostWithOthers || 2 * entries.missing > entries.all;
    }
    return dropMissing(
        [](const Missing &missing) {
            return !missing.lostWithOthers;
        },
        now);
}

std::vector<std::string> EndpointDirectory::expire(TimePoint confirmedAt)
{
    std::vector<std::string> dropped = dropMissing(
        [confirmedAt](const Missing &missing) {
            return missing.until <= confirmedAt;
        },
        confirmedAt);
    std::erase_if(m_leaving, [this, confirmedAt](const auto &known) {
        const std::optional<TimePoint> &since = known.second.unregisteredSince;
        return since && confirmedAt - *since > m_options.leavingMemory;
    });
    std::erase_if(m_order, [this, confirmedAt](const auto &known) {
        const std::optional<TimePoint> since = known.second.removedAt();
        return since && confirmedAt - *since > m_options.leavingMemory;
    });
    return dropped;
}

} // namespace bergamot::fleet
