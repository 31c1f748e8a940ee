#pragma once

// Finds prompts that crash engines. When an engine crashes, every group in flight on it becomes a suspect. Suspects are
// then probed: an engine runs at most one suspect at a time, and each suspect runs on one engine at a time. A suspect
// that finishes is cleared. If the engine crashes, only the probed suspect is blamed; it is given up after crashes of
// two distinct engines, or after three crashes if there is only one engine, unless engines crash without it as well: in
// a burst of crashes nothing is known against a prompt, and it runs again. Idle engines that crash count as well, and
// those that probed a suspect which turns out to be sound.
//
//     rule.recordStart(group, engine);
//     rule.recordEngineDeath(engine, groupsInFlight, now);
//     for (const GroupKey &group : rule.takeGivenUp(now)) { ... }

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bergamot/base/clock.h"
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

struct CrashRuleOptions
{
    Duration burstWindow = std::chrono::seconds(2); // crashes of other engines in this time excuse a suspect
    Duration verdictDelay = std::chrono::seconds(3); // from the last crash of a suspect until it is given up; it does
                                                     // not run meanwhile, so that other crashes are not its own
};

/// Deterministic; not thread-safe.
class CrashRule
{
public:
    explicit CrashRule(CrashRuleOptions options = {});

    /// Whether a sample of `group` may start on `engine` now. A suspect may start only if it is not being probed, no
    /// verdict on it is pending and `engine` probes no other suspect; other groups may always start.
    bool mayStart(const GroupKey &group, const EndpointId &engine) const;
    /// Whether `group` is a suspect that is being probed, so that no other sample of it may start.
    bool isProbed(const GroupKey &group) const;
    void recordStart(const GroupKey &group, const EndpointId &engine);
    /// Records that a sample of `group` ended on `engine` without a crash. A `finished` sample clears the group.
    void recordEnd(const GroupKey &group, const EndpointId &engine, bool finished);
    /// Records a crash of `engine` while the groups `inFlight` ran on it; none if it was idle.
    void recordEngineDeath(const EndpointId &engine, const std::set<GroupKey> &inFlight, TimePoint now);
    /// Returns the groups that are given up now. Call it often.
    std::vector<GroupKey> takeGivenUp(TimePoint now);
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
        TimePoint lastDeathAt{};
        std::optional<TimePoint> verdictAt; // set while a verdict is pending
    };

    struct EngineDeath
    {
        TimePoint at;
        std::set<GroupKey> inFlight;
        std::optional<GroupKey> probed; // the suspect that the engine probed
    };

    bool exceedsCrashLimit(const SuspectState &suspectState) const;
    /// Whether an engine crashed within the burst window that ran no sample of `group`. Engines that probed another
    /// suspect don't count: otherwise two prompts that crash engines would excuse each other for ever.
    bool otherEngineCrashed(const GroupKey &group, TimePoint now) const;
    /// Excuses the suspects that were not in flight from their crashes within the burst window.
    void excuseOthers(const EngineDeath &death);
    /// The suspect finished, so the engines that crashed while they probed it crashed for another reason.
    void recordSound(const GroupKey &group);

    CrashRuleOptions m_options;
    std::map<GroupKey, SuspectState> m_suspects;
    std::map<EndpointId, GroupKey> m_probes; // probed suspect by engine
    std::deque<EngineDeath> m_deaths; // those on which a verdict may depend, oldest first
};

} // namespace bergamot
