#include "bergamot/membership/domain_summaries.h"

#include <algorithm>

namespace bergamot
{

namespace
{

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

InstanceCondition conditionOf(std::uint64_t version, std::uint64_t newest)
{
    if (version >= newest) {
        return InstanceCondition::InForce;
    }
    return version == 0 ? InstanceCondition::Joining : InstanceCondition::Behind;
}

InstanceStatus
statusInOtherDomain(const inner::MemberStatusT &member, const FleetTable &table, std::uint64_t newestVersion)
{
    InstanceStatus status{InstanceId(member.instance), FailureDomainId(member.domain)};
    status.draining = member.draining;
    const auto row = table.domains.rows().find(member.domain);
    if (row == table.domains.rows().end() || row->second.value.silent_ms > 0) {
        return status;
    }
    const inner::DomainSummaryT &summary = row->second.value;
    if (contains(summary.absent, member.instance)) {
        status.condition = InstanceCondition::Absent;
        return status;
    }
    const bool isBehind = contains(summary.behind, member.instance);
    status.configVersion = isBehind ? summary.config_version : summary.newest_version;
    status.condition = conditionOf(status.configVersion, newestVersion);
    return status;
}

InstanceStatus statusInOwnDomain(const inner::MemberStatusT &member, std::uint64_t newestVersion)
{
    InstanceStatus status{InstanceId(member.instance), FailureDomainId(member.domain), member.config_version};
    status.draining = member.draining;
    status.condition =
        member.silent_ms > 0 ? InstanceCondition::Absent : conditionOf(member.config_version, newestVersion);
    return status;
}

} // namespace

inner::DomainSummaryT summarize(const FailureDomainId &domain, const std::vector<inner::MemberStatusT> &members)
{
    inner::DomainSummaryT summary;
    summary.domain = domain.value();
    std::optional<std::uint64_t> lowest;
    for (const inner::MemberStatusT &member : members) {
        if (member.domain != domain.value()) {
            continue;
        }
        ++summary.members;
        if (member.silent_ms > 0) {
            summary.absent.push_back(member.instance);
            continue;
        }
        lowest = std::min(lowest.value_or(member.config_version), member.config_version);
        summary.newest_version = std::max(summary.newest_version, member.config_version);
    }
    summary.config_version = lowest.value_or(0);
    for (const inner::MemberStatusT &member : members) {
        const bool isBehind = member.silent_ms == 0 && member.config_version < summary.newest_version;
        if (member.domain == domain.value() && isBehind) {
            summary.behind.push_back(member.instance);
        }
    }
    return summary;
}

DomainSummaries::DomainSummaries(Duration freshness)
    : m_freshness(freshness)
{ }

void DomainSummaries::update(const inner::DomainSummaryT &summary, TimePoint now)
{
    m_entries[summary.domain] = {summary, now};
}

std::vector<inner::DomainSummaryT> DomainSummaries::all(TimePoint now) const
{
    std::vector<inner::DomainSummaryT> summaries;
    for (const auto &[domain, entry] : m_entries) {
        inner::DomainSummaryT summary = entry.summary;
        const auto silent = std::chrono::duration_cast<std::chrono::milliseconds>(now - entry.receivedAt);
        summary.silent_ms = now - entry.receivedAt > m_freshness ? static_cast<std::uint64_t>(silent.count()) : 0;
        summaries.push_back(std::move(summary));
    }
    return summaries;
}

std::string_view conditionName(InstanceCondition condition)
{
    switch (condition) {
    case InstanceCondition::InForce:
        return "in-force";
    case InstanceCondition::Behind:
        return "behind";
    case InstanceCondition::Joining:
        return "joining";
    case InstanceCondition::Absent:
        return "absent";
    case InstanceCondition::Unheard:
        break;
    }
    return "unheard";
}

std::vector<InstanceStatus> FleetStatus::missing() const
{
    std::vector<InstanceStatus> missing;
    std::copy_if(instances.begin(), instances.end(), std::back_inserter(missing), [](const InstanceStatus &status) {
        return status.condition != InstanceCondition::InForce;
    });
    return missing;
}

FleetStatus fleetStatus(const FleetTable &table, const FailureDomainId &domain, std::uint64_t newestVersion)
{
    FleetStatus fleet;
    fleet.newestVersion = newestVersion;
    for (const auto &[name, row] : table.members.rows()) {
        const inner::MemberStatusT &member = row.value;
        fleet.instances.push_back(member.domain == domain.value() ? statusInOwnDomain(member, newestVersion)
                                                                  : statusInOtherDomain(member, table, newestVersion));
    }
    fleet.inForce = fleet.instances.size() - fleet.missing().size();
    return fleet;
}

} // namespace bergamot
