#pragma once

// Metrics of the data path: answer times by tenant and traffic class, outcomes by class and reason, attempts by target,
// and requests that have no final answer. A metric of failed attempts is declared, but nothing records it yet.

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

    /// Records a final answer; `reason` refines the outcome, for example why the request was refused, or is empty.
    void recordAnswer(const std::string &tenant,
                      TrafficClass trafficClass,
                      RequestOutcome outcome,
                      const std::string &reason,
                      Duration elapsed);
    void recordAttempt(const std::string &target);
    void recordAttemptFailure(const std::string &target, DeliveryProof proof);
    void recordCallerDisconnected(TrafficClass trafficClass);
    void recordSlowCaller(TrafficClass trafficClass);
    void setLoad(std::size_t pending, std::size_t queued);

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
    std::set<std::string> m_tenants; // tenants that have a label of their own
};

} // namespace bergamot
