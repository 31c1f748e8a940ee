#pragma once

// What is known of each failure domain as a whole: how many instances it has, which of them lack the newest
// configuration, and which are absent. Makes "in force on 17 of 18, missing: NAME" a fact.
//
//     summaries.heard(summary, now);
//     const FleetStatus status = fleetStatus(table, domain, newestVersion);

#include <map>
#include <string>
#include <vector>

#include "bergamot/base/clock.h"
#include "bergamot/base/ids.h"
#include "bergamot/membership/fleet_table.h"

namespace bergamot
{

/// The summary of `domain` by the rows of its members.
inner::DomainSummaryT summarize(const FailureDomainId &domain, const std::vector<inner::MemberStatusT> &members);

/// Summaries of the other domains as their relays gave them. Not thread-safe.
class DomainSummaries
{
public:
    explicit DomainSummaries(Duration freshness = std::chrono::seconds(15));

    void heard(const inner::DomainSummaryT &summary, TimePoint now);
    /// Each summary; `silent_ms` is 0 if it is fresh.
    std::vector<inner::DomainSummaryT> all(TimePoint now) const;

private:
    struct Entry
    {
        inner::DomainSummaryT summary;
        TimePoint heardAt{};
    };

    Duration m_freshness;
    std::map<std::string, Entry> m_entries;
};

enum class InstanceCondition {
    InForce, // has the newest configuration
    Behind, // is present and has an older one
    Joining, // is present and has none yet
    Absent, // on the list, and not heard lately
    Unheard, // its failure domain has not been heard lately
};

std::string_view conditionName(InstanceCondition condition);

struct InstanceStatus
{
    InstanceId instance;
    FailureDomainId domain;
    std::uint64_t configVersion = 0;
    InstanceCondition condition = InstanceCondition::Unheard;
    bool draining = false;
};

struct FleetStatus
{
    std::uint64_t newestVersion = 0;
    std::size_t inForce = 0;
    std::vector<InstanceStatus> instances; // by name

    /// The instances on which the newest configuration is not known to be in force.
    std::vector<InstanceStatus> missing() const;
};

/// The state of every instance, seen from `domain`. `newestVersion` is the newest configuration known here.
FleetStatus fleetStatus(const FleetTable &table, const FailureDomainId &domain, std::uint64_t newestVersion);

} // namespace bergamot
