#pragma once

// The limits that endpoints have named: the requests a second that an endpoint takes from all instances together. An
// instance hears of a limit in an answer, or from a report of another instance, so that it knows the limit before it
// sends its first request.
//
//     NamedLimits limits({}, seed);
//     limits.heard(process, 3.5, now);     // an answer named the limit
//     limits.reported(process, 3.5);       // another instance heard it
//     for (const LimitReport &report : limits.takeReports(now)) { ... }
//
// Load pattern: an endpoint names its limit to hundreds of instances at the same time. Each waits for a random time
// before it reports what it heard, and says nothing if another one has reported it meanwhile.

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "bergamot/base/clock.h"
#include "bergamot/base/endpoint_process.h"

namespace bergamot::quota
{

struct NamedLimitsOptions
{
    Duration maxReportDelay = std::chrono::milliseconds(300); // the actual delay is random
    double minChange = 0.05; // share by which a limit must change to be reported again
    double minPerSecond = 0.1; // a lower limit counts as this one: without any request its end is never heard
    std::size_t maxEndpoints = 4096; // further endpoints are not remembered
};

struct LimitReport
{
    EndpointProcess process;
    std::optional<double> perSecond; // none: the limit has ended

    bool operator==(const LimitReport &) const = default;
};

/// Not thread-safe.
class NamedLimits
{
public:
    NamedLimits(NamedLimitsOptions options, std::uint64_t seed);

    /// An answer of the process named a limit, or named none. Returns whether that changes what is known.
    bool heard(const EndpointProcess &process, std::optional<double> perSecond, TimePoint now);
    /// A report of an instance, possibly this one, was read.
    void reported(const LimitReport &report);
    /// The limit of the process; none if it has named none. The limit of an earlier process of the endpoint does not
    /// count.
    std::optional<double> limitOf(const EndpointProcess &process) const;
    bool empty() const;
    /// What all instances should know and have not been told, since the last call.
    std::vector<LimitReport> takeReports(TimePoint now);
    /// All limits, as reports.
    std::vector<LimitReport> all() const;
    /// Forgets the endpoints for which `present` returns false.
    void retain(const std::function<bool(const EndpointId &)> &present);

private:
    struct Entry
    {
        std::uint64_t incarnation = 0;
        std::optional<double> perSecond;
        std::optional<double> shared; // what all instances have been told
        std::optional<TimePoint> reportAt;
    };

    bool differs(const std::optional<double> &left, const std::optional<double> &right) const;
    /// The entry of the endpoint; null if it belongs to a newer process or cannot be kept.
    Entry *entryFor(const EndpointProcess &process);

    NamedLimitsOptions m_options;
    std::mt19937_64 m_random;
    std::map<EndpointId, Entry> m_entries;
    std::size_t m_limited = 0; // entries with a limit
};

} // namespace bergamot::quota
