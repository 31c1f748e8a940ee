#pragma once

// Detects requests that crash the endpoint that runs them. A request that was in flight when its endpoint crashed
// becomes a suspect, identified by its fingerprint. A suspect runs alone on an endpoint and is refused once a second
// endpoint has crashed while running it alone. A suspect that finishes is cleared. All instances of a failure domain
// share their suspects.
//
//     quarantine.recordEndpointLoss(fingerprint, endpoint, RunMode::Shared, now);
//     quarantine.statusOf(fingerprint, now); // QuarantineStatus::Suspect

#include <cstdint>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "bergamot/base/clock.h"
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
    std::size_t endpointsToRefuse = 2;
    Duration retention = std::chrono::minutes(10);
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
    /// Records that the connection to `endpoint` broke while the request ran there. A second endpoint counts only if
    /// the request ran alone: a request that was twice in flight beside one that crashes endpoints stays a suspect.
    void recordEndpointLoss(std::uint64_t fingerprint, const EndpointId &endpoint, RunMode mode, TimePoint now);
    /// Removes `endpoint` from the crashes that count against the request: it answered a request that was in flight
    /// when the connection broke, so it had not crashed.
    void retractEndpointLoss(std::uint64_t fingerprint, const EndpointId &endpoint, TimePoint now);
    /// Clears the request, which finished normally.
    void recordFinished(std::uint64_t fingerprint, TimePoint now);
    /// Whether a crash of `endpoint` counts against the request.
    bool hasCrashed(std::uint64_t fingerprint, const EndpointId &endpoint) const;

    /// Merges the reports of the other instances of the domain.
    void merge(const std::vector<SuspectReport> &reports, TimePoint now);
    /// The changes of this instance since the last call, to send to the other instances of the domain.
    std::vector<SuspectReport> takeChanges();
    std::size_t size() const;

private:
    struct Entry
    {
        std::set<EndpointId> endpoints;
        bool ranAlone = false;
        TimePoint changedAt{};
        TimePoint clearedAt{};
    };

    void addChange(std::uint64_t fingerprint, const Entry &entry, bool cleared);
    void evictIfFull(TimePoint now);

    QuarantineOptions m_options;
    std::unordered_map<std::uint64_t, Entry> m_entries;
    std::vector<SuspectReport> m_unreportedChanges;
};

} // namespace bergamot
