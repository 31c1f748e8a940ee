#include <algorithm>

#include "bergamot/base/hash.h"
#include "bergamot/membership/dissemination.h"
#include "bergamot/membership/internal/dissemination_limits.h"

// The part of `Dissemination` that applies received digests, replies, log pages, lists and poll results.

namespace bergamot
{

using namespace internal;

namespace
{

constexpr Duration RecentSuspectLifetime = std::chrono::seconds(5); // how long a suspect is part of each digest
constexpr std::uint64_t NoRelayTick = 0; // marks a delta that was sent by an instance which is not a relay
constexpr std::size_t MinRecordsOfFullReply = 200; // a reply with as many records may be followed by more

constexpr std::string_view DomainPollerPrefix = "domain/";

std::uint64_t positionIn(const inner::DigestT &digest, const std::string &stream)
{
    for (const auto &position : digest.positions) {
        if (position->stream == stream) {
            return position->applied;
        }
    }
    return 0;
}

} // namespace

bool Dissemination::isRecentlyConfirmed(TimePoint now) const
{
    const bool isOtherDomainFresh =
        m_lastOtherDomainConfirmation && now - *m_lastOtherDomainConfirmation <= m_options.logTail.freshness;
    return isLogCurrent(now) || isOtherDomainFresh;
}

bool Dissemination::isCaughtUp(TimePoint now) const
{
    const bool isRelayFresh = m_lastConfirmation && now - *m_lastConfirmation <= m_options.logTail.freshness;
    return isLogCurrent(now) || isRelayFresh;
}

inner::DigestReplyT Dissemination::digestReceived(const std::string &sender,
                                                  const std::string &domain,
                                                  const inner::DigestT &digest,
                                                  TimePoint now)
{
    m_members.recordContact({InstanceId(sender),
                             FailureDomainId(domain),
                             digest.control_address,
                             digest.entry_address,
                             digest.config_version,
                             digest.draining},
                            now);
    if (isOwnDomain(domain)) {
        applyDigestReports(sender, digest, now);
    } else {
        applyRemoteReports(domain, digest.reports, now);
    }
    if (isAhead(digest)) {
        m_peersAhead.insert(InstanceId(sender));
    }
    inner::DigestReplyT reply;
    reply.confirmed = isOwnDomain(domain) ? isRecentlyConfirmed(now) : isLogCurrent(now);
    addRecords(reply, sender, digest);
    if (digest.want_delta) {
        addDelta(reply, sender, digest, now);
    }
    if (!m_isRelay || m_members.self().draining) {
        reply.members.push_back(std::make_unique<inner::MemberStatusT>(m_members.statuses(now).front()));
    }
    if (!isOwnDomain(domain) && m_isRelay) {
        reply.domains.push_back(
            std::make_unique<inner::DomainSummaryT>(summarize(m_options.self.domain, m_members.statuses(now))));
        std::vector<inner::EndpointReportT> reports = m_builder.reportsForOtherDomains(now);
        reply.loads = m_builder.loadsOf(reports, now);
        for (inner::EndpointReportT &report : reports) {
            reply.reports.push_back(std::make_unique<inner::EndpointReportT>(std::move(report)));
        }
    }
    return reply;
}

void Dissemination::applyRemoteReports(const std::string &domain, const EndpointReports &reports, TimePoint now)
{
    bool isUrgent = false;
    for (const auto &report : reports) {
        isUrgent = m_builder.report(std::string(DomainPollerPrefix) + domain, *report, now) || isUrgent;
    }
    if (isUrgent && m_isRelay) {
        m_nextRebuild = now;
    }
}

void Dissemination::applyDigestReports(const std::string &sender, const inner::DigestT &digest, TimePoint now)
{
    bool isUrgent = false;
    for (const auto &report : digest.reports) {
        isUrgent = m_builder.report(sender, *report, now) || isUrgent;
    }
    m_hasUpdateForOtherDomains = m_hasUpdateForOtherDomains || (isUrgent && m_isRelay);
    m_builder.reportLoads(sender, digest.loads, now);
    for (const auto &suspect : digest.suspects) {
        m_table.mergeSuspect(*suspect, nextTick());
        m_suspectLastSeen[std::to_string(suspect->fingerprint)] = now;
        isUrgent = true;
    }
    for (const auto &version : digest.published) {
        m_table.mergePublished(*version, nextTick());
    }
    if (isUrgent) {
        m_nextRebuild = now;
    }
}

bool Dissemination::isAhead(const inner::DigestT &digest) const
{
    return std::any_of(m_replicas.begin(), m_replicas.end(), [&digest](const StreamReplica *replica) {
        return positionIn(digest, replica->stream()) > replica->applied();
    });
}

void Dissemination::addRecords(inner::DigestReplyT &reply,
                               const std::string &sender,
                               const inner::DigestT &digest) const
{
    if (sender == m_options.self.instance.value()) {
        return;
    }
    for (const StreamReplica *replica : m_replicas) {
        const std::uint64_t applied = positionIn(digest, replica->stream());
        if (applied < replica->applied()) {
            reply.streams.push_back(std::make_unique<inner::StreamRecordsT>(replica->recordsAfter(applied)));
        }
    }
}

Duration Dissemination::loadPeriod() const
{
    return m_options.loadPeriodPerEndpoint * static_cast<std::int64_t>(m_table.endpoints.rows().size());
}

void Dissemination::addDelta(inner::DigestReplyT &reply,
                             const std::string &sender,
                             const inner::DigestT &digest,
                             TimePoint now)
{
    if (!m_isRelay) {
        // A peer that requests the whole state gets that of this instance. `NoRelayTick` makes it request the whole
        // state again from a relay.
        if (digest.seen_tick == 0) {
            reply.delta = std::make_unique<inner::ViewDeltaT>(m_table.deltaSince(0, NoRelayTick));
        }
        return;
    }
    if (now >= m_nextRebuild) {
        rebuildTable(now);
    }
    const bool isOfThisEpoch = digest.seen_tick / TicksPerEpoch == m_epoch && digest.seen_tick <= m_tick;
    const bool hasRemovals = isOfThisEpoch && m_tick - digest.seen_tick < RemovalHistoryTicks;
    const std::uint64_t since = hasRemovals ? digest.seen_tick : 0;
    reply.delta = std::make_unique<inner::ViewDeltaT>(m_table.deltaSince(since, m_tick));
    TimePoint &loadsSentAt = m_loadsSentAt[sender];
    if (since != 0 && now - loadsSentAt < loadPeriod()) {
        reply.delta->loads.clear();
        reply.delta->remote_loads.clear();
    } else {
        loadsSentAt = now;
    }
}

void Dissemination::replyReceived(const std::string &peer,
                                  const std::string &sender,
                                  const std::string &domain,
                                  const inner::DigestReplyT &reply,
                                  TimePoint now)
{
    m_schedule.recordAnswer(peer);
    const InstanceId instance(sender);
    if (!m_members.find(instance) && peer.starts_with(SeedPrefix)) {
        m_members.recordContact({instance, FailureDomainId(domain), peer.substr(SeedPrefix.size())}, now);
    }
    m_members.recordAnswer(instance, now);
    for (const auto &status : reply.members) {
        if (status->instance == sender) {
            m_members.recordAnswerWithStatus(*status, now);
        }
    }
    const bool isFromRelay = reply.delta && reply.delta->tick != NoRelayTick;
    if (peer == m_primary && isFromRelay) {
        m_lastRelayAnswer = now;
        m_stateKnownAt = now;
    } else if (peer == m_primary && m_deltaRequested.contains(peer)) {
        m_lastDeltaFailure[peer] = now; // the peer doesn't consider itself a relay
    }
    applyRecords(peer, reply);
    if (!isOwnDomain(domain)) {
        applyRemoteReports(domain, reply.reports, now);
        m_builder.addLoads(reply.loads, now);
    }
    if (reply.confirmed) {
        m_isConfirmed = true;
        m_lastConfirmation = now;
        m_lastOtherDomainConfirmation = isOwnDomain(domain) ? m_lastOtherDomainConfirmation : now;
    }
    if (reply.delta) {
        applyDelta(peer, domain, *reply.delta, now);
    }
    for (const auto &summary : reply.domains) {
        m_summaries.update(*summary, now);
        m_members.applyRemoteAbsences(FailureDomainId(summary->domain), summary->absent);
    }
}

void Dissemination::applyRecords(const std::string &peer, const inner::DigestReplyT &reply)
{
    const std::uint64_t versionBefore = m_configVersion();
    bool mayHaveMore = false;
    for (const auto &streamUpdate : reply.streams) {
        for (StreamReplica *replica : m_replicas) {
            if (replica->stream() == streamUpdate->stream && replica->accept(*streamUpdate)) {
                ++m_revision;
                mayHaveMore = mayHaveMore || streamUpdate->records.size() >= MinRecordsOfFullReply
                    || !streamUpdate->checkpoint.empty();
            }
        }
    }
    // A new configuration is acknowledged by an immediate digest.
    if (mayHaveMore || m_configVersion() != versionBefore) {
        m_schedule.makeDue(peer);
    }
}

void Dissemination::applyDelta(const std::string &peer,
                               const std::string &domain,
                               const inner::ViewDeltaT &delta,
                               TimePoint now)
{
    if (!isOwnDomain(domain)) {
        applyMembers(delta, now);
        return;
    }
    if (m_isRelay) {
        if (!m_builder.hasList()) {
            initializeFrom(delta, now);
        }
        return;
    }
    const bool isFromPrimary = peer == m_primary;
    if (!isFromPrimary && !m_table.members.rows().empty()) {
        return;
    }
    const bool hasState = !m_table.members.rows().empty();
    if (hasState && delta.tick == NoRelayTick) {
        return; // the sender is not a relay, and the present state came from one
    }
    const bool isUsable = hasState && delta.since == 0 ? replaceTable(delta) : m_table.apply(delta);
    m_seenTick = isUsable && isFromPrimary ? delta.tick : 0;
    applyMembers(delta, now);
    ++m_revision;
}

bool Dissemination::replaceTable(const inner::ViewDeltaT &delta)
{
    FleetTable next = m_table;
    if (!next.apply(delta)) {
        return false; // an incomplete state must not replace a complete one
    }
    m_table = std::move(next);
    return true;
}

void Dissemination::applyMembers(const inner::ViewDeltaT &delta, TimePoint now)
{
    for (const auto &member : delta.members) {
        m_members.applyRelayStatus(*member, now);
    }
    for (const std::string &name : delta.removed_members) {
        m_members.applyRelayRemoval(InstanceId(name));
    }
}

void Dissemination::initializeFrom(const inner::ViewDeltaT &delta, TimePoint now)
{
    std::vector<inner::EndpointT> endpoints;
    for (const auto &endpoint : delta.endpoints) {
        endpoints.push_back(*endpoint);
    }
    m_builder.adoptList(endpoints);
    applyMembers(delta, now);
    for (const auto &suspect : delta.suspects) {
        m_table.mergeSuspect(*suspect, nextTick());
        m_suspectLastSeen[std::to_string(suspect->fingerprint)] = now;
    }
    for (const auto &version : delta.published) {
        m_table.mergePublished(*version, nextTick());
    }
    m_nextRebuild = now;
}

void Dissemination::replyFailed(const std::string &peer, TimePoint now)
{
    m_schedule.recordFailure(peer);
    m_members.recordNoAnswer(InstanceId(peer), now);
}

void Dissemination::answered(const InstanceId &instance, TimePoint now)
{
    m_members.recordAnswer(instance, now);
}

void Dissemination::unanswered(const InstanceId &instance, TimePoint now)
{
    m_members.recordNoAnswer(instance, now);
}

void Dissemination::logRead(const std::string &stream, const Result<LogPage> &page, TimePoint now)
{
    for (LogTail &tail : m_tails) {
        if (tail.stream() == stream) {
            tail.pageRead(page, now);
        }
    }
    m_isConfirmed = m_isConfirmed || isLogCurrent(now);
    ++m_revision;
}

void Dissemination::listFetched(const Result<std::vector<ListedMember>> &list, TimePoint now)
{
    m_listInFlight = false;
    if (!list) {
        return;
    }
    m_listEntries = list->size();
    m_nextList = std::max(m_nextList, m_listSentAt + listPeriod());
    m_members.applyList(*list, now);
    m_builder.setList(*list);
    m_nextRebuild = now;
}

void Dissemination::endpointPolled(const EndpointId &endpoint, const Result<EngineState> &state, TimePoint now)
{
    if (!m_poller.polled(endpoint, state, now)) {
        return;
    }
    m_nextRebuild = now;
    m_hasUpdateForOtherDomains = m_hasUpdateForOtherDomains || m_isRelay;
    for (const InstanceId &relay : contacts(now)) {
        m_schedule.makeDue(relay.value());
    }
}

void Dissemination::expect(const std::string &stream, Offset offset)
{
    Offset &expected = m_expectedOffsets[stream];
    expected = std::max(expected, offset);
    for (LogTail &tail : m_tails) {
        if (tail.stream() == stream) {
            tail.readSoon();
        }
    }
}

void Dissemination::suspectSeen(const inner::SuspectT &suspect, TimePoint now)
{
    m_table.mergeSuspect(suspect, nextTick());
    m_suspectLastSeen[std::to_string(suspect.fingerprint)] = now;
    std::erase_if(m_recentSuspects, [&suspect](const RecentSuspect &recent) {
        return recent.suspect.fingerprint == suspect.fingerprint;
    });
    m_recentSuspects.push_back({suspect, now + RecentSuspectLifetime});
    for (const InstanceId &relay : contacts(now)) {
        m_schedule.makeDue(relay.value());
    }
    ++m_revision;
}

void Dissemination::published(const ModelId &model, WeightVersion version)
{
    inner::PublishedVersionT published;
    published.model = model.value();
    published.version = version;
    m_table.mergePublished(published, nextTick());
    ++m_revision;
}

} // namespace bergamot
