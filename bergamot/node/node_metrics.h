#pragma once

// Counters and latency histograms of an instance, in the text format of Prometheus.
//
//     NodeMetrics metrics;
//     metrics.answered("quotes", 200, elapsed);
//     metrics.exposition();

#include <string>

#include "bergamot/base/metrics.h"

namespace bergamot::node
{

/// Not thread-safe.
class NodeMetrics
{
public:
    NodeMetrics();

    /// A caller's request on `route` ended with `status` (0: broken off) after `elapsed`.
    void answered(const std::string &route, int status, Duration elapsed);
    void setPool(bool owned, std::size_t running, std::size_t waiting);
    std::string exposition() const;

private:
    Metrics m_metrics;
    prometheus::Family<prometheus::Counter> &m_requests;
    prometheus::Family<prometheus::Histogram> &m_seconds;
    prometheus::Family<prometheus::Gauge> &m_pool;
};

} // namespace bergamot::node
