#include "bergamot/cost/endpoint_outlook.h"

#include <algorithm>
#include <cmath>

namespace bergamot::cost
{

namespace
{

constexpr Duration NamedSlownessHolds = std::chrono::milliseconds(500);
constexpr Duration QueueHolds = std::chrono::milliseconds(500);
constexpr Duration ToldHolds = std::chrono::seconds(1); // it is told again while it holds
constexpr Duration ObservedSlownessHolds = std::chrono::seconds(3);
constexpr double SlownessSmoothing = 0.1; // weight of a newly named slowness in the mean
constexpr double ObservationSmoothing = 0.5; // weight of a new answer: an instance gets few
constexpr double MaxSlowness = 50;

/// From 1 for what was learned now towards 0 for what is much older than `holds`.
double freshness(TimePoint learnedAt, Duration holds, TimePoint now)
{
    if (learnedAt == TimePoint()) {
        return 0;
    }
    const double age = std::chrono::duration<double>(std::max(now - learnedAt, Duration::zero())).count();
    return std::exp(-age / std::chrono::duration<double>(holds).count());
}

} // namespace

void EndpointOutlook::reported(const LoadReport &report, TimePoint now)
{
    m_report = report;
    m_reportedAt = now;
    if (report.slowness) {
        m_usualSlowness += SlownessSmoothing * (*report.slowness - m_usualSlowness);
    }
}

void EndpointOutlook::answered(Duration duration, Duration tail, TimePoint now)
{
    if (tail <= Duration::zero() || m_report.slowness) {
        return;
    }
    // A request that took longer than usual may have been a large one; hardly any takes longer than the tail.
    const double took = std::chrono::duration<double>(duration) / std::chrono::duration<double>(tail);
    const double observed = std::clamp(took, 1.0, MaxSlowness);
    const double before = 1 + (m_observedSlowness - 1) * freshness(m_observedAt, ObservedSlownessHolds, now);
    m_observedSlowness = before + ObservationSmoothing * (observed - before);
    m_observedAt = now;
}

double EndpointOutlook::slowness(TimePoint now) const
{
    const double observed = 1 + (m_observedSlowness - 1) * freshness(m_observedAt, ObservedSlownessHolds, now);
    const double fresh = freshness(m_reportedAt, NamedSlownessHolds, now);
    const double named = m_usualSlowness + fresh * (m_report.slowness.value_or(m_usualSlowness) - m_usualSlowness);
    const double own = observed * named;
    const double told = m_toldAt > heardAt() ? freshness(m_toldAt, ToldHolds, now) : 0;
    return own + told * (m_told.slowness - own);
}

void EndpointOutlook::told(const ToldOutlook &outlook, TimePoint now)
{
    m_told = outlook;
    m_toldAt = now;
}

TimePoint EndpointOutlook::heardAt() const
{
    return std::max(m_reportedAt, m_observedAt);
}

double EndpointOutlook::queued(std::uint32_t inFlight, TimePoint now) const
{
    const double fresh = freshness(m_reportedAt, QueueHolds, now);
    const double reported = fresh * (m_report.running + m_report.waiting);
    const double slots = std::max<double>(1, m_report.slots);
    const double own = std::max(0.0, std::max<double>(reported, inFlight) + 1 - slots);
    const double told = m_toldAt > heardAt() ? freshness(m_toldAt, ToldHolds, now) : 0;
    return own + told * (m_told.queued - own);
}

Duration EndpointOutlook::completion(const OutlookQuery &query, TimePoint now) const
{
    const double slots = std::max<double>(1, m_report.slots);
    const std::chrono::duration<double> ahead = query.queuedWork * (queued(query.inFlight, now) / slots);
    const std::chrono::duration<double> own = query.work;
    return std::chrono::duration_cast<Duration>((ahead + own) * slowness(now));
}

} // namespace bergamot::cost
