#pragma once

// A discrete-event simulation of a fleet for tests and benchmarks: many `Dissemination` objects in one thread with a
// simulated clock, a log, an instance list that lags, endpoints, and messages that can be delayed, dropped or blocked
// between domains.
//
//     SimulatedFleet fleet({.domains = 3, .instancesPerDomain = 6, .seed = 7});
//     fleet.run(std::chrono::seconds(10));
//     fleet.publishChange();

#include <map>
#include <memory>
#include <random>
#include <set>

#include "bergamot/membership/dissemination.h"

namespace bergamot::internal
{

/// A fold in place of the configuration: its version is the number of "set" records. Records whether records arrived
/// out of order or the version ever decreased.
class CountingFold final : public StreamFold
{
public:
    void apply(const StoredRecord &stored) override;
    Offset applied() const override;
    std::string checkpoint() const override;
    Result<void> restore(const std::string &checkpoint, Offset offset) override;

    std::uint64_t version() const;
    bool hasRegressed() const;

private:
    std::uint64_t m_version = 0;
    Offset m_applied = 0;
    bool m_hasRegressed = false;
};

/// Counters of one node: frames and their bytes, and requests to the platform and to endpoints.
struct NodeTraffic
{
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
    std::uint64_t framesSent = 0;
    std::uint64_t logReads = 0;
    std::uint64_t listFetches = 0;
    std::uint64_t polls = 0;
};

struct SimulatedFleetOptions
{
    std::size_t domains = 3;
    std::size_t instancesPerDomain = 6;
    std::size_t enginesPerDomain = 4;
    std::uint64_t seed = 1;
    double dropProbability = 0; // of each message between instances
    Duration listLag = std::chrono::seconds(2);
    LogReaders logReaders = LogReaders::Relays;
    bool countBytes = false; // encodes each frame, which is slow
    std::chrono::milliseconds checkpointPeriod = std::chrono::minutes(5);
};

class SimulatedFleet
{
public:
    explicit SimulatedFleet(SimulatedFleetOptions options);
    SimulatedFleet(const SimulatedFleet &) = delete;
    SimulatedFleet &operator=(const SimulatedFleet &) = delete;

    /// Processes all events of the next `span` of simulated time.
    void run(Duration span);
    /// Appends one change to the log and returns the resulting version.
    std::uint64_t publishChange();
    /// Appends `count` records that don't change the version.
    void appendUnrelatedRecords(std::size_t count);

    void start(const std::string &instance, const std::string &domain, std::vector<std::string> seedPeers = {});
    void kill(const std::string &instance);
    /// Pauses the instance for `span`; it then handles the messages that arrived meanwhile, as after SIGSTOP and
    /// SIGCONT.
    void pause(const std::string &instance, Duration span);
    void removeFromList(const std::string &instance);
    void setLogUnavailable(bool isUnavailable);
    void setListUnavailable(bool isUnavailable);
    void expireLogBefore(Offset firstRetained);
    void setPlatformPartition(const std::string &domain, bool isPartitioned);
    void setDomainPartition(const std::string &left, const std::string &right, bool isPartitioned);
    /// Sets the endpoint's answer to polls; without a value it refuses connections.
    void setEngine(const std::string &endpoint, std::optional<EngineState> state);

    /// The running instances, sorted by name.
    std::vector<std::string> instances() const;
    std::vector<std::string> relays(const std::string &domain) const;
    Dissemination &node(const std::string &instance);
    std::uint64_t versionOn(const std::string &instance) const;
    bool hasRegressed() const;
    /// The instances that don't have `version` yet.
    std::vector<std::string> missing(std::uint64_t version) const;
    /// Runs until every instance has `version` and returns the simulated time that it took; none if it exceeds `limit`.
    std::optional<Duration> timeUntilEverywhere(std::uint64_t version, Duration limit);
    Offset logEnd() const;
    TimePoint now() const;
    NodeTraffic traffic(const std::string &instance) const;
    std::uint64_t checkpointsAppended() const;

    static std::string domainName(std::size_t index);
    static std::string instanceName(std::size_t domain, std::size_t index);
    static std::string engineName(std::size_t domain, std::size_t index);

private:
    struct Node
    {
        std::string name;
        std::string domain;
        std::string address;
        std::unique_ptr<CountingFold> fold;
        std::unique_ptr<StreamReplica> replica;
        std::unique_ptr<Dissemination> decision;
        NodeTraffic traffic;
        TimePoint pausedUntil{};
    };
    using NodePtr = std::shared_ptr<Node>;
    using Event = std::function<void()>;

    void schedule(Duration delay, Event event);
    /// Runs `event` after `delay`, or at the end of the node's pause if that is later; never if the node was killed.
    void
    scheduleAtNode(const std::weak_ptr<Node> &node, Duration delay, std::function<void(const NodePtr &node)> event);
    void scheduleTick(const std::weak_ptr<Node> &node, Duration delay);
    void perform(const NodePtr &node, Action action);
    void sendDigest(const NodePtr &node, SendDigest action);
    void deliverAfterPause(const NodePtr &from, const NodePtr &to, const SendDigest &action);
    void deliverDigest(const NodePtr &from, const NodePtr &to, const SendDigest &action);
    void readLog(const NodePtr &node, const ReadLog &action);
    void appendCheckpoint(const NodePtr &node, const AppendCheckpoint &action);
    void fetchList(const NodePtr &node);
    void poll(const NodePtr &node, const EndpointPoll &poll);
    void failDigest(const NodePtr &node, const std::string &peer, Duration delay);
    bool isLost(const Node &from, const Node &to);
    bool isPlatformPartitioned(const Node &node) const;
    void countFrame(Node &from, Node &to, inner::BodyUnion body) const;
    Offset append(std::string kind, std::string payload);
    NodePtr nodeAt(const std::string &address) const;
    void recordList();
    std::vector<ListedMember> visibleList() const;

    SimulatedFleetOptions m_options;
    std::mt19937_64 m_random;
    TimePoint m_now{std::chrono::hours(1)};
    std::multimap<TimePoint, Event> m_events;
    std::map<std::string, NodePtr> m_nodes;
    std::map<std::string, std::weak_ptr<Node>> m_nodeByAddress;
    std::vector<StoredRecord> m_log;
    Offset m_firstRetained = 1;
    bool m_isLogUnavailable = false;
    bool m_isListUnavailable = false;
    std::set<std::string> m_platformPartitions;
    std::set<std::pair<std::string, std::string>> m_domainPartitions;
    std::map<std::string, ListedMember> m_list;
    std::map<TimePoint, std::vector<ListedMember>> m_listHistory;
    std::map<std::string, std::optional<EngineState>> m_engines;
    std::uint64_t m_version = 0;
    std::uint64_t m_starts = 0;
    std::uint64_t m_checkpoints = 0;
    bool m_hasAnyRegressed = false;
};

} // namespace bergamot::internal
