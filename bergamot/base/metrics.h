#pragma once

// Metrics of a process in the Prometheus text format. The program serves them at /metrics.
//
//     Metrics metrics;
//     prometheus::Family<prometheus::Histogram> &latency =
//         metrics.histograms("bergamot_request_seconds", "Time to answer a caller, in seconds.");
//     observeSeconds(latency, {{"tenant", tenant}, {"class", "interactive"}}, elapsed);

#include <memory>
#include <string>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "bergamot/base/clock.h"

namespace bergamot
{

/// The registry of a process's metrics. Thread-safe.
class Metrics
{
public:
    Metrics();

    prometheus::Family<prometheus::Counter> &counters(const std::string &name, const std::string &help);
    prometheus::Family<prometheus::Gauge> &gauges(const std::string &name, const std::string &help);
    prometheus::Family<prometheus::Histogram> &histograms(const std::string &name, const std::string &help);

    /// All metrics in the text format, as the body of a response to GET /metrics.
    std::string exposition() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
};

/// Adds one observation to the histogram of `labels`, with buckets from 1 ms to 100 s.
void observeSeconds(prometheus::Family<prometheus::Histogram> &family,
                    const prometheus::Labels &labels,
                    Duration elapsed);

} // namespace bergamot
