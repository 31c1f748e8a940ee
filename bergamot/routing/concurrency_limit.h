#pragma once

// How many requests this instance keeps on one endpoint at once. The limit follows the latency: it grows while the
// endpoint answers as fast as it can and shrinks as soon as requests wait inside it, so that they wait here instead,
// where their class decides who goes first.
//
//     ConcurrencyLimit limit;
//     if (inFlight < limit.allowed()) { ... }
//     limit.answered(latency, inFlightAtDispatch);

#include <cstdint>

#include "bergamot/base/clock.h"

namespace bergamot
{

struct ConcurrencyLimitOptions
{
    double initial = 2;
    double least = 1;
    double most = 512;
    double tolerance = 1.25; // how far the latency may rise over its floor before the limit shrinks
    double reportedTolerance = 2; // the same where the endpoint's reported load is the first guide
    double smoothing = 0.3; // share of each window's verdict that is taken over
    std::uint32_t windowSize = 24; // answers
    std::uint32_t windowsToRelearn = 200; // at the least limit and still over the tolerance: the floor has risen
};

/// Not thread-safe.
class ConcurrencyLimit
{
public:
    explicit ConcurrencyLimit(ConcurrencyLimitOptions options = {});

    /// One answer after `latency`; `inFlight` is what this instance had on the endpoint when it was dispatched.
    void answered(Duration latency, std::uint32_t inFlight);
    /// The endpoint reports its load and runs `slots` requests at once (0: it does not report). Latency is then only a
    /// safeguard, and the limit starts at `slots`.
    void setReportedSlots(std::uint32_t slots);
    /// The endpoint refused for overload or ran into a timeout.
    void overloaded();

    std::uint32_t allowed() const;
    /// The latency of an endpoint without a queue; zero before the first window.
    Duration latencyFloor() const;

private:
    void closeWindow();
    void learnFloor(double mean);

    ConcurrencyLimitOptions m_options;
    double m_limit;
    double m_tolerance;
    double m_floor = 0; // seconds
    double m_windowSum = 0;
    std::uint32_t m_windowCount = 0;
    std::uint32_t m_windowPeak = 0;
    std::uint32_t m_windowsAtLeast = 0;
    bool m_reducedInWindow = false;
};

} // namespace bergamot
