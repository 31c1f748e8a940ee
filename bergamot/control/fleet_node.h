#pragma once

// Carries out the decisions of `Dissemination` for one control process: digests over the inner protocol, reads of the
// log and the list, polls of endpoints; and tells the process when a record was applied or the view has changed.
//
//     FleetNode node(options, {loop, clock, peers, log, list, appender, probe}, {&config, &duties}, events);
//     node.tick(); // about every 100 ms

#include <functional>
#include <memory>
#include <vector>

#include "bergamot/base/event_loop.h"
#include "bergamot/base/logging.h"
#include "bergamot/control/endpoint_probe.h"
#include "bergamot/journal/appender.h"
#include "bergamot/membership/dissemination.h"
#include "bergamot/platform/instance_list.h"
#include "bergamot/platform/log.h"
#include "bergamot/protocol/peer_client.h"

namespace bergamot
{

struct FleetNodeOptions
{
    DisseminationOptions dissemination;
    std::chrono::milliseconds digestTimeout{1000};
    std::chrono::milliseconds logTimeout{2000};
    std::chrono::milliseconds listTimeout{2000};
    std::chrono::milliseconds probeTimeout{1000};
    Duration viewPeriod = std::chrono::milliseconds(200); // between changed views, at least
    Duration loadPeriod = std::chrono::seconds(1); // between views in which nothing but loads is new
};

/// What the node needs; all outlive it.
struct FleetNodeParts
{
    EventLoop &loop;
    Clock &clock;
    PeerClient &peers;
    Log &log;
    InstanceList &list;
    Appender &appender;
    EndpointProbe &probe;
};

struct FleetNodeEvents
{
    std::function<std::uint64_t()> configVersion;
    /// The configuration as JSON text, and its failure domains.
    std::function<std::string()> configuration;
    std::function<std::vector<FailureDomainId>()> domains;
    std::function<void()> applied; // a stream has advanced
    std::function<void(const inner::ViewT &view)> viewChanged;
};

/// Confined to the thread of the loop.
class FleetNode
{
public:
    FleetNode(FleetNodeOptions options,
              FleetNodeParts parts,
              std::vector<StreamReplica *> replicas,
              FleetNodeEvents events);
    ~FleetNode();
    FleetNode(const FleetNode &) = delete;
    FleetNode &operator=(const FleetNode &) = delete;

    void tick();
    inner::BodyUnion digestReceived(inner::FrameT &frame);
    /// News of prompts that crash engines, from an entry process or from this process itself.
    void suspectsSeen(const std::vector<std::unique_ptr<inner::SuspectT>> &suspects);
    inner::BodyUnion viewRequested(const inner::ViewRequestT &request);
    /// A record of this process is on the log at `offset`; it is read as soon as possible.
    void expect(const std::string &stream, Offset offset);
    void published(const ModelId &model, WeightVersion version);
    void startDraining();

    const Dissemination &dissemination() const;
    /// True if this instance has all of its streams by a recent read of the log, here or at a relay.
    bool isCaughtUp() const;
    /// Present instances of `domain` that take duties.
    std::vector<InstanceId> eligible(const FailureDomainId &domain) const;
    std::vector<InstanceId> eligibleEverywhere() const;
    /// Sends a request to another instance; `done` runs on the loop. One that does not answer twice in a row is no
    /// longer eligible for a while. `Unavailable`: the request did not reach it.
    void ask(const InstanceId &instance,
             inner::BodyUnion body,
             std::chrono::milliseconds timeout,
             Callback<inner::FrameT> done);
    std::shared_ptr<const inner::ViewT> view() const;

private:
    void perform(Action action);
    void send(SendDigest action);
    void read(const ReadLog &action);
    void fetchList();
    void poll(const EndpointPoll &poll);
    void afterEvent();
    void refreshView(TimePoint now);
    /// Runs tasks on the loop unless this node has gone by then; usable on any thread.
    std::function<void(std::function<void()> task)> poster();

    FleetNodeOptions m_options;
    FleetNodeParts m_parts;
    std::vector<StreamReplica *> m_replicas;
    FleetNodeEvents m_events;
    Dissemination m_dissemination;
    ComponentLogger m_log{"fleet"};
    std::vector<Offset> m_applied;
    std::shared_ptr<const inner::ViewT> m_view;
    std::uint64_t m_viewHash = 0;
    std::uint64_t m_viewRevision = 0;
    std::uint64_t m_viewVersion = 0; // of the configuration in it
    std::uint64_t m_viewStructure = 0; // of all in it but loads
    TimePoint m_nextLoads{};
    std::optional<TimePoint> m_viewKnownAt; // when the state in it was last whole
    TimePoint m_nextView{};
    bool m_wasRelay = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace bergamot
