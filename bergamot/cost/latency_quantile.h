#pragma once

// A running estimate of one latency quantile in constant memory. The router uses it to decide when to hedge a request.
//
//     LatencyQuantile p97(0.97);
//     p97.add(latency);
//     p97.value();

#include "bergamot/base/clock.h"

namespace bergamot
{

/// Not thread-safe. A value above the estimate moves it up by `quantile` of a step and a value below moves it down by
/// `1 - quantile` of a step, so that it converges to the quantile. The step is a share of the mean.
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
