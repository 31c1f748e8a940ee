#pragma once

// Many `Dissemination` decisions in one thread, for tests and benchmarks of them: a clock that stands still between
// events, a log, a lagging list, endpoints, and messages that can be delayed, dropped or cut between domains.
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

/// Counts the "set" records of its stream; stands for the configuration. Remembers whether it was ever misused.
class CountingFold final : public StreamFold
{
public:
    void apply(const StoredRecord &stored) override;
    Offset applied() const override;
    std::string checkpoint() const override;
    Result<void> restore(const std::string &checkpoint, Offset offset) override;

    std::uint64_t version() const;
    bool everFell() const;

private:
    std::uint64_t m_version = 0;
    Offset m_applied = 0;
    bool m_everFell = false;
};

/// Bytes of the frames that a node sent and received, and how many it sent.
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
    bool countBytes = false; // encodes each frame
    std::chrono::milliseconds checkpointPeriod = std::chrono::minutes(5);
};

class SimulatedFleet
{
public:
    explicit SimulatedFleet(SimulatedFleetOptions options);
    SimulatedFleet(const SimulatedFleet &) = delete;
    SimulatedFleet &operator=(const SimulatedFleet &) = delete;

    void run(Duration span);
    /// Appends one change to the log and returns the version that it makes.
    std::uint64_t publishChange();
    /// Appends a record that changes nothing.
    void appendNoise(std::size_t count);

    void start(const std::string &instance, const std::string &domain, std::vector<std::string> seedPeers = {});
    void kill(const std::string &instance);
    /// The instance does nothing for `span`, and then handles what has come meanwhile, as after SIGSTOP and SIGCONT.
    void pause(const std::string &instance, Duration span);
    void unlist(const std::string &instance);
    void setLogOut(bool isOut);
    void setListOut(bool isOut);
    void expireLogBefore(Offset firstRetained);
    void cutFromPlatform(const std::string &domain, bool isCut);
    void cutDomains(const std::string &left, const std::string &right, bool isCut);
    /// What the endpoint answers to polls; nothing means that it refuses connections.
    void setEngine(const std::string &endpoint, std::optional<EngineState> state);

    std::vector<std::string> instances() const; // alive ones
    std::vector<std::string> relays(const std::string &domain) const;
    Dissemination &node(const std::string &instance);
    std::uint64_t versionOn(const std::string &instance) const;
    bool everFell() const;
    /// The instances that have not `version` yet.
    std::vector<std::string> missing(std::uint64_t version) const;
    /// Runs until every instance has `version` or `limit` has passed; returns how long it took.
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

    void at(Duration delay, Event event);
    /// Runs `event` unless the node has gone, and not before its pause is over.
    void atNode(const std::weak_ptr<Node> &node, Duration delay, std::function<void(const NodePtr &node)> event);
    void scheduleTick(const std::weak_ptr<Node> &node, Duration delay);
    void perform(const NodePtr &node, Action action);
    void sendDigest(const NodePtr &node, SendDigest action);
    void deliverLate(const NodePtr &from, const NodePtr &to, const SendDigest &action);
    void deliverDigest(const NodePtr &from, const NodePtr &to, const SendDigest &action);
    void readLog(const NodePtr &node, const ReadLog &action);
    void appendCheckpoint(const NodePtr &node, const AppendCheckpoint &action);
    void fetchList(const NodePtr &node);
    void poll(const NodePtr &node, const EndpointPoll &poll);
    void fail(const NodePtr &node, const std::string &peer, Duration delay);
    bool isLost(const Node &from, const Node &to);
    bool isPlatformCut(const Node &node) const;
    void count(Node &from, Node &to, inner::BodyUnion body) const;
    Offset append(std::string kind, std::string payload);
    NodePtr byAddress(const std::string &address) const;
    void recordList();
    std::vector<ListedMember> visibleList() const;

    SimulatedFleetOptions m_options;
    std::mt19937_64 m_random;
    TimePoint m_now{std::chrono::hours(1)};
    std::multimap<TimePoint, Event> m_events;
    std::map<std::string, NodePtr> m_nodes;
    std::map<std::string, std::weak_ptr<Node>> m_byAddress;
    std::vector<StoredRecord> m_log;
    Offset m_firstRetained = 1;
    bool m_isLogOut = false;
    bool m_isListOut = false;
    std::set<std::string> m_platformCuts;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::map<std::string, ListedMember> m_list;
    std::map<TimePoint, std::vector<ListedMember>> m_listHistory;
    std::map<std::string, std::optional<EngineState>> m_engines;
    std::uint64_t m_version = 0;
    std::uint64_t m_starts = 0;
    std::uint64_t m_checkpoints = 0;
    bool m_anyFell = false;
};

} // namespace bergamot::internal
