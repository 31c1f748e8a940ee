#include "bergamot/membership/dissemination.h"

#include <algorithm>

#include "bergamot/base/hash.h"
#include "bergamot/membership/internal/dissemination_limits.h"
#include "bergamot/membership/relay_choice.h"

namespace bergamot
{

using namespace internal;

namespace
{

constexpr Duration RebuildPeriod = std::chrono::milliseconds(250);
constexpr Duration ListTimeout = std::chrono::seconds(5);
constexpr std::uint64_t EpochRange = (std::uint64_t{1} << 31U) - 1;
constexpr Duration AssignPeriod = std::chrono::seconds(1);

Duration checkpointDelay(const InstanceId &instance, const std::string &stream, Duration period)
{
    constexpr std::uint64_t Steps = 1000;
    const auto step = static_cast<std::int64_t>(rendezvousWeight("checkpoint/" + stream, instance.value()) % Steps);
    return period * step / Steps;
}

} // namespace

Dissemination::Dissemination(DisseminationOptions options,
                             std::vector<StreamReplica *> replicas,
                             std::function<std::uint64_t()> configVersion)
    : m_options(std::move(options))
    , m_replicas(std::move(replicas))
    , m_configVersion(std::move(configVersion))
    , m_members(m_options.self, m_options.memberTimeouts)
    , m_builder(m_options.self.domain)
    , m_table(m_options.self.domain)
{
    for (StreamReplica *replica : m_replicas) {
        const Duration delay =
            checkpointDelay(m_options.self.instance, replica->stream(), m_options.logTail.checkpoints.maxAge);
        m_tails.emplace_back(*replica, m_options.logTail, delay);
    }
}

std::vector<Action> Dissemination::tick(TimePoint now)
{
    m_startedAt = m_startedAt.value_or(now);
    const bool isResumed = isPaused(now);
    recordTickTime(now);
    m_members.setConfigVersion(m_configVersion());
    std::erase_if(m_recentSuspects, [now](const RecentSuspect &recent) {
        return now >= recent.until;
    });
    updateRole(now);
    if (m_isRelay && now >= m_nextRebuild) {
        rebuildTable(now);
    }
    std::vector<Action> actions;
    addLogReads(actions, now);
    addListFetch(actions, now);
    addPolls(actions, now);
    addDigests(actions, now);
    if (isResumed) {
        addAnnouncements(actions, now);
    }
    return actions;
}

bool Dissemination::isPaused(TimePoint now) const
{
    return m_lastTick && now - *m_lastTick > m_options.pauseLimit;
}

bool Dissemination::isRecovering(TimePoint now) const
{
    return isPaused(now) || now < m_recoveredAt;
}

void Dissemination::recordTickTime(TimePoint now)
{
    if (isPaused(now)) {
        m_recoveredAt = now + digestPeriod(now);
        m_schedule.makeAllDue();
    }
    m_lastTick = now;
    const bool isStable = !isRecovering(now) && now - *m_startedAt >= m_options.digestPeriod;
    const bool hasEndpoints = m_builder.hasList() || !m_table.endpoints.rows().empty();
    if (m_isRelay && isStable && hasEndpoints) {
        m_stateKnownAt = now;
    }
}

std::optional<TimePoint> Dissemination::stateKnownAt() const
{
    return m_stateKnownAt;
}

bool Dissemination::isOwnDomain(const std::string &domain) const
{
    return domain == m_options.self.domain.value();
}

void Dissemination::updateRole(TimePoint now)
{
    const FailureDomainId &domain = m_options.self.domain;
    const bool isRelayNow = bergamot::isRelay(domain, m_members.eligible(domain, now), m_options.self.instance);
    if (isRelayNow && !m_isRelay) {
        becomeRelay(now);
    } else if (!isRelayNow && m_isRelay) {
        m_primary.clear();
        m_seenTick = 0;
        m_lastRelayAnswer = now;
    }
    m_isRelay = isRelayNow;
}

void Dissemination::becomeRelay(TimePoint now)
{
    m_members.startFailureDetection(now);
    if (!m_builder.hasList()) {
        std::vector<inner::EndpointT> endpoints;
        for (const auto &[id, row] : m_table.endpoints.rows()) {
            endpoints.push_back(row.value);
        }
        m_builder.adoptList(endpoints);
    }
    m_builder.expire(now);
    for (const auto &[id, row] : m_table.endpoints.rows()) {
        m_builder.addInitialReport(row.value, now);
    }
    const std::string epochSeed = m_options.self.instance.value() + '/' + std::to_string(m_options.incarnation) + '/'
        + std::to_string(++m_roleChanges);
    m_epoch = 1 + stableHash(epochSeed) % EpochRange;
    m_tick = m_epoch * TicksPerEpoch;
    m_table.markAllChanged(nextTick());
    for (const auto &[name, row] : m_table.suspects.rows()) {
        m_suspectLastSeen.try_emplace(name, now);
    }
    m_nextRebuild = now;
}

std::uint64_t Dissemination::nextTick()
{
    return ++m_tick;
}

void Dissemination::rebuildTable(TimePoint now)
{
    m_nextRebuild = now + RebuildPeriod;
    nextTick();
    std::erase_if(m_loadsSentAt, [this, now](const auto &entry) {
        return now - entry.second > std::max(loadPeriod(), PeerLifetime);
    });
    m_builder.expire(now);
    rebuildEndpoints(now);
    rebuildMembers(now);
    expireSuspects(now);
    const std::uint64_t oldestRemoval = m_tick - std::min(m_tick - m_epoch * TicksPerEpoch, RemovalHistoryTicks);
    m_table.endpoints.dropRemovalsBefore(oldestRemoval);
    m_table.members.dropRemovalsBefore(oldestRemoval);
    m_table.suspects.dropRemovalsBefore(oldestRemoval);
    ++m_revision;
}

void Dissemination::rebuildEndpoints(TimePoint now)
{
    for (const inner::EndpointReportT &report : m_poller.reports()) {
        m_builder.report(m_options.self.instance.value(), report, now);
    }
    m_builder.reportLoads(m_options.self.instance.value(), m_poller.loads(), now);
    std::set<std::string> names;
    for (inner::EndpointT &endpoint : m_builder.endpoints(now)) {
        names.insert(endpoint.id);
        const std::uint64_t fingerprint = fingerprintOf(endpoint);
        const std::string id = endpoint.id;
        m_table.endpoints.put(id, std::move(endpoint), fingerprint, m_tick);
    }
    m_table.endpoints.keepOnly(names, m_tick);
}

void Dissemination::rebuildMembers(TimePoint now)
{
    std::set<std::string> names;
    const std::vector<inner::MemberStatusT> statuses = m_members.statuses(now);
    for (const inner::MemberStatusT &status : statuses) {
        names.insert(status.instance);
        m_table.members.put(status.instance, status, fingerprintOf(status), m_tick);
    }
    m_table.members.keepOnly(names, m_tick);
    const inner::DomainSummaryT own = summarize(m_options.self.domain, statuses);
    m_table.domains.put(own.domain, own, fingerprintOf(own), m_tick);
    for (const inner::DomainSummaryT &summary : m_summaries.all(now)) {
        m_table.domains.put(summary.domain, summary, fingerprintOf(summary), m_tick);
    }
}

void Dissemination::expireSuspects(TimePoint now)
{
    for (auto seen = m_suspectLastSeen.begin(); seen != m_suspectLastSeen.end();) {
        if (now - seen->second > m_options.suspectLifetime) {
            m_table.suspects.remove(seen->first, m_tick);
            seen = m_suspectLastSeen.erase(seen);
        } else {
            ++seen;
        }
    }
}

std::vector<Action> Dissemination::expectedReads(TimePoint now)
{
    std::vector<Action> actions;
    addLogReads(actions, now);
    return actions;
}

bool Dissemination::readsLog(const std::string &stream)
{
    if (m_isRelay || m_options.logReaders == LogReaders::EveryInstance) {
        return true;
    }
    const auto expected = m_expectedOffsets.find(stream);
    if (expected == m_expectedOffsets.end()) {
        return false;
    }
    const bool isApplied = std::any_of(m_replicas.begin(), m_replicas.end(), [&expected](const StreamReplica *replica) {
        return replica->stream() == expected->first && replica->applied() >= expected->second;
    });
    if (isApplied) {
        m_expectedOffsets.erase(expected);
    }
    return !isApplied;
}

void Dissemination::addLogReads(std::vector<Action> &actions, TimePoint now)
{
    for (LogTail &tail : m_tails) {
        if (!readsLog(tail.stream())) {
            continue;
        }
        if (const std::optional<LogRead> read = tail.nextRead(now)) {
            actions.emplace_back(ReadLog{tail.stream(), *read});
        }
        if (!m_isRelay) {
            continue;
        }
        if (std::optional<std::string> part = tail.dueCheckpointPart(now)) {
            actions.emplace_back(AppendCheckpoint{tail.stream(), std::move(*part)});
        }
    }
}

void Dissemination::addListFetch(std::vector<Action> &actions, TimePoint now)
{
    const bool isInFlight = m_listInFlight && now - m_listSentAt < ListTimeout;
    if (isInFlight || now < m_nextList || (!m_isRelay && !hasLostRelays(now))) {
        return;
    }
    m_listInFlight = true;
    m_listSentAt = now;
    m_nextList = now + listPeriod();
    actions.emplace_back(FetchList{});
}

void Dissemination::addPolls(std::vector<Action> &actions, TimePoint now)
{
    if (now >= m_nextAssign) {
        m_nextAssign = now + AssignPeriod;
        m_members.expire(now);
        assignPolls(now);
    }
    for (EndpointPoll &poll : m_poller.due(now)) {
        actions.emplace_back(std::move(poll));
    }
}

void Dissemination::assignPolls(TimePoint now)
{
    const std::vector<InstanceId> candidates = m_members.eligible(m_options.self.domain, now);
    std::vector<EndpointPoll> assigned;
    for (const auto &[id, row] : m_table.endpoints.rows()) {
        const Result<Address> address = parseAddress(row.value.address);
        if (!isOwnDomain(row.value.domain) || !address) {
            continue;
        }
        const std::vector<InstanceId> pollers = pollersOf(EndpointId(id), candidates);
        if (std::find(pollers.begin(), pollers.end(), m_options.self.instance) != pollers.end()) {
            assigned.push_back({EndpointId(id), row.value.kind, *address});
        }
    }
    m_poller.assign(assigned);
}

void Dissemination::startDraining()
{
    m_members.setDraining();
    m_schedule.makeAllDue();
}

bool Dissemination::isRelay() const
{
    return m_isRelay;
}

bool Dissemination::isConfirmed() const
{
    return m_isConfirmed;
}

inner::ViewT Dissemination::view(TimePoint now) const
{
    inner::ViewT view = m_table.view();
    view.confirmed = m_isConfirmed;
    const auto isSelf = [this](const std::unique_ptr<inner::MemberStatusT> &member) {
        return member->instance == m_options.self.instance.value();
    };
    if (std::none_of(view.members.begin(), view.members.end(), isSelf)) {
        view.members.push_back(std::make_unique<inner::MemberStatusT>(m_members.statuses(now).front()));
    }
    return view;
}

std::uint64_t Dissemination::viewRevision() const
{
    return m_revision;
}

FleetStatus Dissemination::status() const
{
    return fleetStatus(m_table, m_options.self.domain, m_configVersion());
}

const MemberTable &Dissemination::members() const
{
    return m_members;
}

} // namespace bergamot
