#pragma once

// Counts of requests by tenant and window of time, and the reports of them that the log holds.
//
//     ReportedUsage reported;
//     reported.apply({.window = 353445120, .counts = {{"bakery", 12}}});

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "bergamot/base/clock.h"

namespace bergamot::usage
{

using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;
using Window = std::uint64_t; // window k begins k window lengths after the start of 1970
using TenantCounts = std::map<std::string, std::uint64_t>;
using WindowCounts = std::map<Window, TenantCounts>;

struct UsageReport
{
    Window window = 0;
    TenantCounts counts;

    bool operator==(const UsageReport &) const = default;
};

constexpr Window windowOf(WallTime time, Duration length)
{
    return static_cast<Window>(time.time_since_epoch() / length);
}

constexpr WallTime endOf(Window window, Duration length)
{
    return WallTime((window + 1) * length);
}

/// What the log says was reported, or is about to be: the newest windows. The first record of a window counts, so every
/// instance that reports a window sends the same counts. Not thread-safe.
class ReportedUsage
{
public:
    void apply(const UsageReport &report)
    {
        m_reports.try_emplace(report.window, report.counts);
        while (m_reports.size() > MaxWindows) {
            m_reports.erase(m_reports.begin());
        }
    }
    /// Null if the window is not in the log.
    const TenantCounts *find(Window window) const
    {
        const auto found = m_reports.find(window);
        return found == m_reports.end() ? nullptr : &found->second;
    }
    const WindowCounts &all() const
    {
        return m_reports;
    }

private:
    static constexpr std::size_t MaxWindows = 32;

    WindowCounts m_reports;
};

} // namespace bergamot::usage
