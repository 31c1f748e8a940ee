#pragma once

// An adaptive limit of the requests that this instance has in flight at one endpoint. The limit follows the latency: it
// grows while the latency stays near its floor and shrinks once requests queue inside the endpoint, so that they wait
// in this instance's queue instead, which serves them by class.
//
//     ConcurrencyLimit limit;
//     if (inFlight < limit.allowed()) { ... }
//     limit.answered(latency, inFlight);

#include <cstdint>

#include "bergamot/base/clock.h"

namespace bergamot
{

struct ConcurrencyLimitOptions
{
    double initial = 2;
    double minimum = 1;
    double maximum = 512;
    double tolerance = 1.25; // ratio of latency to its floor above which the limit shrinks
    double reportedTolerance = 2; // `tolerance` for an endpoint that reports its load
    double smoothing = 0.3; // weight of the newest window in the limit
    std::uint32_t windowSize = 24; // answers per window
    std::uint32_t windowsToRelearn = 200; // consecutive windows at the minimum limit and over the
                                          // tolerance after which the latency floor is raised
};

/// Not thread-safe.
class ConcurrencyLimit
{
public:
    explicit ConcurrencyLimit(ConcurrencyLimitOptions options = {});

    /// Records an answer after `latency`. `inFlight` is the number of this instance's requests at the endpoint when the
    /// answer arrived, including the answered one.
    void answered(Duration latency, std::uint32_t inFlight);
    /// Records that the endpoint reports its load and runs `slots` requests at once; 0 means that it does not report.
    /// With reports the limit starts at no less than `slots`, and latency is only a safeguard with a wider tolerance.
    void setReportedSlots(std::uint32_t slots);
    /// Records a refusal for overload or a timeout; cuts the limit at most once per window.
    void overloaded();

    std::uint32_t allowed() const;
    /// The estimated latency of the endpoint without queueing; zero before the first window ends.
    Duration latencyFloor() const;

private:
    void closeWindow();
    void updateLatencyFloor(double mean);

    ConcurrencyLimitOptions m_options;
    double m_limit;
    double m_tolerance;
    double m_latencyFloor = 0; // seconds
    double m_windowSum = 0;
    std::uint32_t m_windowCount = 0;
    std::uint32_t m_windowPeak = 0;
    std::uint32_t m_windowsAtMinimum = 0;
    bool m_reducedInWindow = false;
};

} // namespace bergamot
