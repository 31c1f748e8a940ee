#pragma once

// Summaries of the failure domains: how many instances each has, which of them lack the newest configuration, and which
// are absent. The status "in force on 17 of 18, missing: NAME" is computed from them.
//
//     summaries.update(summary, now);
//     const FleetStatus status = fleetStatus(table, domain, newestVersion);

#include <map>
#include <string>
#include <vector>

#include "bergamot/base/clock.h"
#include "bergamot/base/ids.h"
#include "bergamot/membership/fleet_table.h"

namespace bergamot
{

/// Summarizes the rows of `members` that belong to `domain`.
inner::DomainSummaryT summarize(const FailureDomainId &domain, const std::vector<inner::MemberStatusT> &members);

/// Summaries of the other domains as received from their relays. Not thread-safe.
class DomainSummaries
{
public:
    explicit DomainSummaries(Duration freshness = std::chrono::seconds(15));

    /// Stores the newest summary of a domain.
    void update(const inner::DomainSummaryT &summary, TimePoint now);
    /// All summaries. `silent_ms` is 0 if the summary is fresh, otherwise its age.
    std::vector<inner::DomainSummaryT> all(TimePoint now) const;

private:
    struct Entry
    {
        inner::DomainSummaryT summary;
        TimePoint receivedAt{};
    };

    Duration m_freshness;
    std::map<std::string, Entry> m_entries;
};

enum class InstanceCondition {
    InForce, // has the newest configuration
    Behind, // present, with an older configuration
    Joining, // present, without a configuration yet
    Absent, // known, but has not reported recently
    Unheard, // no recent summary of its failure domain
};

/// The name shown to operators, such as "in-force".
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

/// The state of every instance as known by an instance of `domain`. `newestVersion` is the newest configuration version
/// that this instance has.
FleetStatus fleetStatus(const FleetTable &table, const FailureDomainId &domain, std::uint64_t newestVersion);

} // namespace bergamot
