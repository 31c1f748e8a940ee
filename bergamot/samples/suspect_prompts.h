#pragma once

// Exchanges reports on prompts that are suspected of crashing engines with the entry processes and the owners of other
// trainers: maps received reports to groups of samples, and collects the reports of this instance.
//
//     SuspectPrompts prompts;
//     prompts.addStep(key, model, spec);
//     for (const SuspectGroup &suspect : prompts.mergeReports(reports)) { ... }
//     prompts.recordCrash(group, engines, givenUp);
//     for (const SuspectReport &report : prompts.takeReports()) { ... }

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "bergamot/routing/crash_quarantine.h"
#include "bergamot/samples/crash_rule.h"
#include "bergamot/samples/step_spec.h"

namespace bergamot
{

/// Reports of other processes on the prompt of a group.
struct SuspectGroup
{
    GroupKey group;
    std::set<EndpointId> engines; // engines that crashed while running the prompt
    bool refused = false; // no engine may run the prompt
    bool cleared = false; // the prompt has finished normally elsewhere
};

/// Deterministic; not thread-safe.
class SuspectPrompts
{
public:
    /// Adds the groups of a step. Returns those whose prompts are already suspects.
    std::vector<SuspectGroup> addStep(const StepKey &key, const ModelId &model, const StepSpec &spec);
    void removeStep(const StepKey &key);
    /// Replaces the reports of the failure domain by `reports`. Returns the groups of this instance whose reports
    /// changed.
    std::vector<SuspectGroup> mergeReports(const std::vector<SuspectReport> &reports);

    /// Reports that `engines` crashed while running `group`. `givenUp`: no other suspect ran on the last of them.
    void recordCrash(const GroupKey &group, const std::set<EndpointId> &engines, bool givenUp);
    /// Reports that a sample of the suspect `group` has finished.
    void recordCleared(const GroupKey &group);
    /// Returns the reports of this instance since the last call, which are sent to the failure domain.
    std::vector<SuspectReport> takeReports();

private:
    std::vector<SuspectGroup> groupsOf(const SuspectReport &report) const;

    std::map<std::uint64_t, std::set<GroupKey>> m_groups; // groups by fingerprint of the prompt
    std::map<GroupKey, std::uint64_t> m_fingerprints;
    std::map<std::uint64_t, SuspectReport> m_domainReports; // reports of the failure domain by fingerprint
    std::vector<SuspectReport> m_pendingReports;
};

} // namespace bergamot
