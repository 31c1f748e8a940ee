#pragma once

// Spreads the log and the state of the fleet among the instances by an exchange of digests. Two relays in each failure
// domain follow the log and the platform's instance list. Every other instance sends each of them a digest about
// every second, less often in a large domain, and receives the log records that it lacks and the changes of the
// domain's state. Relays of different domains also exchange digests, so that a domain which is partitioned from the
// platform still receives the records. Only records and checkpoints of the log are passed on. Each instance folds them
// itself in offset order, so a version never decreases.
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

/// Send `digest` to `address`.
struct SendDigest
{
    std::string peer; // passed back to `replyReceived` or `replyFailed`
    std::string address;
    inner::DigestT digest;
};

/// Read one page of `stream`.
struct ReadLog
{
    std::string stream;
    LogRead read;
};

/// Append one part of a checkpoint to `stream`.
struct AppendCheckpoint
{
    std::string stream;
    std::string payload;
};

/// Fetch the platform's instance list.
struct FetchList
{ };

/// A request that the caller of `Dissemination` has to carry out.
using Action = std::variant<SendDigest, ReadLog, AppendCheckpoint, FetchList, EndpointPoll>;

/// Which instances read the log.
enum class LogReaders {
    Relays,
    EveryInstance, // every instance reads the log itself; baseline for benchmarks
};

struct DisseminationOptions
{
    Member self;
    std::uint64_t incarnation = 0;
    std::vector<std::string> seedPeers; // control processes to ask if the instance list is unavailable at the start
    LogReaders logReaders = LogReaders::Relays;
    Duration digestPeriod = std::chrono::seconds(1);
    std::size_t membersAtDigestPeriod = 16; // above it the period grows with the domain, to bound a relay's load
    Duration loadPeriodPerEndpoint =
        std::chrono::milliseconds(15); // the period of loads grows with the number of endpoints
    Duration crossDomainPeriod = std::chrono::seconds(5); // of digests between domains while the log is current
    Duration listPeriod = std::chrono::seconds(1);
    Duration listPeriodPerEntry = std::chrono::milliseconds(40); // the period grows with the length of the list
    Duration relayTimeout = std::chrono::milliseconds(500); // after which changes are requested from the other relay
    Duration pauseLimit = std::chrono::seconds(1); // a longer gap between ticks means that this process was paused
    Duration relayLossTimeout = std::chrono::seconds(3); // without a relay's answer the list and the seeds are asked
    Duration suspectLifetime = std::chrono::minutes(10);
    LogTailOptions logTail;
    MemberTimeouts memberTimeouts;
};

/// Decides what to send and fetch, and applies what was received. It performs no I/O: the caller carries out the
/// actions and reports their outcomes. Deterministic and not thread-safe. The replicas must outlive it.
class Dissemination
{
public:
    Dissemination(DisseminationOptions options,
                  std::vector<StreamReplica *> replicas,
                  std::function<std::uint64_t()> configVersion);

    /// Returns the actions that are due. To be called about every 100 ms.
    std::vector<Action> tick(TimePoint now);
    /// Applies a peer's digest and returns the reply to it.
    inner::DigestReplyT
    digestReceived(const std::string &sender, const std::string &domain, const inner::DigestT &digest, TimePoint now);
    /// Applies the reply of `sender` to the digest that was sent to `peer`.
    void replyReceived(const std::string &peer,
                       const std::string &sender,
                       const std::string &domain,
                       const inner::DigestReplyT &reply,
                       TimePoint now);
    /// The digest to `peer` failed or was not answered in time.
    void replyFailed(const std::string &peer, TimePoint now);
    /// Records that an instance did or did not answer a request other than a digest.
    void answered(const InstanceId &instance, TimePoint now);
    void unanswered(const InstanceId &instance, TimePoint now);
    /// The outcomes of `ReadLog`, `FetchList` and `EndpointPoll`.
    void logRead(const std::string &stream, const Result<LogPage> &page, TimePoint now);
    void listFetched(const Result<std::vector<ListedMember>> &list, TimePoint now);
    void endpointPolled(const EndpointId &endpoint, const Result<EngineState> &state, TimePoint now);

    /// Suspects and published weights reported by this instance's own processes; sent to the whole domain.
    void suspectSeen(const inner::SuspectT &suspect, TimePoint now);
    void published(const ModelId &model, WeightVersion version);
    /// Records that this instance appended a record at `offset`. Until that record has been applied, this instance
    /// reads the stream itself, even if it is not a relay.
    void expect(const std::string &stream, Offset offset);
    /// The log reads that are due, among them those for records passed to `expect`.
    std::vector<Action> expectedReads(TimePoint now);

    /// From the next digest on, tells peers that this instance accepts no more duties.
    void startDraining();

    bool isRelay() const;
    /// True once a reader of the log has confirmed that this instance is up to date.
    bool isConfirmed() const;
    /// True if a recent read of the log, here or at a relay, shows that this instance has all records of its streams.
    bool isCaughtUp(TimePoint now) const;
    /// Endpoints, members, suspects and published weights. The caller adds the configuration.
    inner::ViewT view(TimePoint now) const;
    /// When the state of the endpoints was last known to be complete here; none if it never was. It doesn't advance
    /// while no relay answers, nor after a pause of this process until the other instances have had time to report
    /// again.
    std::optional<TimePoint> stateKnownAt() const;
    /// Increases whenever `view` may have changed.
    std::uint64_t viewRevision() const;
    FleetStatus status() const;
    const MemberTable &members() const;

private:
    struct RecentSuspect
    {
        inner::SuspectT suspect;
        TimePoint until{}; // sent with each digest until then
    };

    bool isOwnDomain(const std::string &domain) const;
    bool isPaused(TimePoint now) const;
    bool isRecovering(TimePoint now) const;
    void recordTickTime(TimePoint now);
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
    bool hasLostRelays(TimePoint now) const;
    bool isLogCurrent(TimePoint now) const;
    /// True if a reader of the log, here or in another domain, has recently confirmed that this instance is up to date.
    bool isRecentlyConfirmed(TimePoint now) const;

    using EndpointReports = std::vector<std::unique_ptr<inner::EndpointReportT>>;
    void applyRemoteReports(const std::string &domain, const EndpointReports &reports, TimePoint now);
    void applyDigestReports(const std::string &sender, const inner::DigestT &digest, TimePoint now);
    void addRecords(inner::DigestReplyT &reply, const std::string &sender, const inner::DigestT &digest) const;
    bool isAhead(const inner::DigestT &digest) const;
    Duration loadPeriod() const;
    void addDelta(inner::DigestReplyT &reply, const std::string &sender, const inner::DigestT &digest, TimePoint now);
    void applyRecords(const std::string &peer, const inner::DigestReplyT &reply);
    void applyDelta(const std::string &peer, const std::string &domain, const inner::ViewDeltaT &delta, TimePoint now);
    bool replaceTable(const inner::ViewDeltaT &delta);
    void applyMembers(const inner::ViewDeltaT &delta, TimePoint now);
    void initializeFrom(const inner::ViewDeltaT &delta, TimePoint now);

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
    std::vector<RecentSuspect> m_recentSuspects;
    std::map<std::string, TimePoint> m_suspectLastSeen; // time of the last report by fingerprint
    std::map<std::string, TimePoint> m_loadsSentAt; // by instance that fetches deltas from this relay
    std::set<InstanceId> m_peersAhead; // have records which this instance lacks

    bool m_isRelay = false;
    bool m_isConfirmed = false;
    bool m_listInFlight = false;
    TimePoint m_listSentAt{};
    TimePoint m_nextList{};
    std::size_t m_listEntries = 0;
    std::string m_primary; // relay from which this instance requests deltas; empty on a relay
    std::map<std::string, TimePoint> m_lastDeltaFailure; // last time a peer sent no delta on request, or was late
    std::set<std::string> m_deltaRequested; // peers whose last digest asked for a delta
    std::uint64_t m_seenTick = 0; // tick of the last delta applied from `m_primary`
    std::uint64_t m_epoch = 0; // a new one each time this instance becomes a relay
    std::uint64_t m_tick = 0; // of this instance's own deltas; contains `m_epoch`
    std::uint64_t m_roleChanges = 0;
    std::uint64_t m_revision = 0;
    bool m_hasUpdateForOtherDomains = false; // changed reports of endpoints of this domain
    TimePoint m_nextUpdateForOtherDomains{};
    TimePoint m_nextRebuild{};
    TimePoint m_nextAssign{};
    std::optional<TimePoint> m_lastConfirmation; // by any relay
    std::optional<TimePoint> m_lastOtherDomainConfirmation; // by a relay of another domain
    std::map<std::string, Offset> m_expectedOffsets; // own appended records by stream, until they are applied
    std::optional<TimePoint> m_lastRelayAnswer;
    std::optional<TimePoint> m_startedAt;
    std::optional<TimePoint> m_lastTick;
    TimePoint m_recoveredAt{}; // time by which the other instances should have reported again after a pause
    std::optional<TimePoint> m_stateKnownAt;
};

} // namespace bergamot
