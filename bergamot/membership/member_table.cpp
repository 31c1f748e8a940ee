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

MemberTable::MemberTable(Member self, MemberTimes times)
    : m_self(std::move(self))
    , m_times(times)
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

void MemberTable::heard(const Member &member, TimePoint now)
{
    if (member.instance == m_self.instance || member.instance.empty()) {
        return;
    }
    Entry &entry = entryOf(member.instance, member.domain, now);
    entry.member = member;
    entry.lastHeard = now;
    entry.failures = 0;
}

void MemberTable::answered(const InstanceId &instance, TimePoint now)
{
    if (const auto entry = m_entries.find(instance); entry != m_entries.end()) {
        entry->second.lastHeard = now;
        entry->second.failures = 0;
    }
}

void MemberTable::answeredAs(const inner::MemberStatusT &status, TimePoint now)
{
    heard({InstanceId(status.instance),
           FailureDomainId(status.domain),
           status.control_address,
           status.entry_address,
           status.config_version,
           status.draining},
          now);
}

void MemberTable::unanswered(const InstanceId &instance, TimePoint now)
{
    if (const auto entry = m_entries.find(instance); entry != m_entries.end()) {
        ++entry->second.failures;
        entry->second.lastFailure = now;
    }
}

void MemberTable::told(const inner::MemberStatusT &status, TimePoint now)
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
    entry.toldPresent = status.silent_ms == 0;
}

void MemberTable::toldRemoved(const InstanceId &instance)
{
    m_entries.erase(instance);
}

void MemberTable::listed(const std::vector<ListedMember> &list, TimePoint now)
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

void MemberTable::startJudging(TimePoint now)
{
    for (auto &[instance, entry] : m_entries) {
        const bool wasPresent = std::exchange(entry.toldPresent, std::nullopt).value_or(false);
        if (wasPresent && entry.member.domain == m_self.domain) {
            entry.lastHeard = now;
        }
        entry.isListed = entry.isListed || wasPresent; // until the list itself is read
    }
}

void MemberTable::absentElsewhere(const FailureDomainId &domain, const std::vector<std::string> &names)
{
    const std::set<std::string> absent(names.begin(), names.end());
    for (auto &[instance, entry] : m_entries) {
        if (entry.member.domain == domain) {
            entry.toldPresent = absent.contains(instance.value()) ? std::optional(false) : std::nullopt;
        }
    }
}

void MemberTable::expire(TimePoint now)
{
    std::erase_if(m_entries, [this, now](const auto &item) {
        const Entry &entry = item.second;
        if (entry.isListed || entry.toldPresent || isPresent(entry, now)) {
            return false;
        }
        const bool wasListed = entry.lastListed != TimePoint{};
        return silenceOf(entry, now) > (wasListed ? m_times.silence : m_times.forget);
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

Duration MemberTable::silenceOf(const Entry &entry, TimePoint now) const
{
    return now - entry.lastHeard.value_or(entry.firstSeen);
}

bool MemberTable::isPresent(const Entry &entry, TimePoint now) const
{
    if (entry.lastHeard && now - *entry.lastHeard <= m_times.silence) {
        return true;
    }
    if (entry.toldPresent) {
        return *entry.toldPresent;
    }
    const bool isOther = entry.member.domain != m_self.domain;
    return entry.isListed && (isOther || (!entry.lastHeard && now - entry.firstSeen <= m_times.silence));
}

bool MemberTable::isAvoided(const Entry &entry, TimePoint now) const
{
    return entry.failures >= m_times.toleratedFailures && now - entry.lastFailure <= m_times.avoid;
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
            const auto silent = std::chrono::duration_cast<std::chrono::milliseconds>(silenceOf(entry, now));
            status.silent_ms = static_cast<std::uint64_t>(std::max<std::int64_t>(1, silent.count()));
        }
        statuses.push_back(std::move(status));
    }
    return statuses;
}

} // namespace bergamot
