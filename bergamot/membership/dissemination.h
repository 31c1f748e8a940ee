#pragma once

// How one instance learns what the platform and its peers know, and passes it on. Two relays in each failure domain
// follow the log and the platform's list; every other instance sends each of them one digest a second and gets back the
// log records that it lacks and what changed in the domain's state. Relays of different domains exchange digests too,
// so that a domain which is cut off from the platform still gets the records. Only records and checkpoints of the log
// are passed on; each instance folds them itself in offset order, so no version ever falls.
//
//     Dissemination node(options, {&configReplica, &dutiesReplica}, [&] { return fold.configuration().version; });
//     for (const Action &action : node.tick(now)) { ... }          // about every 100 ms
//     DigestReplyT reply = node.digestReceived(sender, domain, digest, now);

#include <functional>
#include <memory>
#include <variant>
#include <vector>

#include "bergamot/membership/digest_schedule.h"
#include "bergamot/membership/domain_summaries.h"
#include "bergamot/membership/endpoint_poller.h"
#include "bergamot/membership/fleet_table.h"
#include "bergamot/membership/log_tail.h"
#include "bergamot/membership/member_table.h"
#include "bergamot/membership/view_builder.h"

namespace bergamot
{

struct SendDigest
{
    std::string peer; // what `replyReceived` and `replyFailed` name
    std::string address;
    inner::DigestT digest;
};

struct ReadLog
{
    std::string stream;
    LogRead read;
};

struct AppendCheckpoint
{
    std::string stream;
    std::string payload;
};

struct FetchList
{ };

using Action = std::variant<SendDigest, ReadLog, AppendCheckpoint, FetchList, EndpointPoll>;

/// Which instances read the log.
enum class LogReaders {
    Relays,
    EveryInstance, // the baseline of the benchmarks
};

struct DisseminationOptions
{
    Member self;
    std::uint64_t incarnation = 0;
    std::vector<std::string> seedPeers; // addresses of other control processes, for a start while the list is out
    LogReaders logReaders = LogReaders::Relays;
    Duration digestPeriod = std::chrono::seconds(1);
    std::size_t membersAtDigestPeriod = 16; // a larger domain stretches the period, so that a relay's load is bounded
    Duration loadPeriodPerEndpoint = std::chrono::milliseconds(15); // many endpoints' loads are passed on less often
    Duration crossDomainPeriod = std::chrono::seconds(5); // between relays of different domains while the log is read
    Duration listPeriod = std::chrono::seconds(1);
    Duration listPeriodPerEntry = std::chrono::milliseconds(40); // a long list is fetched less often
    Duration relayPatience = std::chrono::milliseconds(500); // then the other relay is asked for what has changed
    Duration pauseLimit = std::chrono::seconds(1); // without a tick for longer, this instance was paused
    Duration orphanedAfter = std::chrono::seconds(3); // without an answer from a relay, ask the list and the seeds
    Duration suspectLifetime = std::chrono::minutes(10);
    LogTailOptions logTail;
    MemberTimes memberTimes;
};

/// Single-threaded and deterministic. The replicas must outlive it.
class Dissemination
{
public:
    Dissemination(DisseminationOptions options,
                  std::vector<StreamReplica *> replicas,
                  std::function<std::uint64_t()> configVersion);

    std::vector<Action> tick(TimePoint now);
    inner::DigestReplyT
    digestReceived(const std::string &sender, const std::string &domain, const inner::DigestT &digest, TimePoint now);
    void replyReceived(const std::string &peer,
                       const std::string &sender,
                       const std::string &domain,
                       const inner::DigestReplyT &reply,
                       TimePoint now);
    void replyFailed(const std::string &peer, TimePoint now);
    /// An instance did or did not answer a request that is no digest.
    void answered(const InstanceId &instance, TimePoint now);
    void unanswered(const InstanceId &instance, TimePoint now);
    void logRead(const std::string &stream, const Result<LogPage> &page, TimePoint now);
    void listFetched(const Result<std::vector<ListedMember>> &list, TimePoint now);
    void endpointPolled(const EndpointId &endpoint, const Result<EngineState> &state, TimePoint now);

    /// News of this instance's own processes, passed on to the whole domain.
    void suspectSeen(const inner::SuspectT &suspect, TimePoint now);
    void published(const ModelId &model, WeightVersion version);
    /// A record of this instance's own is on the log at `offset`: until it has been applied, this instance reads the
    /// stream itself, whether it is a relay or not.
    void expect(const std::string &stream, Offset offset);
    /// The reads that are due because of `expect`.
    std::vector<Action> expectedReads(TimePoint now);

    /// From the next digest on, peers are told that this instance takes no more duties.
    void startDraining();

    bool isRelay() const;
    /// True once a reader of the log has confirmed what this instance has.
    bool isConfirmed() const;
    /// True if this instance has all of its streams by a recent read of the log, here or at a relay.
    bool isCaughtUp(TimePoint now) const;
    /// Endpoints, members, suspects and published weights; the configuration is left to the caller.
    inner::ViewT view(TimePoint now) const;
    /// When the state of the endpoints was last known to be whole here; none: it never was. It stands still while no
    /// relay answers, and after a pause of this process until it has heard the others again.
    std::optional<TimePoint> stateKnownAt() const;
    /// Rises whenever `view` may have changed.
    std::uint64_t viewRevision() const;
    FleetStatus status() const;
    const MemberTable &members() const;

private:
    struct News
    {
        inner::SuspectT suspect;
        TimePoint until{};
    };

    bool isOwnDomain(const std::string &domain) const;
    bool isPaused(TimePoint now) const;
    bool isRecovering(TimePoint now) const;
    void noteTime(TimePoint now);
    void updateRole(TimePoint now);
    void becomeRelay(TimePoint now);
    void rebuildTable(TimePoint now);
    void rebuildEndpoints(TimePoint now);
    void rebuildMembers(TimePoint now);
    void expireSuspects(TimePoint now);
    std::uint64_t nextTick();

    bool readsLog(const std::string &stream);
    void addLogReads(std::vector<Action> &actions, TimePoint now);
    void addListFetch(std::vector<Action> &actions, TimePoint now);
    void addPolls(std::vector<Action> &actions, TimePoint now);
    void assignPolls(TimePoint now);
    void addDigests(std::vector<Action> &actions, TimePoint now);
    void addDigest(std::vector<Action> &actions, const InstanceId &to, Duration period, TimePoint now);
    void choosePrimary(const std::vector<InstanceId> &relays, TimePoint now);
    void addCrossDomainDigests(std::vector<Action> &actions, TimePoint now);
    void addSeedDigests(std::vector<Action> &actions, TimePoint now);
    void addAnnouncements(std::vector<Action> &actions, TimePoint now);
    void
    send(std::vector<Action> &actions, const std::string &peer, std::string address, Duration period, TimePoint now);
    inner::DigestT makeDigest(const std::string &peer, TimePoint now);

    std::vector<InstanceId> contacts(TimePoint now) const;
    Duration digestPeriod(TimePoint now) const;
    Duration listPeriod() const;
    bool isOrphaned(TimePoint now) const;
    bool isLogCurrent(TimePoint now) const;
    /// True if a reader of the log, here or in another domain, has confirmed lately what this instance has.
    bool isConfirmedLately(TimePoint now) const;

    using EndpointReports = std::vector<std::unique_ptr<inner::EndpointReportT>>;
    void takeRemoteReports(const std::string &domain, const EndpointReports &reports, TimePoint now);
    void takeReports(const std::string &sender, const inner::DigestT &digest, TimePoint now);
    void addRecords(inner::DigestReplyT &reply, const std::string &sender, const inner::DigestT &digest) const;
    bool isAhead(const inner::DigestT &digest) const;
    Duration loadPeriod() const;
    void addDelta(inner::DigestReplyT &reply, const std::string &sender, const inner::DigestT &digest, TimePoint now);
    void takeRecords(const std::string &peer, const inner::DigestReplyT &reply);
    void takeDelta(const std::string &peer, const std::string &domain, const inner::ViewDeltaT &delta, TimePoint now);
    bool replaceTable(const inner::ViewDeltaT &delta);
    void takeMembers(const inner::ViewDeltaT &delta, TimePoint now);
    void adopt(const inner::ViewDeltaT &delta, TimePoint now);

    DisseminationOptions m_options;
    std::vector<StreamReplica *> m_replicas;
    std::function<std::uint64_t()> m_configVersion;
    std::vector<LogTail> m_tails;
    MemberTable m_members;
    ViewBuilder m_builder;
    FleetTable m_table;
    EndpointPoller m_poller;
    DigestSchedule m_schedule;
    DomainSummaries m_summaries;
    std::vector<News> m_news;
    std::map<std::string, TimePoint> m_suspectsSeen;
    std::map<std::string, TimePoint> m_loadsSent; // by instance that follows this relay
    std::set<InstanceId> m_ahead; // peers that have records which this instance lacks

    bool m_isRelay = false;
    bool m_isConfirmed = false;
    bool m_listInFlight = false;
    TimePoint m_listSentAt{};
    TimePoint m_nextList{};
    std::size_t m_listEntries = 0;
    std::string m_primary; // the peer whose deltas this instance follows
    std::map<std::string, TimePoint> m_lastWithoutDelta; // when a peer asked for a delta last gave none, or was late
    std::set<std::string> m_deltaAsked; // peers whose last digest asked for a delta
    std::uint64_t m_seenTick = 0; // of that peer
    std::uint64_t m_epoch = 0; // of this instance's own deltas
    std::uint64_t m_tick = 0;
    std::uint64_t m_roleChanges = 0;
    std::uint64_t m_revision = 0;
    bool m_hasNewsForOthers = false; // of endpoints of this domain, for the relays of the others
    TimePoint m_nextNewsForOthers{};
    TimePoint m_nextRebuild{};
    TimePoint m_nextAssign{};
    std::optional<TimePoint> m_lastConfirmation; // by any relay
    std::optional<TimePoint> m_lastOutsideConfirmation; // by a relay of another domain
    std::map<std::string, Offset> m_expected; // own records by stream, until they are applied
    std::optional<TimePoint> m_lastRelayAnswer;
    std::optional<TimePoint> m_startedAt;
    std::optional<TimePoint> m_lastTick;
    TimePoint m_recoveredAt{}; // when every instance of the domain has reported again after a pause of this one
    std::optional<TimePoint> m_stateKnownAt;
};

} // namespace bergamot
