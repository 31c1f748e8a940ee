#pragma once

// Detects requests that crash the endpoint that runs them. A request that was in flight when its endpoint crashed
// becomes a suspect, identified by its fingerprint. A suspect runs alone on an endpoint and is refused once a second
// endpoint has crashed while running it alone. A suspect that finishes is cleared. Instances share their suspects.
//
//     quarantine.recordEndpointLoss(fingerprint, {endpoint, incarnation}, RunMode::Shared, now);
//     quarantine.statusOf(fingerprint, now); // QuarantineStatus::Suspect
//
// Load pattern: callers send a request that crashes endpoints again and again, each time to another instance, beside
// sound requests that are in flight when the endpoints crash. Two crashes refuse a request only for some seconds, as
// both may be accidents; a third one refuses it for long.

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "bergamot/base/clock.h"
#include "bergamot/base/crash_report.h"
#include "bergamot/base/ids.h"

namespace bergamot
{

/// A change of a suspect's state that one instance sends to the others of its failure domain.
struct SuspectReport
{
    std::uint64_t fingerprint = 0;
    std::set<EndpointId> endpoints; // distinct endpoints that crashed while running the request
    bool ranAlone = false; // an endpoint crashed while this was its only request
    bool cleared = false; // the request has finished since, so it is no suspect

    bool operator==(const SuspectReport &) const = default;
};

SuspectReport toSuspectReport(const CrashReport &report);
CrashReport toCrashReport(const SuspectReport &report);

enum class QuarantineStatus {
    Clear,
    Suspect,
    Refused,
};

enum class RunMode {
    Shared,
    Alone,
};

struct QuarantineOptions
{
    std::size_t endpointsToRefuse = 2; // crashes, at least one of them alone
    std::size_t maxCrashes = 4; // crashes that refuse a request although it never ran alone
    std::size_t brokenStreamsToSuspect = 3; // processes at which streams of a request broke off
    Duration firstRefusal = std::chrono::seconds(15); // after `endpointsToRefuse` crashes; then the request runs alone
    Duration retention = std::chrono::minutes(10); // of a suspect, and of a refusal after more crashes
    Duration
        reportDelay{}; // until a crash beside other requests is reported; most of these suspects are cleared sooner
    std::size_t maxSuspects = 4096; // the oldest suspects are dropped beyond this
};

/// A hash that identifies a request. It is the same on every instance when a caller sends the request again.
std::uint64_t
requestFingerprint(std::string_view target, std::string_view method, std::string_view path, std::string_view body);

/// Not thread-safe.
class CrashQuarantine
{
public:
    explicit CrashQuarantine(QuarantineOptions options = {});

    QuarantineStatus statusOf(std::uint64_t fingerprint, TimePoint now) const;
    /// Time until a refused request may run again; zero if it is not refused.
    Duration refusedFor(std::uint64_t fingerprint, TimePoint now) const;
    /// Records that the connection to `process` broke while the request ran there. A further loss counts only if the
    /// request ran alone: a request that was twice in flight beside one that crashes endpoints stays a suspect.
    void recordEndpointLoss(std::uint64_t fingerprint, const EndpointProcess &process, RunMode mode, TimePoint now);
    /// Records that a stream broke off after the request had begun to run. A request that crashes endpoints does so
    /// when they begin to run it, so this counts as a loss only once streams of the request have broken off at
    /// `brokenStreamsToSuspect` processes.
    void recordBrokenStream(std::uint64_t fingerprint, const EndpointProcess &process, RunMode mode, TimePoint now);
    /// The process was alive at `aliveAt`, so it had not crashed before. Returns whether that changed a suspect.
    bool recordAlive(const EndpointProcess &process, TimePoint aliveAt, TimePoint now);
    /// The process has answered a request that it received at `since`, so it has not crashed since. Returns whether
    /// that changed a suspect.
    bool recordAnswered(const EndpointProcess &process, TimePoint since, TimePoint now);
    /// Clears the request, which finished normally.
    void recordFinished(std::uint64_t fingerprint, TimePoint now);
    /// Whether a crash of `endpoint` counts against the request.
    bool hasCrashed(std::uint64_t fingerprint, const EndpointId &endpoint) const;

    /// Merges the reports of other instances.
    void merge(const std::vector<CrashReport> &reports, TimePoint now);
    /// The changes of this instance that are due to be reported to the others, since the last call.
    std::vector<CrashReport> takeChanges(TimePoint now);
    std::size_t size() const;

private:
    struct Crash
    {
        TimePoint at{}; // when it was recorded or reported here
        bool alone = false;
        bool observed = false; // by this instance
    };

    struct Entry
    {
        std::map<EndpointProcess, Crash> crashes;
        TimePoint changedAt{};
        TimePoint clearedAt{}; // by a run that finished
        bool reported = false; // other instances know the suspect
    };

    struct BrokenStreams
    {
        std::set<EndpointProcess> processes;
        TimePoint at{}; // of the newest one
    };

    /// Time until the request may run again, counted from its newest crash; zero if it is not to be refused.
    Duration refusal(const Entry &entry) const;
    /// Whether a crash has no other suspect that may have caused it.
    bool isOnlySuspect(const Entry &entry) const;
    bool
    retractCrashes(const EndpointProcess &process, const std::function<bool(const Crash &)> &survived, TimePoint now);
    void scheduleReport(std::uint64_t fingerprint, TimePoint at);
    void evictIfFull(TimePoint now);

    QuarantineOptions m_options;
    std::unordered_map<std::uint64_t, Entry> m_entries;
    std::unordered_map<std::uint64_t, BrokenStreams> m_brokenStreams; // by fingerprint
    std::map<std::uint64_t, TimePoint> m_reportsDue; // by fingerprint
};

} // namespace bergamot
