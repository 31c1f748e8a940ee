#pragma once

// A running estimate of one quantile of latencies, in constant memory; tells when a request is late enough to hedge.
//
//     LatencyQuantile p97(0.97);
//     p97.add(latency);
//     p97.value();

#include "bergamot/base/clock.h"

namespace bergamot
{

/// Not thread-safe. Moves up by the quantile's share of a step for a value above it and down by the rest for one
/// below, so that it settles where the shares balance.
class LatencyQuantile
{
public:
    explicit LatencyQuantile(double quantile);

    void add(Duration latency);
    /// Zero before the first value.
    Duration value() const;

private:
    double m_quantile;
    double m_value = 0; // seconds
    double m_mean = 0;
};

} // namespace bergamot
