#pragma once

// Requests that crash the endpoint which runs them. A request in flight when its endpoint died is a suspect by its
// fingerprint; a suspect runs alone on an endpoint; one that has taken down a second endpoint while alone is refused.
// A suspect that finishes is cleared. Suspects are shared by all instances of the domain.
//
//     quarantine.endpointLost(fingerprint, endpoint, RunMode::Shared, now);
//     quarantine.standing(fingerprint, now); // Standing::Suspect

#include <cstdint>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "bergamot/base/clock.h"
#include "bergamot/base/ids.h"

namespace bergamot
{

/// What one instance tells the others of its domain about a fingerprint.
struct SuspectReport
{
    std::uint64_t fingerprint = 0;
    std::set<EndpointId> endpoints; // distinct ones that died under it
    bool ranAlone = false; // one of them died while it was the only request there
    bool cleared = false; // it has finished since

    bool operator==(const SuspectReport &) const = default;
};

enum class Standing {
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
    Duration forgetAfter = std::chrono::minutes(10);
    std::size_t mostSuspects = 4096; // beyond this the oldest are forgotten
};

/// The fingerprint of a request: equal for a request that its caller sends again through any instance.
std::uint64_t
requestFingerprint(std::string_view target, std::string_view method, std::string_view path, std::string_view body);

/// Not thread-safe.
class CrashQuarantine
{
public:
    explicit CrashQuarantine(QuarantineOptions options = {});

    Standing standing(std::uint64_t fingerprint, TimePoint now) const;
    /// The connection to `endpoint` broke while the request ran there. A second endpoint counts only if the request
    /// ran alone: a bystander that is unlucky twice stays a suspect.
    void endpointLost(std::uint64_t fingerprint, const EndpointId &endpoint, RunMode mode, TimePoint now);
    /// `endpoint` has answered a request that was in flight when the connection broke, so it had not died.
    void exonerate(std::uint64_t fingerprint, const EndpointId &endpoint, TimePoint now);
    /// The request finished normally.
    void finished(std::uint64_t fingerprint, TimePoint now);
    /// Whether `endpoint` has died under the request before.
    bool diedUnder(std::uint64_t fingerprint, const EndpointId &endpoint) const;

    /// Takes in what the domain knows.
    void merge(const std::vector<SuspectReport> &reports, TimePoint now);
    /// What this instance has learned since the last call, for the domain.
    std::vector<SuspectReport> takeNews();
    std::size_t size() const;

private:
    struct Entry
    {
        std::set<EndpointId> endpoints;
        bool ranAlone = false;
        TimePoint changedAt{};
        TimePoint clearedAt{};
    };

    void publish(std::uint64_t fingerprint, const Entry &entry, bool cleared);
    void makeRoom(TimePoint now);

    QuarantineOptions m_options;
    std::unordered_map<std::uint64_t, Entry> m_entries;
    std::vector<SuspectReport> m_news;
};

} // namespace bergamot
