#include "bergamot/entry/entry_metrics.h"

namespace bergamot
{

namespace
{

// Further tenants share the label "other", so that callers cannot make the metrics grow without bound.
constexpr std::size_t MaxTenantLabels = 100;

} // namespace

EntryMetrics::EntryMetrics(Metrics &metrics)
    : m_seconds(metrics.histograms("bergamot_entry_request_seconds", "Time to the whole answer, in seconds."))
    , m_outcomes(metrics.counters("bergamot_entry_requests_total", "Final answers by outcome and reason."))
    , m_attempts(metrics.counters("bergamot_entry_attempts_total", "Requests sent to endpoints."))
    , m_failures(metrics.counters("bergamot_entry_attempt_failures_total", "Attempts without a whole answer."))
    , m_disconnected(metrics.counters("bergamot_entry_callers_gone_total", "Callers that left before their answer."))
    , m_slow(metrics.counters("bergamot_entry_slow_callers_total", "Streams closed because their caller did not read."))
    , m_load(metrics.gauges("bergamot_entry_requests", "Requests without a final answer, by state."))
{ }

void EntryMetrics::recordAnswer(const std::string &tenant,
                                TrafficClass trafficClass,
                                RequestOutcome outcome,
                                const std::string &reason,
                                Duration elapsed)
{
    const std::string className(trafficClassName(trafficClass));
    observeSeconds(m_seconds, {{"tenant", tenantLabel(tenant)}, {"class", className}}, elapsed);
    m_outcomes.Add({{"class", className}, {"outcome", std::string(outcomeName(outcome))}, {"reason", reason}})
        .Increment();
}

void EntryMetrics::recordAttempt(const std::string &target)
{
    m_attempts.Add({{"target", target}}).Increment();
}

void EntryMetrics::recordAttemptFailure(const std::string &target, DeliveryProof proof)
{
    const std::string name = proof == DeliveryProof::NotRun ? "not-run" : "maybe-ran";
    m_failures.Add({{"target", target}, {"proof", name}}).Increment();
}

void EntryMetrics::recordCallerDisconnected(TrafficClass trafficClass)
{
    m_disconnected.Add({{"class", std::string(trafficClassName(trafficClass))}}).Increment();
}

void EntryMetrics::recordSlowCaller(TrafficClass trafficClass)
{
    m_slow.Add({{"class", std::string(trafficClassName(trafficClass))}}).Increment();
}

void EntryMetrics::setLoad(std::size_t pending, std::size_t queued)
{
    m_load.Add({{"state", "pending"}}).Set(static_cast<double>(pending));
    m_load.Add({{"state", "queued"}}).Set(static_cast<double>(queued));
}

std::string EntryMetrics::tenantLabel(const std::string &tenant)
{
    const std::lock_guard lock(m_mutex);
    if (m_tenants.size() < MaxTenantLabels) {
        m_tenants.insert(tenant);
    }
    return m_tenants.contains(tenant) ? tenant : "other";
}

} // namespace bergamot
