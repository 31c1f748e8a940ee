#pragma once

// Counts, at an endpoint, what ran how often; checks from outside read it.
//
//     RunCounter runs;
//     runs.arrived(now);
//     runs.add("POST /confirm lot-7");

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "bergamot/base/clock.h"

namespace bergamot
{

/// Single-threaded. Keeps every name for the life of the process.
class RunCounter
{
public:
    /// Notes that new work was handed in.
    void arrived(TimePoint now);
    /// Counts one start of the work `name`.
    void add(const std::string &name);
    /// From now on arrivals are checked against the time of leaving.
    void setLeaving(bool leaving, TimePoint now);

    std::uint64_t count(const std::string &name) const;
    const std::map<std::string, std::uint64_t> &counts() const;
    std::uint64_t total() const;
    bool leaving() const;
    /// How long after leaving the last work was handed in; none if none was.
    std::optional<Duration> lastAfterLeaving() const;

private:
    std::map<std::string, std::uint64_t> m_counts;
    std::uint64_t m_total = 0;
    std::optional<TimePoint> m_leavingSince;
    std::optional<Duration> m_lastAfterLeaving;
};

} // namespace bergamot
