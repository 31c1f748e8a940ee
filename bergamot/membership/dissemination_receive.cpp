#include <algorithm>

#include "bergamot/base/hash.h"
#include "bergamot/membership/dissemination.h"
#include "bergamot/membership/internal/dissemination_limits.h"

// What a `Dissemination` does with what it receives.

namespace bergamot
{

using namespace internal;

namespace
{

constexpr Duration NewsLifetime = std::chrono::seconds(5);
constexpr std::uint64_t NoRelayTick = 0; // of a state that comes from no relay
constexpr std::size_t RecordsThatMeanMore = 200; // in one reply

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

bool Dissemination::isConfirmedLately(TimePoint now) const
{
    const bool isOutsideFresh =
        m_lastOutsideConfirmation && now - *m_lastOutsideConfirmation <= m_options.logTail.freshness;
    return isLogCurrent(now) || isOutsideFresh;
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
    m_members.heard({InstanceId(sender),
                     FailureDomainId(domain),
                     digest.control_address,
                     digest.entry_address,
                     digest.config_version,
                     digest.draining},
                    now);
    if (isOwnDomain(domain)) {
        takeReports(sender, digest, now);
    } else {
        takeRemoteReports(domain, digest.reports, now);
    }
    if (isAhead(digest)) {
        m_ahead.insert(InstanceId(sender));
    }
    inner::DigestReplyT reply;
    reply.confirmed = isOwnDomain(domain) ? isConfirmedLately(now) : isLogCurrent(now);
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
        std::vector<inner::EndpointReportT> reports = m_builder.reportsForOthers(now);
        reply.loads = m_builder.loadsOf(reports, now);
        for (inner::EndpointReportT &report : reports) {
            reply.reports.push_back(std::make_unique<inner::EndpointReportT>(std::move(report)));
        }
    }
    return reply;
}

void Dissemination::takeRemoteReports(const std::string &domain, const EndpointReports &reports, TimePoint now)
{
    bool isUrgent = false;
    for (const auto &report : reports) {
        isUrgent = m_builder.report(std::string(DomainPollerPrefix) + domain, *report, now) || isUrgent;
    }
    if (isUrgent && m_isRelay) {
        m_nextRebuild = now;
    }
}

void Dissemination::takeReports(const std::string &sender, const inner::DigestT &digest, TimePoint now)
{
    bool isUrgent = false;
    for (const auto &report : digest.reports) {
        isUrgent = m_builder.report(sender, *report, now) || isUrgent;
    }
    m_hasNewsForOthers = m_hasNewsForOthers || (isUrgent && m_isRelay);
    m_builder.reportLoads(sender, digest.loads, now);
    for (const auto &suspect : digest.suspects) {
        m_table.mergeSuspect(*suspect, nextTick());
        m_suspectsSeen[std::to_string(suspect->fingerprint)] = now;
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
        // An asker without anything gets what there is; the tick makes it ask a relay for everything again.
        if (digest.seen_tick == 0) {
            reply.delta = std::make_unique<inner::ViewDeltaT>(m_table.deltaSince(0, NoRelayTick));
        }
        return;
    }
    if (now >= m_nextRebuild) {
        rebuildTable(now);
    }
    const bool isOfThisEpoch = digest.seen_tick / TicksPerEpoch == m_epoch && digest.seen_tick <= m_tick;
    const bool isRemembered = isOfThisEpoch && m_tick - digest.seen_tick < RemovalsKept;
    const std::uint64_t since = isRemembered ? digest.seen_tick : 0;
    reply.delta = std::make_unique<inner::ViewDeltaT>(m_table.deltaSince(since, m_tick));
    TimePoint &loadsSent = m_loadsSent[sender];
    if (since != 0 && now - loadsSent < loadPeriod()) {
        reply.delta->loads.clear();
        reply.delta->remote_loads.clear();
    } else {
        loadsSent = now;
    }
}

void Dissemination::replyReceived(const std::string &peer,
                                  const std::string &sender,
                                  const std::string &domain,
                                  const inner::DigestReplyT &reply,
                                  TimePoint now)
{
    m_schedule.answered(peer);
    const InstanceId instance(sender);
    if (!m_members.find(instance) && peer.starts_with(SeedPrefix)) {
        m_members.heard({instance, FailureDomainId(domain), peer.substr(SeedPrefix.size())}, now);
    }
    m_members.answered(instance, now);
    for (const auto &status : reply.members) {
        if (status->instance == sender) {
            m_members.answeredAs(*status, now);
        }
    }
    const bool isFromRelay = reply.delta && reply.delta->tick != NoRelayTick;
    if (peer == m_primary && isFromRelay) {
        m_lastRelayAnswer = now;
        m_stateKnownAt = now;
    } else if (peer == m_primary && m_deltaAsked.contains(peer)) {
        m_lastWithoutDelta[peer] = now; // it takes itself for no relay
    }
    takeRecords(peer, reply);
    if (!isOwnDomain(domain)) {
        takeRemoteReports(domain, reply.reports, now);
        m_builder.remoteLoads(reply.loads, now);
    }
    if (reply.confirmed) {
        m_isConfirmed = true;
        m_lastConfirmation = now;
        m_lastOutsideConfirmation = isOwnDomain(domain) ? m_lastOutsideConfirmation : now;
    }
    if (reply.delta) {
        takeDelta(peer, domain, *reply.delta, now);
    }
    for (const auto &summary : reply.domains) {
        m_summaries.heard(*summary, now);
        m_members.absentElsewhere(FailureDomainId(summary->domain), summary->absent);
    }
}

void Dissemination::takeRecords(const std::string &peer, const inner::DigestReplyT &reply)
{
    const std::uint64_t versionBefore = m_configVersion();
    bool mayHaveMore = false;
    for (const auto &news : reply.streams) {
        for (StreamReplica *replica : m_replicas) {
            if (replica->stream() == news->stream && replica->accept(*news)) {
                ++m_revision;
                mayHaveMore = mayHaveMore || news->records.size() >= RecordsThatMeanMore || !news->checkpoint.empty();
            }
        }
    }
    // A new configuration is acknowledged at once.
    if (mayHaveMore || m_configVersion() != versionBefore) {
        m_schedule.hurry(peer);
    }
}

void Dissemination::takeDelta(const std::string &peer,
                              const std::string &domain,
                              const inner::ViewDeltaT &delta,
                              TimePoint now)
{
    if (!isOwnDomain(domain)) {
        takeMembers(delta, now);
        return;
    }
    if (m_isRelay) {
        if (!m_builder.hasList()) {
            adopt(delta, now);
        }
        return;
    }
    const bool isFromPrimary = peer == m_primary;
    if (!isFromPrimary && !m_table.members.rows().empty()) {
        return;
    }
    const bool hasState = !m_table.members.rows().empty();
    if (hasState && delta.tick == NoRelayTick) {
        return; // no relay; what is here came from one
    }
    const bool isUsable = hasState && delta.since == 0 ? replaceTable(delta) : m_table.apply(delta);
    m_seenTick = isUsable && isFromPrimary ? delta.tick : 0;
    takeMembers(delta, now);
    ++m_revision;
}

bool Dissemination::replaceTable(const inner::ViewDeltaT &delta)
{
    FleetTable next = m_table;
    if (!next.apply(delta)) {
        return false; // an incomplete state does not take the place of a whole one
    }
    m_table = std::move(next);
    return true;
}

void Dissemination::takeMembers(const inner::ViewDeltaT &delta, TimePoint now)
{
    for (const auto &member : delta.members) {
        m_members.told(*member, now);
    }
    for (const std::string &name : delta.removed_members) {
        m_members.toldRemoved(InstanceId(name));
    }
}

void Dissemination::adopt(const inner::ViewDeltaT &delta, TimePoint now)
{
    std::vector<inner::EndpointT> endpoints;
    for (const auto &endpoint : delta.endpoints) {
        endpoints.push_back(*endpoint);
    }
    m_builder.adoptList(endpoints);
    takeMembers(delta, now);
    for (const auto &suspect : delta.suspects) {
        m_table.mergeSuspect(*suspect, nextTick());
        m_suspectsSeen[std::to_string(suspect->fingerprint)] = now;
    }
    for (const auto &version : delta.published) {
        m_table.mergePublished(*version, nextTick());
    }
    m_nextRebuild = now;
}

void Dissemination::replyFailed(const std::string &peer, TimePoint now)
{
    m_schedule.failed(peer);
    m_members.unanswered(InstanceId(peer), now);
}

void Dissemination::answered(const InstanceId &instance, TimePoint now)
{
    m_members.answered(instance, now);
}

void Dissemination::unanswered(const InstanceId &instance, TimePoint now)
{
    m_members.unanswered(instance, now);
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
    m_members.listed(*list, now);
    m_builder.setList(*list);
    m_nextRebuild = now;
}

void Dissemination::endpointPolled(const EndpointId &endpoint, const Result<EngineState> &state, TimePoint now)
{
    if (!m_poller.polled(endpoint, state, now)) {
        return;
    }
    m_nextRebuild = now;
    m_hasNewsForOthers = m_hasNewsForOthers || m_isRelay;
    for (const InstanceId &relay : contacts(now)) {
        m_schedule.hurry(relay.value());
    }
}

void Dissemination::expect(const std::string &stream, Offset offset)
{
    Offset &expected = m_expected[stream];
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
    m_suspectsSeen[std::to_string(suspect.fingerprint)] = now;
    std::erase_if(m_news, [&suspect](const News &news) {
        return news.suspect.fingerprint == suspect.fingerprint;
    });
    m_news.push_back({suspect, now + NewsLifetime});
    for (const InstanceId &relay : contacts(now)) {
        m_schedule.hurry(relay.value());
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
