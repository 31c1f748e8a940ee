#pragma once

// Counters and latency histograms of an instance, in the text format of Prometheus.
//
//     NodeMetrics metrics;
//     metrics.recordRequest("quotes", 200, elapsed);
//     metrics.exposition();

#include <string>

#include <set>

#include "bergamot/base/metrics.h"

namespace bergamot::node
{

/// Not thread-safe.
class NodeMetrics
{
public:
    NodeMetrics();

    /// Records a caller's request on `route` that ended with `status` (0 if its stream was aborted) after `elapsed`.
    void recordRequest(const std::string &route, int status, Duration elapsed);
    /// Sets the gauges of the engine pool: whether this instance owns it, and its samples.
    void updatePool(bool owned, std::size_t running, std::size_t waiting);
    /// Sets the bytes that the owner of the pool keeps of open batches.
    void updatePoolMemory(std::size_t bytes);
    /// Sets what is known of limits that endpoints name, and the tokens that this instance granted and refused.
    void updateQuota(std::size_t limitedEndpoints, std::uint64_t granted, std::uint64_t refused);
    /// Sets the number of usage reports that the platform has accepted from this instance.
    void updateUsage(std::uint64_t acceptedReports);
    /// Counts a request that an endpoint began for `tenant`. Beyond `MaxTenants` names, tenants are counted together.
    void recordTenant(const std::string &tenant);
    /// Sets the bytes that are held for callers and other instances, and their bound.
    void updateMemory(std::size_t heldBytes, std::size_t maxBytes);
    /// Counts a connection that was closed, or a request that was refused, to stay within the bounds.
    void recordRelease(std::string_view listener, std::string_view reason);
    /// All metrics in the text format.
    std::string exposition() const;

private:
    static constexpr std::size_t MaxTenants = 100;

    Metrics m_metrics;
    std::set<std::string> m_tenantNames;
    prometheus::Family<prometheus::Counter> &m_tenantRequests;
    prometheus::Family<prometheus::Gauge> &m_usage;
    prometheus::Family<prometheus::Counter> &m_requests;
    prometheus::Family<prometheus::Histogram> &m_requestSeconds;
    prometheus::Family<prometheus::Gauge> &m_pool;
    prometheus::Family<prometheus::Gauge> &m_quota;
    prometheus::Family<prometheus::Gauge> &m_memory;
    prometheus::Family<prometheus::Counter> &m_releases;
};

} // namespace bergamot::node
