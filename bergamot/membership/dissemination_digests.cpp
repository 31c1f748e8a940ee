#include "bergamot/membership/dissemination.h"

#include <algorithm>

#include "bergamot/base/hash.h"
#include "bergamot/membership/internal/dissemination_limits.h"
#include "bergamot/membership/relay_choice.h"

// The part of `Dissemination` that decides which peers are sent a digest, when, and with what content.

namespace bergamot
{

using namespace internal;

std::vector<InstanceId> Dissemination::contacts(TimePoint now) const
{
    const FailureDomainId &domain = m_options.self.domain;
    std::vector<InstanceId> relays = relaysOf(domain, m_members.eligible(domain, now));
    std::erase(relays, m_options.self.instance);
    return contactOrder(m_options.self.instance, relays);
}

void Dissemination::addDigests(std::vector<Action> &actions, TimePoint now)
{
    const std::vector<InstanceId> relays = contacts(now);
    choosePrimary(relays, now);
    for (const InstanceId &relay : relays) {
        addDigest(actions, relay, digestPeriod(now), now);
    }
    for (const InstanceId &peer : std::exchange(m_peersAhead, {})) {
        addDigest(actions, peer, m_options.digestPeriod, now);
    }
    if (m_isRelay) {
        addCrossDomainDigests(actions, now);
    }
    const bool isAlone = relays.empty() && (!m_builder.hasList() || m_members.domains().size() == 1);
    if (isAlone || hasLostRelays(now)) {
        addSeedDigests(actions, now);
    }
    m_schedule.expire(PeerLifetime, now);
}

void Dissemination::choosePrimary(const std::vector<InstanceId> &relays, TimePoint now)
{
    for (const InstanceId &relay : relays) {
        if (m_schedule.isLate(relay.value(), m_options.relayTimeout, now)) {
            m_lastDeltaFailure[relay.value()] = now;
        }
    }
    std::erase_if(m_lastDeltaFailure, [this, now](const auto &entry) {
        return now - entry.second > m_options.relayLossTimeout;
    });
    const auto servesDeltas = [this](const InstanceId &relay) {
        return !m_lastDeltaFailure.contains(relay.value());
    };
    auto choice = std::find_if(relays.begin(), relays.end(), servesDeltas);
    choice = choice == relays.end() ? relays.begin() : choice;
    const std::string primary = relays.empty() || m_isRelay ? std::string() : choice->value();
    if (primary != m_primary) {
        m_primary = primary;
        m_seenTick = 0;
        m_schedule.makeDue(primary);
    }
}

void Dissemination::addCrossDomainDigests(std::vector<Action> &actions, TimePoint now)
{
    const Duration period = isLogCurrent(now) ? m_options.crossDomainPeriod : m_options.digestPeriod;
    const bool hasUpdate = m_hasUpdateForOtherDomains && now >= m_nextUpdateForOtherDomains;
    for (const FailureDomainId &domain : m_members.domains()) {
        if (domain == m_options.self.domain) {
            continue;
        }
        std::vector<InstanceId> relays = relaysOf(domain, m_members.eligible(domain, now));
        relays = contactOrder(m_options.self.instance, relays);
        if (!hasUpdate && relays.size() > 1) {
            relays.resize(1);
        }
        for (const InstanceId &relay : relays) {
            if (hasUpdate) {
                m_schedule.makeDue(relay.value());
            }
            addDigest(actions, relay, period, now);
        }
    }
    if (hasUpdate) {
        m_hasUpdateForOtherDomains = false;
        m_nextUpdateForOtherDomains = now + m_options.digestPeriod;
    }
}

void Dissemination::addSeedDigests(std::vector<Action> &actions, TimePoint now)
{
    for (const std::string &address : m_options.seedPeers) {
        const std::string peer = std::string(SeedPrefix) + address;
        if (address != m_options.self.controlAddress && m_schedule.isDue(peer, now)) {
            send(actions, peer, address, m_options.digestPeriod, now);
        }
    }
}

void Dissemination::addAnnouncements(std::vector<Action> &actions, TimePoint now)
{
    for (const inner::MemberStatusT &status : m_members.statuses(now)) {
        if (isOwnDomain(status.domain) && status.instance != m_options.self.instance.value()) {
            addDigest(actions, InstanceId(status.instance), m_options.digestPeriod, now);
        }
    }
}

void Dissemination::addDigest(std::vector<Action> &actions, const InstanceId &to, Duration period, TimePoint now)
{
    const std::optional<Member> member = m_members.find(to);
    if (member && !member->controlAddress.empty() && m_schedule.isDue(to.value(), now)) {
        send(actions, to.value(), member->controlAddress, period, now);
    }
}

void Dissemination::send(
    std::vector<Action> &actions, const std::string &peer, std::string address, Duration period, TimePoint now)
{
    actions.emplace_back(SendDigest{peer, std::move(address), makeDigest(peer, now)});
    m_schedule.recordSent(peer, m_poller.tick(), period, now);
}

inner::DigestT Dissemination::makeDigest(const std::string &peer, TimePoint now)
{
    const Member &self = m_members.self();
    inner::DigestT digest;
    for (const StreamReplica *replica : m_replicas) {
        auto position = std::make_unique<inner::StreamPositionT>();
        position->stream = replica->stream();
        position->applied = replica->applied();
        digest.positions.push_back(std::move(position));
    }
    digest.config_version = m_configVersion();
    digest.draining = self.draining;
    digest.control_address = self.controlAddress;
    digest.entry_address = self.entryAddress;
    const std::optional<Member> member = m_members.find(InstanceId(peer));
    const bool isSameDomain = member && isOwnDomain(member->domain.value());
    const bool hasNoState = m_isRelay ? !m_builder.hasList() : m_table.members.rows().empty();
    digest.want_delta = peer == m_primary || (hasNoState && (isSameDomain || peer.starts_with(SeedPrefix)));
    if (digest.want_delta) {
        m_deltaRequested.insert(peer);
    } else {
        m_deltaRequested.erase(peer);
    }
    digest.seen_tick = peer == m_primary ? m_seenTick : 0;
    if (!isSameDomain) {
        if (m_hasUpdateForOtherDomains) {
            for (inner::EndpointReportT &report : m_builder.reportsForOtherDomains(now)) {
                digest.reports.push_back(std::make_unique<inner::EndpointReportT>(std::move(report)));
            }
        }
        return digest;
    }
    for (inner::EndpointReportT &report : m_poller.reportsSince(m_schedule.acknowledgedReportTick(peer, now))) {
        digest.reports.push_back(std::make_unique<inner::EndpointReportT>(std::move(report)));
    }
    digest.loads = m_poller.loads();
    for (const RecentSuspect &recent : m_recentSuspects) {
        digest.suspects.push_back(std::make_unique<inner::SuspectT>(recent.suspect));
    }
    for (const auto &[model, row] : m_table.published.rows()) {
        digest.published.push_back(std::make_unique<inner::PublishedVersionT>(row.value));
    }
    return digest;
}

Duration Dissemination::digestPeriod(TimePoint now) const
{
    const std::size_t members = m_members.eligible(m_options.self.domain, now).size();
    const std::size_t base = m_options.membersAtDigestPeriod;
    return members <= base
        ? m_options.digestPeriod
        : m_options.digestPeriod * static_cast<std::int64_t>(members) / static_cast<std::int64_t>(base);
}

Duration Dissemination::listPeriod() const
{
    return std::max(m_options.listPeriod, m_options.listPeriodPerEntry * static_cast<std::int64_t>(m_listEntries));
}

bool Dissemination::hasLostRelays(TimePoint now) const
{
    return !m_isRelay && now - m_lastRelayAnswer.value_or(*m_startedAt) > m_options.relayLossTimeout;
}

bool Dissemination::isLogCurrent(TimePoint now) const
{
    return std::all_of(m_tails.begin(), m_tails.end(), [now](const LogTail &tail) {
        return tail.isCurrent(now);
    });
}

} // namespace bergamot
