#pragma once

// Checks from outside that are neither a caller's nor a trainer's: the configuration on every instance during the run,
// and what ran at the endpoints after it.
//
//     ConfigurationWatcher watcher(context);
//     watcher.start();
//     ...
//     watcher.stop();
//     auditEndpoints(context, works);

#include <map>
#include <optional>
#include <string>

#include "bergamot/load/caller.h"

namespace bergamot
{

/// Asks every control process for its configuration's version and checks that none falls and that each new one is in
/// force on every instance that answers within 7 s. `start` and `stop` are called from one thread.
class ConfigurationWatcher
{
public:
    explicit ConfigurationWatcher(const RunContext &context);

    void start();
    /// Waits for the questions in flight; the watcher may be destroyed after the loop has stopped.
    void stop();

private:
    struct Change
    {
        TimePoint firstSeen;
        bool everywhere = false;
    };

    void poll();
    void askAll();
    void answered(const Address &control, const CallOutcome &outcome);
    void received(const Address &control, std::uint64_t version);
    void judge();

    RunContext m_context;
    std::mutex m_mutex;
    std::condition_variable m_answered;
    std::size_t m_outstanding = 0;
    bool m_stopped = false;
    std::map<Address, std::uint64_t> m_versions; // the highest that each one answered
    std::map<Address, TimePoint> m_lastAnswer;
    std::map<std::uint64_t, Change> m_changes;
};

/// Asks every endpoint what ran, and checks the promises about it. `works` is what callers were told.
void auditEndpoints(const RunContext &context, const std::map<std::string, WorkLimit> &works);

} // namespace bergamot
