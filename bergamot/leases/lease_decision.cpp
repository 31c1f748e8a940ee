#include "bergamot/leases/lease_decision.h"

namespace bergamot
{

LeaseDecision::LeaseDecision(LeaseOptions options)
    : m_options(std::move(options))
{ }

void LeaseDecision::acquire(const DutyId &duty)
{
    m_wantedDuties.insert(duty);
    m_releaseDue.erase(duty);
}

void LeaseDecision::relinquish(const DutyId &duty, TimePoint now)
{
    if (m_wantedDuties.erase(duty) > 0) {
        m_releaseDue[duty] = now + m_options.deliveryTime;
    }
}

void LeaseDecision::relinquishAll(TimePoint now)
{
    const std::set<DutyId> wanted = m_wantedDuties;
    for (const DutyId &duty : wanted) {
        relinquish(duty, now);
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
    removeExpiredSends(now);
}

void LeaseDecision::removeExpiredSends(TimePoint now)
{
    std::erase_if(m_sentAt, [this, now](const auto &sendTime) {
        return sendTime.second + m_options.term < now;
    });
}

std::optional<LeaseRequest> LeaseDecision::takeRequest(const LeaseFold &fold, TimePoint now)
{
    if (m_outstanding && m_outstandingOffset && fold.applied() >= *m_outstandingOffset) {
        m_outstanding = false;
    }
    if (m_outstanding || now < m_nextRequestAt) {
        return std::nullopt;
    }
    LeaseRequest request{ReleaseKind, releasesDue(fold, now)};
    for (const DutyUpdate &update : request.updates) {
        m_releasedUpTo[update.duty] = m_lastSequence;
    }
    if (request.updates.empty()) {
        request = {ClaimKind, claimsDue(fold, now)};
    }
    if (request.updates.empty()) {
        return std::nullopt;
    }
    m_outstanding = true;
    m_outstandingOffset.reset();
    m_nextRequestAt = now + m_options.retryInterval;
    return request;
}

std::vector<DutyUpdate> LeaseDecision::releasesDue(const LeaseFold &fold, TimePoint now) const
{
    std::vector<DutyUpdate> updates;
    for (const auto &[duty, entry] : fold.duties()) {
        if (!heldByThisProcess(entry) || m_wantedDuties.contains(duty)) {
            continue;
        }
        const auto releaseDue = m_releaseDue.find(duty);
        if (releaseDue == m_releaseDue.end() || releaseDue->second <= now) {
            updates.push_back({duty, entry.latest});
        }
    }
    return updates;
}

std::vector<DutyUpdate> LeaseDecision::claimsDue(const LeaseFold &fold, TimePoint now) const
{
    std::vector<DutyUpdate> renewals;
    std::vector<DutyUpdate> claims;
    bool renew = false;
    for (const DutyId &duty : m_wantedDuties) {
        const LeaseEntry *entry = fold.find(duty);
        if (entry != nullptr && heldByThisProcess(*entry)) {
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

bool LeaseDecision::heldByThisProcess(const LeaseEntry &entry) const
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

void LeaseDecision::recordSent(std::uint64_t sequence, TimePoint sentAt)
{
    m_sentAt[sequence] = sentAt;
    m_lastSequence = std::max(m_lastSequence, sequence);
}

void LeaseDecision::recordAnswer(const Result<Offset> &offset, TimePoint now)
{
    if (offset) {
        m_outstandingOffset = *offset;
        return;
    }
    m_outstanding = false;
    m_nextRequestAt = std::max(m_nextRequestAt, now + m_options.retryInterval);
}

bool LeaseDecision::holds(const LeaseFold &fold, const DutyId &duty, TimePoint now) const
{
    const LeaseEntry *entry = fold.find(duty);
    if (entry == nullptr || !heldByThisProcess(*entry) || !m_wantedDuties.contains(duty)) {
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

bool LeaseDecision::allReleased(const LeaseFold &fold) const
{
    return std::none_of(fold.duties().begin(), fold.duties().end(), [this](const auto &item) {
        return heldByThisProcess(item.second);
    });
}

} // namespace bergamot
