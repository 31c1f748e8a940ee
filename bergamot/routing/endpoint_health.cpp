#include "bergamot/routing/endpoint_health.h"

namespace bergamot
{

namespace
{

constexpr double MinSlowStartShare = 0.1;
constexpr std::uint32_t MaxShift = 16;

bool ejectsAtOnce(EndpointFailure failure)
{
    return failure == EndpointFailure::Refused || failure == EndpointFailure::Slow;
}

} // namespace

EndpointHealth::EndpointHealth(EndpointHealthOptions options)
    : m_options(options)
{ }

void EndpointHealth::dispatched(TimePoint now)
{
    if (m_ejected && now >= m_probeAt) {
        m_probeInFlight = true;
    }
}

void EndpointHealth::succeeded(TimePoint now)
{
    m_consecutiveFailures = 0;
    if (m_ejected && m_probeInFlight) {
        m_ejected = false;
        m_reinstatedAt = now;
    }
    if (!m_ejected && now - m_reinstatedAt >= m_options.slowStart) {
        m_consecutiveEjections = 0;
    }
    m_probeInFlight = false;
}

void EndpointHealth::failed(EndpointFailure failure, TimePoint now, std::mt19937_64 &random)
{
    ++m_consecutiveFailures;
    const bool failedProbe = m_ejected && m_probeInFlight;
    const bool ejectNow = !m_ejected && (ejectsAtOnce(failure) || m_consecutiveFailures >= m_options.failuresToEject);
    m_probeInFlight = false;
    if (failedProbe || ejectNow) {
        eject(now, random);
    }
}

void EndpointHealth::endedInconclusively()
{
    m_probeInFlight = false;
}

bool EndpointHealth::admits(TimePoint now) const
{
    return !m_ejected || (now >= m_probeAt && !m_probeInFlight);
}

bool EndpointHealth::ejected() const
{
    return m_ejected;
}

bool EndpointHealth::probing() const
{
    return m_probeInFlight;
}

double EndpointHealth::share(TimePoint now) const
{
    if (m_reinstatedAt == TimePoint{} || now - m_reinstatedAt >= m_options.slowStart) {
        return 1.0;
    }
    const double progress = std::chrono::duration<double>(now - m_reinstatedAt) / m_options.slowStart;
    return std::max(MinSlowStartShare, progress);
}

void EndpointHealth::eject(TimePoint now, std::mt19937_64 &random)
{
    const Duration doubled = m_options.minEjection * (std::int64_t{1} << std::min(m_consecutiveEjections, MaxShift));
    const Duration longest = std::min(doubled, m_options.maxEjection);
    std::uniform_int_distribution<Duration::rep> jitter(longest.count() / 2, longest.count());
    m_ejected = true;
    ++m_consecutiveEjections;
    m_probeAt = now + Duration(jitter(random));
}

} // namespace bergamot
