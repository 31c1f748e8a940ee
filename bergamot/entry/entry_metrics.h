#pragma once

// What an operator sees of the data path: answer times by tenant and class, outcomes by class and reason, attempts by
// target.

#include <mutex>
#include <set>
#include <string>

#include "bergamot/base/metrics.h"
#include "bergamot/routing/outcome.h"

namespace bergamot
{

/// Thread-safe.
class EntryMetrics
{
public:
    explicit EntryMetrics(Metrics &metrics);

    /// One final answer. `reason` is empty unless the request was refused.
    void finished(const std::string &tenant,
                  TrafficClass trafficClass,
                  RequestOutcome outcome,
                  const std::string &reason,
                  Duration elapsed);
    void attempted(const std::string &target);
    void attemptFailed(const std::string &target, DeliveryProof proof);
    void callerDisconnected(TrafficClass trafficClass);
    void callerTooSlow(TrafficClass trafficClass);
    void load(std::size_t pending, std::size_t queued);

private:
    std::string tenantLabel(const std::string &tenant);

    prometheus::Family<prometheus::Histogram> &m_seconds;
    prometheus::Family<prometheus::Counter> &m_outcomes;
    prometheus::Family<prometheus::Counter> &m_attempts;
    prometheus::Family<prometheus::Counter> &m_failures;
    prometheus::Family<prometheus::Counter> &m_disconnected;
    prometheus::Family<prometheus::Counter> &m_slow;
    prometheus::Family<prometheus::Gauge> &m_load;
    std::mutex m_mutex;
    std::set<std::string> m_tenants;
};

} // namespace bergamot
