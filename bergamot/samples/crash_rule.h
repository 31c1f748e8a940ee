#pragma once

// Finds the prompt that crashes engines. Every group in flight on an engine that dies is a suspect; suspects are then
// tried one at a time on each engine, under watch. One that finishes is cleared; one whose engine dies under watch is
// to blame, and after two distinct engines it is given up.
//
//     const bool watched = rule.started(group, engine);
//     for (const GroupKey &givenUp : rule.engineDied(engine, groupsInFlight)) { ... }

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "bergamot/base/ids.h"
#include "bergamot/samples/sample_id.h"

namespace bergamot
{

struct GroupKey
{
    StepKey step;
    std::uint32_t group = 0;

    auto operator<=>(const GroupKey &) const = default;
};

/// Deterministic; not thread-safe.
class CrashRule
{
public:
    /// Whether a sample of `group` may start on `engine` now.
    bool mayStart(const GroupKey &group, const EndpointId &engine) const;
    /// Whether no engine may take a sample of `group` before one that is under watch has ended.
    bool isHeld(const GroupKey &group) const;
    void started(const GroupKey &group, const EndpointId &engine);
    /// A sample of `group` left `engine` without a crash. A `whole` one clears the group.
    void ended(const GroupKey &group, const EndpointId &engine, bool whole);
    /// `inFlight` were running on `engine` when it died. Returns the groups that are given up now.
    std::vector<GroupKey> engineDied(const EndpointId &engine, const std::set<GroupKey> &inFlight);
    /// The engines that died under `group`, for the message to the trainer.
    std::vector<EndpointId> enginesDiedUnder(const GroupKey &group) const;
    /// Others say that `engines` died under `group`'s prompt.
    void suspect(const GroupKey &group, const std::set<EndpointId> &engines);
    bool isSuspect(const GroupKey &group) const;
    /// Others say that `group`'s prompt has ended normally.
    void clear(const GroupKey &group);
    /// Drops what is known of a step that is over.
    void forget(const StepKey &step);

private:
    struct Suspicion
    {
        std::set<EndpointId> engines; // that died under it
        std::uint32_t deaths = 0;
        EndpointId watchedOn; // empty: no sample of it runs
    };

    bool givenUp(const Suspicion &suspicion) const;

    std::map<GroupKey, Suspicion> m_suspects;
    std::map<EndpointId, GroupKey> m_watched; // at most one on each engine
};

} // namespace bergamot
