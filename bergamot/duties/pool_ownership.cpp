#include "bergamot/duties/pool_ownership.h"

namespace bergamot::duties
{

PoolOwnership::PoolOwnership(std::string instance, PoolOwnershipOptions options, std::uint64_t seed)
    : m_instance(std::move(instance))
    , m_options(options)
    , m_random(seed)
{ }

void PoolOwnership::applyClaim(const std::string &instance, std::uint64_t epoch, TimePoint now)
{
    if (epoch <= m_epoch) {
        return;
    }
    m_epoch = epoch;
    m_owner = instance;
    m_fenced = false;
    drawClaimTime(now, m_options.lapsesAfter);
}

void PoolOwnership::applyRenewal(std::uint64_t epoch, TimePoint now)
{
    if (epoch == m_epoch && !m_owner.empty()) {
        drawClaimTime(now, m_options.lapsesAfter);
    }
}

void PoolOwnership::applyRelease(std::uint64_t epoch, TimePoint now)
{
    if (epoch == m_epoch) {
        m_owner.clear();
        drawClaimTime(now, Duration::zero());
    }
}

void PoolOwnership::applyLoadIntent(std::uint64_t epoch, const std::string &engine, TimePoint now)
{
    m_orders[engine] = {.epoch = epoch, .at = now};
    applyRenewal(epoch, now);
}

void PoolOwnership::logReturned(TimePoint now)
{
    drawClaimTime(now, m_owner.empty() ? m_options.startDelay : m_options.lapsesAfter);
}

void PoolOwnership::fenced()
{
    m_fenced = true;
}

void PoolOwnership::retire()
{
    m_retired = true;
}

bool PoolOwnership::owns() const
{
    return m_owner == m_instance && !m_fenced;
}

std::uint64_t PoolOwnership::epoch() const
{
    return m_epoch;
}

const std::string &PoolOwnership::owner() const
{
    return m_owner;
}

bool PoolOwnership::shouldClaim(TimePoint now) const
{
    return !m_retired && !owns() && m_claimAt != TimePoint{} && now >= m_claimAt;
}

bool PoolOwnership::shouldRenew(TimePoint lastWrite, TimePoint now) const
{
    return owns() && now - lastWrite >= m_options.renewEvery;
}

bool PoolOwnership::mayOrder(const std::string &engine, TimePoint now) const
{
    if (!owns()) {
        return false;
    }
    const auto seen = m_orders.find(engine);
    return seen == m_orders.end() || seen->second.epoch == m_epoch || now - seen->second.at >= m_options.orderLease;
}

void PoolOwnership::drawClaimTime(TimePoint now, Duration wait)
{
    std::uniform_int_distribution<Duration::rep> spread(0, m_options.claimSpread.count());
    m_claimAt = now + wait + m_options.handicap + Duration(spread(m_random));
}

} // namespace bergamot::duties
