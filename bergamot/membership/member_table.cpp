#include "bergamot/membership/member_table.h"

#include <algorithm>
#include <set>
#include <utility>

namespace bergamot
{

namespace
{

inner::MemberStatusT toStatus(const Member &member)
{
    inner::MemberStatusT status;
    status.instance = member.instance.value();
    status.domain = member.domain.value();
    status.control_address = member.controlAddress;
    status.entry_address = member.entryAddress;
    status.config_version = member.configVersion;
    status.draining = member.draining;
    return status;
}

} // namespace

MemberTable::MemberTable(Member self, MemberTimeouts times)
    : m_self(std::move(self))
    , m_timeouts(times)
{ }

const Member &MemberTable::self() const
{
    return m_self;
}

void MemberTable::setDraining()
{
    m_self.draining = true;
}

void MemberTable::setConfigVersion(std::uint64_t version)
{
    m_self.configVersion = std::max(m_self.configVersion, version);
}

MemberTable::Entry &MemberTable::entryOf(const InstanceId &instance, const FailureDomainId &domain, TimePoint now)
{
    const auto [entry, isNew] = m_entries.try_emplace(instance);
    if (isNew) {
        entry->second.member.instance = instance;
        entry->second.firstSeen = now;
    }
    entry->second.member.domain = domain;
    return entry->second;
}

void MemberTable::recordContact(const Member &member, TimePoint now)
{
    if (member.instance == m_self.instance || member.instance.empty()) {
        return;
    }
    Entry &entry = entryOf(member.instance, member.domain, now);
    entry.member = member;
    entry.lastContact = now;
    entry.failures = 0;
}

void MemberTable::recordAnswer(const InstanceId &instance, TimePoint now)
{
    if (const auto entry = m_entries.find(instance); entry != m_entries.end()) {
        entry->second.lastContact = now;
        entry->second.failures = 0;
    }
}

void MemberTable::recordAnswerWithStatus(const inner::MemberStatusT &status, TimePoint now)
{
    recordContact({InstanceId(status.instance),
                   FailureDomainId(status.domain),
                   status.control_address,
                   status.entry_address,
                   status.config_version,
                   status.draining},
                  now);
}

void MemberTable::recordNoAnswer(const InstanceId &instance, TimePoint now)
{
    if (const auto entry = m_entries.find(instance); entry != m_entries.end()) {
        ++entry->second.failures;
        entry->second.lastFailure = now;
    }
}

void MemberTable::applyRelayStatus(const inner::MemberStatusT &status, TimePoint now)
{
    const InstanceId instance(status.instance);
    if (instance == m_self.instance || instance.empty()) {
        return;
    }
    Entry &entry = entryOf(instance, FailureDomainId(status.domain), now);
    entry.member.controlAddress = status.control_address;
    entry.member.entryAddress = status.entry_address;
    entry.member.configVersion = status.config_version;
    entry.member.draining = status.draining;
    entry.presentByRelay = status.silent_ms == 0;
}

void MemberTable::applyRelayRemoval(const InstanceId &instance)
{
    m_entries.erase(instance);
}

void MemberTable::applyList(const std::vector<ListedMember> &list, TimePoint now)
{
    for (auto &[instance, entry] : m_entries) {
        entry.isListed = false;
    }
    for (const ListedMember &listedMember : list) {
        const InstanceId instance(listedMember.id);
        if (listedMember.kind != ListedKind::Instance || instance == m_self.instance) {
            continue;
        }
        Entry &entry = entryOf(instance, listedMember.domain, now);
        entry.isListed = true;
        entry.isListedLeaving = listedMember.state == ListedState::Leaving;
        entry.lastListed = now;
        entry.member.controlAddress = toString(listedMember.address);
    }
}

void MemberTable::startFailureDetection(TimePoint now)
{
    for (auto &[instance, entry] : m_entries) {
        const bool wasPresent = std::exchange(entry.presentByRelay, std::nullopt).value_or(false);
        if (wasPresent && entry.member.domain == m_self.domain) {
            entry.lastContact = now;
        }
        entry.isListed = entry.isListed || wasPresent; // until this instance has fetched the list itself
    }
}

void MemberTable::applyRemoteAbsences(const FailureDomainId &domain, const std::vector<std::string> &names)
{
    const std::set<std::string> absent(names.begin(), names.end());
    for (auto &[instance, entry] : m_entries) {
        if (entry.member.domain == domain) {
            entry.presentByRelay = absent.contains(instance.value()) ? std::optional(false) : std::nullopt;
        }
    }
}

void MemberTable::expire(TimePoint now)
{
    std::erase_if(m_entries, [this, now](const auto &item) {
        const Entry &entry = item.second;
        if (entry.isListed || entry.presentByRelay || isPresent(entry, now)) {
            return false;
        }
        const bool wasListed = entry.lastListed != TimePoint{};
        return timeSinceContact(entry, now) > (wasListed ? m_timeouts.absentAfter : m_timeouts.removeAfter);
    });
}

std::optional<Member> MemberTable::find(const InstanceId &instance) const
{
    if (instance == m_self.instance) {
        return m_self;
    }
    const auto entry = m_entries.find(instance);
    return entry == m_entries.end() ? std::nullopt : std::optional(entry->second.member);
}

Duration MemberTable::timeSinceContact(const Entry &entry, TimePoint now) const
{
    return now - entry.lastContact.value_or(entry.firstSeen);
}

bool MemberTable::isPresent(const Entry &entry, TimePoint now) const
{
    if (entry.lastContact && now - *entry.lastContact <= m_timeouts.absentAfter) {
        return true;
    }
    if (entry.presentByRelay) {
        return *entry.presentByRelay;
    }
    const bool isOther = entry.member.domain != m_self.domain;
    return entry.isListed && (isOther || (!entry.lastContact && now - entry.firstSeen <= m_timeouts.absentAfter));
}

bool MemberTable::isAvoided(const Entry &entry, TimePoint now) const
{
    return entry.failures >= m_timeouts.toleratedFailures && now - entry.lastFailure <= m_timeouts.avoidFor;
}

bool MemberTable::isPresent(const InstanceId &instance, TimePoint now) const
{
    const auto entry = m_entries.find(instance);
    return instance == m_self.instance || (entry != m_entries.end() && isPresent(entry->second, now));
}

std::vector<InstanceId> MemberTable::eligible(const FailureDomainId &domain, TimePoint now) const
{
    std::vector<InstanceId> instances;
    for (const auto &[instance, entry] : m_entries) {
        const bool isLeaving = entry.member.draining || (entry.isListed && entry.isListedLeaving);
        if (entry.member.domain == domain && !isLeaving && isPresent(entry, now) && !isAvoided(entry, now)) {
            instances.push_back(instance);
        }
    }
    if (m_self.domain == domain && (!m_self.draining || instances.empty())) {
        instances.insert(std::upper_bound(instances.begin(), instances.end(), m_self.instance), m_self.instance);
    }
    return instances;
}

std::vector<FailureDomainId> MemberTable::domains() const
{
    std::set<FailureDomainId> domains{m_self.domain};
    for (const auto &[instance, entry] : m_entries) {
        domains.insert(entry.member.domain);
    }
    return {domains.begin(), domains.end()};
}

std::vector<inner::MemberStatusT> MemberTable::statuses(TimePoint now) const
{
    std::vector<inner::MemberStatusT> statuses{toStatus(m_self)};
    for (const auto &[instance, entry] : m_entries) {
        inner::MemberStatusT status = toStatus(entry.member);
        if (!isPresent(entry, now)) {
            const auto silent = std::chrono::duration_cast<std::chrono::milliseconds>(timeSinceContact(entry, now));
            status.silent_ms = static_cast<std::uint64_t>(std::max<std::int64_t>(1, silent.count()));
        }
        statuses.push_back(std::move(status));
    }
    return statuses;
}

} // namespace bergamot
