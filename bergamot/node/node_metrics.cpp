#include "bergamot/node/node_metrics.h"

namespace bergamot::node
{

NodeMetrics::NodeMetrics()
    : m_tenantRequests(
        m_metrics.counters("bergamot_tenant_requests_total", "Requests that endpoints began, by tenant."))
    , m_usage(m_metrics.gauges("bergamot_usage", "Usage reports that the platform has accepted from this instance."))
    , m_requests(m_metrics.counters("bergamot_requests_total", "Callers' requests, by route and status."))
    , m_requestSeconds(
          m_metrics.histograms("bergamot_request_seconds", "Time to answer a caller, by route, in seconds."))
    , m_pool(m_metrics.gauges("bergamot_pool", "The engine pool at its owner: owned, samples running and waiting."))
    , m_quota(m_metrics.gauges("bergamot_quota",
                               "Endpoints that name a limit, and the tokens that this instance granted and refused."))
    , m_memory(m_metrics.gauges("bergamot_held_bytes", "Bytes held for callers and other instances, and their bound."))
    , m_releases(m_metrics.counters("bergamot_released_total",
                                    "Connections closed and requests refused to stay within bounds, by listener."))
{ }

void NodeMetrics::recordRequest(const std::string &route, int status, Duration elapsed)
{
    m_requests.Add({{"route", route}, {"status", std::to_string(status)}}).Increment();
    observeSeconds(m_requestSeconds, {{"route", route}}, elapsed);
}

void NodeMetrics::updatePool(bool owned, std::size_t running, std::size_t waiting)
{
    m_pool.Add({{"what", "owned"}}).Set(owned ? 1 : 0);
    m_pool.Add({{"what", "running"}}).Set(static_cast<double>(running));
    m_pool.Add({{"what", "waiting"}}).Set(static_cast<double>(waiting));
}

void NodeMetrics::updatePoolMemory(std::size_t bytes)
{
    m_pool.Add({{"what", "bytes"}}).Set(static_cast<double>(bytes));
}

void NodeMetrics::updateQuota(std::size_t limitedEndpoints, std::uint64_t granted, std::uint64_t refused)
{
    m_quota.Add({{"what", "limited_endpoints"}}).Set(static_cast<double>(limitedEndpoints));
    m_quota.Add({{"what", "granted_tokens"}}).Set(static_cast<double>(granted));
    m_quota.Add({{"what", "refused_tokens"}}).Set(static_cast<double>(refused));
}

void NodeMetrics::updateUsage(std::uint64_t acceptedReports)
{
    m_usage.Add({{"what", "accepted_reports"}}).Set(static_cast<double>(acceptedReports));
}

void NodeMetrics::recordTenant(const std::string &tenant)
{
    const bool named = m_tenantNames.contains(tenant) || m_tenantNames.size() < MaxTenants;
    if (named) {
        m_tenantNames.insert(tenant);
    }
    m_tenantRequests.Add({{"tenant", named ? tenant : std::string("others")}}).Increment();
}

void NodeMetrics::updateMemory(std::size_t heldBytes, std::size_t maxBytes)
{
    m_memory.Add({{"what", "held"}}).Set(static_cast<double>(heldBytes));
    m_memory.Add({{"what", "bound"}}).Set(static_cast<double>(maxBytes));
}

void NodeMetrics::recordRelease(std::string_view listener, std::string_view reason)
{
    m_releases.Add({{"listener", std::string(listener)}, {"reason", std::string(reason)}}).Increment();
}

std::string NodeMetrics::exposition() const
{
    return m_metrics.exposition();
}

} // namespace bergamot::node
