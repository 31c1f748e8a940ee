#include "bergamot/duties/pool_ownership.h"

namespace bergamot::duties
{

namespace
{

constexpr std::string_view UnknownOwner = "?"; // its claim has expired from the log

} // namespace

PoolOwnership::PoolOwnership(std::string instance, PoolOwnershipOptions options, std::uint64_t seed)
    : m_instance(std::move(instance))
    , m_options(options)
    , m_random(seed)
{ }

PoolOwnershipState PoolOwnership::state(TimePoint now) const
{
    PoolOwnershipState state{.epoch = m_epoch, .owner = m_owner, .recentOrders = {}};
    for (const auto &[engine, order] : m_latestOrders) {
        if (now - order.at < m_options.orderLease) {
            state.recentOrders[engine] = order.epoch;
        }
    }
    return state;
}

void PoolOwnership::restore(const PoolOwnershipState &state, TimePoint now)
{
    m_epoch = state.epoch;
    m_owner = state.owner;
    m_epochStep = 1;
    m_fenced = false;
    m_latestOrders.clear();
    for (const auto &[engine, epoch] : state.recentOrders) {
        m_latestOrders[engine] = {.epoch = epoch, .at = now};
    }
}

void PoolOwnership::applyClaim(const std::string &instance, std::uint64_t epoch, TimePoint now)
{
    if (epoch <= m_epoch) {
        return;
    }
    m_epoch = epoch;
    m_epochStep = 1;
    m_owner = instance;
    m_fenced = false;
    scheduleClaim(now, m_options.expiresAfter);
}

void PoolOwnership::applyRenewal(std::uint64_t epoch, TimePoint now)
{
    if (epoch > m_epoch) {
        applyClaim(std::string(UnknownOwner), epoch, now);
        return;
    }
    if (epoch == m_epoch && !m_owner.empty()) {
        scheduleClaim(now, m_options.expiresAfter);
    }
}

void PoolOwnership::applyRelease(std::uint64_t epoch, TimePoint now)
{
    if (epoch == m_epoch) {
        m_owner.clear();
        scheduleClaim(now, Duration::zero());
    }
}

void PoolOwnership::applyLoadIntent(std::uint64_t epoch, const std::string &engine, TimePoint now)
{
    m_latestOrders[engine] = {.epoch = epoch, .at = now};
    applyRenewal(epoch, now);
}

void PoolOwnership::logRecovered(TimePoint now)
{
    scheduleClaim(now, m_owner.empty() ? m_options.startDelay : m_options.expiresAfter);
    scheduleProbe(now, Duration::zero());
}

void PoolOwnership::onFenced()
{
    m_fenced = true;
}

void PoolOwnership::onOwnerGone(const std::string &instance, TimePoint now)
{
    if (instance == m_owner && instance != m_instance) {
        m_owner.clear();
        scheduleClaim(now, Duration::zero());
    }
}

void PoolOwnership::onOwnerProbed(TimePoint now)
{
    scheduleProbe(now, m_options.probeAfter);
}

void PoolOwnership::onClaimFenced()
{
    m_epochStep *= 2;
}

void PoolOwnership::stopClaiming()
{
    m_claimingStopped = true;
}

bool PoolOwnership::isOwner() const
{
    return m_owner == m_instance && !m_fenced;
}

std::uint64_t PoolOwnership::epoch() const
{
    return m_epoch;
}

std::uint64_t PoolOwnership::nextEpoch() const
{
    return m_epoch + m_epochStep;
}

const std::string &PoolOwnership::owner() const
{
    return m_owner;
}

void PoolOwnership::tick(TimePoint now, TimePoint confirmedAt)
{
    if (m_tickedAt != TimePoint() && now - m_tickedAt > m_options.pausedAfter) {
        m_resumedAt = now;
    }
    m_tickedAt = now;
    m_viewBehindPause = confirmedAt < m_resumedAt;
}

bool PoolOwnership::shouldClaim(TimePoint now) const
{
    return !m_claimingStopped && !m_viewBehindPause && !isOwner() && m_claimAt != TimePoint{} && now >= m_claimAt;
}

bool PoolOwnership::shouldProbeOwner(TimePoint now) const
{
    return !m_claimingStopped && !m_viewBehindPause && !isOwner() && !m_owner.empty() && m_probeAt != TimePoint{}
    && now >= m_probeAt;
}

bool PoolOwnership::shouldRenew(TimePoint lastWrite, TimePoint now) const
{
    return isOwner() && now - lastWrite >= m_options.renewalInterval;
}

bool PoolOwnership::mayOrderLoad(const std::string &engine, TimePoint now) const
{
    if (!isOwner()) {
        return false;
    }
    const auto latest = m_latestOrders.find(engine);
    return latest == m_latestOrders.end() || latest->second.epoch == m_epoch
        || now - latest->second.at >= m_options.orderLease;
}

void PoolOwnership::scheduleClaim(TimePoint now, Duration wait)
{
    m_claimAt = now + wait + m_options.extraClaimDelay + randomDelay();
    scheduleProbe(now, m_options.probeAfter);
}

void PoolOwnership::scheduleProbe(TimePoint now, Duration wait)
{
    m_probeAt = now + wait + m_options.extraClaimDelay + randomDelay();
}

Duration PoolOwnership::randomDelay()
{
    std::uniform_int_distribution<Duration::rep> jitter(0, m_options.claimJitter.count());
    return Duration(jitter(m_random));
}

} // namespace bergamot::duties
