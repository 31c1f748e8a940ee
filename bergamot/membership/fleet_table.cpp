#include "bergamot/membership/fleet_table.h"

#include <limits>

namespace bergamot
{

namespace
{

constexpr std::uint64_t LoadAgeUnitMilliseconds = 100;

/// Hashes a sequence of fields. A terminator after each field keeps different sequences distinct.
class Fingerprint
{
public:
    Fingerprint &add(const std::string &text)
    {
        m_text += text;
        m_text += '\0';
        return *this;
    }
    Fingerprint &add(std::uint64_t number)
    {
        return add(std::to_string(number));
    }
    std::uint64_t value() const
    {
        return stableHash(m_text);
    }

private:
    std::string m_text;
};

template<typename Small>
Small saturate(std::uint64_t number)
{
    return static_cast<Small>(std::min<std::uint64_t>(number, std::numeric_limits<Small>::max()));
}

template<typename T>
std::vector<std::unique_ptr<T>> copyRows(const DeltaTable<T> &table, std::uint64_t since)
{
    std::vector<std::unique_ptr<T>> copies;
    table.changedSince(since, [&copies](const std::string &, const T &value) {
        copies.push_back(std::make_unique<T>(value));
    });
    return copies;
}

template<typename T>
std::vector<std::string> copyRemoved(const DeltaTable<T> &table, std::uint64_t since)
{
    std::vector<std::string> names;
    table.removedSince(since, [&names](const std::string &name) {
        names.push_back(name);
    });
    return names;
}

template<typename T, typename NameOf>
void putRows(DeltaTable<T> &table, const std::vector<std::unique_ptr<T>> &rows, NameOf nameOf, std::uint64_t tick)
{
    for (const std::unique_ptr<T> &row : rows) {
        table.put(nameOf(*row), *row, fingerprintOf(*row), tick);
    }
}

template<typename T>
void removeRows(DeltaTable<T> &table, const std::vector<std::string> &names, std::uint64_t tick)
{
    for (const std::string &name : names) {
        table.remove(name, tick);
    }
}

} // namespace

std::uint64_t fingerprintOf(const inner::EndpointT &endpoint)
{
    return Fingerprint()
        .add(endpoint.serves)
        .add(endpoint.domain)
        .add(endpoint.address)
        .add(static_cast<std::uint64_t>(endpoint.kind))
        .add(endpoint.leaving ? 1 : 0)
        .add(endpoint.reachable ? 1 : 0)
        .add(endpoint.version)
        .add(endpoint.loading)
        .add(endpoint.slots)
        .value();
}

std::uint64_t fingerprintOf(const inner::MemberStatusT &member)
{
    return Fingerprint()
        .add(member.domain)
        .add(member.control_address)
        .add(member.entry_address)
        .add(member.config_version)
        .add(member.draining ? 1 : 0)
        .add(member.silent_ms > 0 ? 1 : 0)
        .value();
}

std::uint64_t fingerprintOf(const inner::SuspectT &suspect)
{
    Fingerprint hash;
    hash.add(suspect.cleared ? 1 : 0).add(suspect.ran_alone ? 1 : 0);
    for (const std::string &endpoint : suspect.endpoints) {
        hash.add(endpoint);
    }
    return hash.value();
}

std::uint64_t fingerprintOf(const inner::DomainSummaryT &summary)
{
    Fingerprint hash;
    hash.add(summary.members)
        .add(summary.config_version)
        .add(summary.newest_version)
        .add(summary.silent_ms > 0 ? 1 : 0);
    for (const std::string &name : summary.behind) {
        hash.add(name);
    }
    hash.add("absent");
    for (const std::string &name : summary.absent) {
        hash.add(name);
    }
    return hash.value();
}

std::uint64_t fingerprintOf(const inner::PublishedVersionT &published)
{
    return published.version;
}

FleetTable::FleetTable(FailureDomainId domain)
    : m_domain(std::move(domain))
{ }

inner::ViewDeltaT FleetTable::deltaSince(std::uint64_t since, std::uint64_t tick) const
{
    inner::ViewDeltaT delta;
    delta.since = since;
    delta.tick = tick;
    delta.endpoints = copyRows(endpoints, since);
    delta.removed_endpoints = copyRemoved(endpoints, since);
    delta.members = copyRows(members, since);
    delta.removed_members = copyRemoved(members, since);
    delta.suspects = copyRows(suspects, since);
    delta.removed_suspects = copyRemoved(suspects, since);
    delta.domains = copyRows(domains, since);
    delta.published = copyRows(published, since);
    delta.names_hash = namesHash();
    delta.loads = loads(Scope::OwnDomain);
    delta.remote_loads = loads(Scope::OtherDomains);
    return delta;
}

bool FleetTable::apply(const inner::ViewDeltaT &delta)
{
    if (delta.since == 0) {
        endpoints.clear();
        members.clear();
        suspects.clear();
        domains.clear();
    }
    applyRows(delta);
    if (namesHash() != delta.names_hash) {
        return false;
    }
    applyLoads(delta.loads, Scope::OwnDomain);
    applyLoads(delta.remote_loads, Scope::OtherDomains);
    return true;
}

void FleetTable::applyRows(const inner::ViewDeltaT &delta)
{
    const std::uint64_t tick = delta.tick;
    removeRows(endpoints, delta.removed_endpoints, tick);
    removeRows(members, delta.removed_members, tick);
    removeRows(suspects, delta.removed_suspects, tick);
    putRows(
        endpoints,
        delta.endpoints,
        [](const inner::EndpointT &row) {
            return row.id;
        },
        tick);
    putRows(
        members,
        delta.members,
        [](const inner::MemberStatusT &row) {
            return row.instance;
        },
        tick);
    putRows(
        suspects,
        delta.suspects,
        [](const inner::SuspectT &row) {
            return std::to_string(row.fingerprint);
        },
        tick);
    putRows(
        domains,
        delta.domains,
        [](const inner::DomainSummaryT &row) {
            return row.domain;
        },
        tick);
    for (const auto &version : delta.published) {
        mergePublished(*version, tick);
    }
}

inner::ViewT FleetTable::view() const
{
    inner::ViewT view;
    view.endpoints = copyRows(endpoints, 0);
    view.members = copyRows(members, 0);
    view.suspects = copyRows(suspects, 0);
    view.published = copyRows(published, 0);
    return view;
}

void FleetTable::mergeSuspect(const inner::SuspectT &suspect, std::uint64_t tick)
{
    const std::string name = std::to_string(suspect.fingerprint);
    inner::SuspectT merged = suspect;
    if (const auto known = suspects.rows().find(name); known != suspects.rows().end()) {
        const inner::SuspectT &before = known->second.value;
        const std::set<std::string> old(before.endpoints.begin(), before.endpoints.end());
        std::set<std::string> all = old;
        all.insert(suspect.endpoints.begin(), suspect.endpoints.end());
        merged.ran_alone = suspect.ran_alone || before.ran_alone;
        merged.cleared = suspect.cleared || (before.cleared && all == old);
        merged.endpoints.assign(all.begin(), all.end());
    }
    const std::uint64_t fingerprint = fingerprintOf(merged);
    suspects.put(name, std::move(merged), fingerprint, tick);
}

void FleetTable::markAllChanged(std::uint64_t tick)
{
    endpoints.markAllChanged(tick);
    members.markAllChanged(tick);
    suspects.markAllChanged(tick);
    domains.markAllChanged(tick);
    published.markAllChanged(tick);
}

void FleetTable::mergePublished(const inner::PublishedVersionT &version, std::uint64_t tick)
{
    const auto known = published.rows().find(version.model);
    if (known == published.rows().end() || known->second.value.version < version.version) {
        published.put(version.model, version, fingerprintOf(version), tick);
    }
}

std::uint64_t FleetTable::namesHash() const
{
    return stableHash(std::to_string(endpoints.namesHash()) + ' ' + std::to_string(members.namesHash()) + ' '
                      + std::to_string(suspects.namesHash()));
}

bool FleetTable::isIn(const inner::EndpointT &endpoint, Scope scope) const
{
    return (endpoint.domain == m_domain.value()) == (scope == Scope::OwnDomain);
}

std::vector<inner::EndpointLoad> FleetTable::loads(Scope scope) const
{
    std::vector<inner::EndpointLoad> loads;
    for (const auto &[id, row] : endpoints.rows()) {
        if (isIn(row.value, scope)) {
            loads.emplace_back(saturate<std::uint16_t>(row.value.running),
                               saturate<std::uint8_t>(row.value.waiting),
                               saturate<std::uint8_t>(row.value.load_age_ms / LoadAgeUnitMilliseconds));
        }
    }
    return loads;
}

void FleetTable::applyLoads(const std::vector<inner::EndpointLoad> &loads, Scope scope)
{
    auto load = loads.begin();
    for (auto &[id, row] : endpoints.rows()) {
        if (!isIn(row.value, scope)) {
            continue;
        }
        if (load == loads.end()) {
            return;
        }
        row.value.running = load->running();
        row.value.waiting = load->waiting();
        row.value.load_age_ms = load->load_age() * LoadAgeUnitMilliseconds;
        ++load;
    }
}

} // namespace bergamot
