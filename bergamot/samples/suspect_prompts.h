#pragma once

// Prompts that are suspected of crashing engines, as the entry processes and the owners of trainers tell each other:
// which groups of samples a report is about, and what this owner has to report itself.
//
//     SuspectPrompts prompts;
//     prompts.handedIn(key, model, spec);
//     for (const SuspectGroup &suspect : prompts.merge(reports)) { ... }
//     prompts.died(group, engines, givenUp);
//     for (const SuspectReport &report : prompts.takeNews()) { ... }

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "bergamot/routing/crash_quarantine.h"
#include "bergamot/samples/crash_rule.h"
#include "bergamot/samples/step_spec.h"

namespace bergamot
{

/// What others have reported of a group's prompt.
struct SuspectGroup
{
    GroupKey group;
    std::set<EndpointId> engines; // that died under it
    bool refused = false; // no engine may run it any more
    bool cleared = false; // it has ended normally elsewhere
};

/// Deterministic; not thread-safe.
class SuspectPrompts
{
public:
    /// Returns what is known of the step's prompts already.
    std::vector<SuspectGroup> handedIn(const StepKey &key, const ModelId &model, const StepSpec &spec);
    void forget(const StepKey &key);
    /// `reports` are all that the failure domain knows. Returns the groups here for which they say something new.
    std::vector<SuspectGroup> merge(const std::vector<SuspectReport> &reports);

    /// `engines` died under `group` here. `givenUp`: the last of them while no other suspect ran there.
    void died(const GroupKey &group, const std::set<EndpointId> &engines, bool givenUp);
    /// A sample of `group`, which was suspected, has become whole.
    void cleared(const GroupKey &group);
    /// What this owner has learned since the last call, for the failure domain.
    std::vector<SuspectReport> takeNews();

private:
    std::vector<SuspectGroup> groupsOf(const SuspectReport &report) const;

    std::map<std::uint64_t, std::set<GroupKey>> m_groups; // by fingerprint
    std::map<GroupKey, std::uint64_t> m_fingerprints;
    std::map<std::uint64_t, SuspectReport> m_known; // what the domain knows
    std::vector<SuspectReport> m_news;
};

} // namespace bergamot
