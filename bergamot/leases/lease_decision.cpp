#include "bergamot/leases/lease_decision.h"

namespace bergamot
{

LeaseDecision::LeaseDecision(LeaseOptions options)
    : m_options(std::move(options))
{ }

void LeaseDecision::want(const DutyId &duty)
{
    m_wanted.insert(duty);
    m_releaseAt.erase(duty);
}

void LeaseDecision::handBack(const DutyId &duty, TimePoint now)
{
    if (m_wanted.erase(duty) > 0) {
        m_releaseAt[duty] = now + m_options.deliveryTime;
    }
}

void LeaseDecision::handBackAll(TimePoint now)
{
    const std::set<DutyId> wanted = m_wanted;
    for (const DutyId &duty : wanted) {
        handBack(duty, now);
    }
}

void LeaseDecision::observe(const LeaseFold &fold, TimePoint now)
{
    for (const auto &[duty, entry] : fold.duties()) {
        Observed &observed = m_observed[duty];
        if (observed.latest != entry.latest) {
            observed = {entry.latest, now};
        }
    }
    forgetOldSends(now);
}

void LeaseDecision::forgetOldSends(TimePoint now)
{
    std::erase_if(m_sentAt, [this, now](const auto &sent) {
        return sent.second + m_options.term < now;
    });
}

std::optional<LeaseRequest> LeaseDecision::takeRequest(const LeaseFold &fold, TimePoint now)
{
    if (m_outstanding && m_landed && fold.applied() >= *m_landed) {
        m_outstanding = false;
    }
    if (m_outstanding || now < m_notBefore) {
        return std::nullopt;
    }
    LeaseRequest request{ReleaseKind, dueReleases(fold, now)};
    for (const DutyStep &step : request.steps) {
        m_releasedUpTo[step.duty] = m_lastSequence;
    }
    if (request.steps.empty()) {
        request = {ClaimKind, dueClaims(fold, now)};
    }
    if (request.steps.empty()) {
        return std::nullopt;
    }
    m_outstanding = true;
    m_landed.reset();
    m_notBefore = now + m_options.retryInterval;
    return request;
}

std::vector<DutyStep> LeaseDecision::dueReleases(const LeaseFold &fold, TimePoint now) const
{
    std::vector<DutyStep> steps;
    for (const auto &[duty, entry] : fold.duties()) {
        if (!mine(entry) || m_wanted.contains(duty)) {
            continue;
        }
        const auto at = m_releaseAt.find(duty);
        if (at == m_releaseAt.end() || at->second <= now) {
            steps.push_back({duty, entry.latest});
        }
    }
    return steps;
}

std::vector<DutyStep> LeaseDecision::dueClaims(const LeaseFold &fold, TimePoint now) const
{
    std::vector<DutyStep> renewals;
    std::vector<DutyStep> claims;
    bool renew = false;
    for (const DutyId &duty : m_wanted) {
        const LeaseEntry *entry = fold.find(duty);
        if (entry != nullptr && mine(*entry)) {
            renew = renew || renewalDue(*entry, now);
            renewals.push_back({duty, entry->latest});
        } else if (claimDue(duty, entry, now)) {
            claims.push_back({duty, entry == nullptr ? 0 : entry->latest});
        }
    }
    if (renew || !claims.empty()) {
        claims.insert(claims.end(), renewals.begin(), renewals.end());
    }
    return claims;
}

bool LeaseDecision::mine(const LeaseEntry &entry) const
{
    return !entry.released && entry.latestRecord.writer == m_options.holder
        && entry.latestRecord.incarnation == m_options.incarnation;
}

bool LeaseDecision::renewalDue(const LeaseEntry &entry, TimePoint now) const
{
    const auto sentAt = m_sentAt.find(entry.latestRecord.sequence);
    return sentAt == m_sentAt.end() || now >= sentAt->second + m_options.renewInterval;
}

bool LeaseDecision::claimDue(const DutyId &duty, const LeaseEntry *entry, TimePoint now) const
{
    if (entry == nullptr || entry->released) {
        return true;
    }
    const auto observed = m_observed.find(duty);
    return observed != m_observed.end() && observed->second.latest == entry->latest
        && now >= observed->second.at + m_options.term + m_options.margin + m_options.deliveryTime;
}

void LeaseDecision::sent(std::uint64_t sequence, TimePoint sentAt)
{
    m_sentAt[sequence] = sentAt;
    m_lastSequence = std::max(m_lastSequence, sequence);
}

void LeaseDecision::answered(const Result<Offset> &offset, TimePoint now)
{
    if (offset) {
        m_landed = *offset;
        return;
    }
    m_outstanding = false;
    m_notBefore = std::max(m_notBefore, now + m_options.retryInterval);
}

bool LeaseDecision::holds(const LeaseFold &fold, const DutyId &duty, TimePoint now) const
{
    const LeaseEntry *entry = fold.find(duty);
    if (entry == nullptr || !mine(*entry) || !m_wanted.contains(duty)) {
        return false;
    }
    const std::uint64_t sequence = entry->latestRecord.sequence;
    const auto released = m_releasedUpTo.find(duty);
    if (released != m_releasedUpTo.end() && sequence <= released->second) {
        return false;
    }
    const auto sentAt = m_sentAt.find(sequence);
    return sentAt != m_sentAt.end() && now < sentAt->second + m_options.term;
}

std::optional<FencingNumber> LeaseDecision::fencing(const LeaseFold &fold, const DutyId &duty, TimePoint now) const
{
    return holds(fold, duty, now) ? std::optional(fold.find(duty)->fencing) : std::nullopt;
}

bool LeaseDecision::allHandedBack(const LeaseFold &fold) const
{
    return std::none_of(fold.duties().begin(), fold.duties().end(), [this](const auto &duty) {
        return mine(duty.second);
    });
}

} // namespace bergamot
