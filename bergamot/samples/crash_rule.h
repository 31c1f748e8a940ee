#pragma once

// Finds prompts that crash engines. When an engine crashes, every group in flight on it becomes a suspect. Suspects are
// then probed: an engine runs at most one suspect at a time, and each suspect runs on one engine at a time. A suspect
// that finishes is cleared. If the engine crashes, only the probed suspect is blamed; it is given up after crashes of
// two distinct engines, or after three crashes if there is only one engine.
//
//     rule.recordStart(group, engine);
//     for (const GroupKey &givenUp : rule.recordEngineDeath(engine, groupsInFlight)) { ... }

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
    /// Whether a sample of `group` may start on `engine` now. A suspect may start only if it is not being probed and
    /// `engine` probes no other suspect; other groups may always start.
    bool mayStart(const GroupKey &group, const EndpointId &engine) const;
    /// Whether `group` is a suspect that is being probed, so that no other sample of it may start.
    bool isProbed(const GroupKey &group) const;
    void recordStart(const GroupKey &group, const EndpointId &engine);
    /// Records that a sample of `group` ended on `engine` without a crash. A `finished` sample clears the group.
    void recordEnd(const GroupKey &group, const EndpointId &engine, bool finished);
    /// Records a crash of `engine` while the groups `inFlight` ran on it. Returns the groups that are given up because
    /// of it.
    std::vector<GroupKey> recordEngineDeath(const EndpointId &engine, const std::set<GroupKey> &inFlight);
    /// The engines that crashed while running `group`, for the error message to the trainer.
    std::vector<EndpointId> crashedEngines(const GroupKey &group) const;
    /// Applies a report of another process that `engines` crashed while running the prompt of `group`.
    void addSuspect(const GroupKey &group, const std::set<EndpointId> &engines);
    bool isSuspect(const GroupKey &group) const;
    /// Applies a report of another process that the prompt of `group` finished normally.
    void clearSuspect(const GroupKey &group);
    /// Removes all records of a step that has ended.
    void removeStep(const StepKey &step);

private:
    struct SuspectState
    {
        std::set<EndpointId> engines; // engines that crashed while running the group
        std::uint32_t deaths = 0;
        EndpointId probeEngine; // engine that runs the probe; empty if none
    };

    bool exceedsCrashLimit(const SuspectState &suspectState) const;

    std::map<GroupKey, SuspectState> m_suspects;
    std::map<EndpointId, GroupKey> m_probes; // probed suspect by engine
};

} // namespace bergamot
