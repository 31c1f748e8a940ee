#include "bergamot/node/node_metrics.h"

namespace bergamot::node
{

NodeMetrics::NodeMetrics()
    : m_requests(m_metrics.counters("bergamot_requests_total", "Callers' requests, by route and status."))
    , m_requestSeconds(
          m_metrics.histograms("bergamot_request_seconds", "Time to answer a caller, by route, in seconds."))
    , m_pool(m_metrics.gauges("bergamot_pool", "The engine pool at its owner: owned, samples running and waiting."))
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

std::string NodeMetrics::exposition() const
{
    return m_metrics.exposition();
}

} // namespace bergamot::node
