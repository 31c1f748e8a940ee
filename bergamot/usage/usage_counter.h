#pragma once

// Counts the requests that this instance saw begin, for each tenant and window, and tells which counts the collecting
// instance still has to be told.
//
//     UsageCounter counter({.windowLength = 5s});
//     counter.record("bakery", time);
//     const WindowCounts totals = counter.untold("node-7");   // send them; then, once they have arrived:
//     counter.told("node-7", totals);
//
// Failure that it answers: the collecting instance dies. Totals replace each other, so they can be told again, and the
// successor is told all windows that are kept.

#include "bergamot/usage/usage_report.h"

namespace bergamot::usage
{

struct UsageCounterOptions
{
    Duration windowLength = std::chrono::seconds(5);
    std::size_t keptWindows = 8;
};

/// Not thread-safe.
class UsageCounter
{
public:
    explicit UsageCounter(UsageCounterOptions options)
        : m_options(options)
    { }

    void record(const std::string &tenant, WallTime time);
    /// The totals of all windows that have changed since `collector` was told them. Empty: none.
    WindowCounts untold(const std::string &collector) const;
    void told(const std::string &collector, const WindowCounts &totals);

private:
    UsageCounterOptions m_options;
    WindowCounts m_counts;
    std::string m_collector; // that was told `m_told`
    WindowCounts m_told;
};

} // namespace bergamot::usage
