#pragma once

// Decides which control processes an entry process requests views from, and which of their views it uses. By default it
// uses the control process of its own instance (the local one). While that one does not answer, or its view is stale
// because it has received nothing from its domain for long, a peer is asked too: the control processes of the domain in
// turn, then those of other domains, whose views contain a part of this domain's endpoints. A view that is older than
// the one in use is rejected, so that a control process that was paused and resumes does not restore outdated state.
//
//     for (const ViewSource &source : sources.due()) { requestView(source); }
//     if (sources.onAnswer(source, {.age = age, .configVersion = version}, now)) { useView(view); }

#include <map>
#include <vector>

#include "bergamot/base/ids.h"
#include "bergamot/entry/control_link.h"

namespace bergamot::entry_internal
{

struct ViewSourceOptions
{
    Duration staleAfter = std::chrono::seconds(3); // an older view is treated as stale
    // The local view is used again when it is older than the view in use by at most this much.
    Duration allowedLag = std::chrono::milliseconds(500);
};

/// How recent the view in an answer is.
struct ViewFreshness
{
    std::optional<Duration> age; // time since its state was last complete; none: it never was
    std::uint64_t configVersion = 0;
};

/// Single-threaded and deterministic.
class ViewSources
{
public:
    ViewSources(InstanceId self, FailureDomainId domain, ViewSourceOptions options = {});

    /// Sets the members of the view in use, from which the peers are chosen.
    void setMembers(const std::vector<std::unique_ptr<inner::MemberStatusT>> &members);
    /// The sources to request a view from now. Each has a request pending until its answer or failure.
    std::vector<ViewSource> due();
    /// Records an answer; true if its view may be used.
    bool onAnswer(const ViewSource &source, const ViewFreshness &freshness, TimePoint now);
    void onFailure(const ViewSource &source);
    /// False while a peer is asked too.
    bool followsLocal() const;

private:
    /// Sorted in the order of requests, which starts at a different peer for each instance.
    struct Peer
    {
        bool isOtherDomain = false; // the peer is in another failure domain
        bool sortsBeforeSelf = false; // its instance name sorts before the name of this instance
        InstanceId instance;

        auto operator<=>(const Peer &) const = default;
    };

    bool onLocalAnswer(const ViewFreshness &freshness, TimePoint now);
    bool onPeerAnswer(const ViewFreshness &freshness, TimePoint now);
    bool isNewer(const ViewFreshness &freshness, Duration allowedLag, TimePoint now) const;
    void recordUse(const ViewFreshness &freshness, TimePoint now);
    void advancePeer();
    void skipPeer();

    InstanceId m_self;
    FailureDomainId m_domain;
    ViewSourceOptions m_options;
    std::map<Peer, Address> m_peers;
    Peer m_lastPeer; // the peer asked last; it may no longer be in `m_peers`
    bool m_followsLocal = true;
    bool m_localPending = false;
    bool m_peerPending = false;
    std::optional<TimePoint> m_completeAt; // when the state in use was last complete
    std::uint64_t m_configVersion = 0;
};

} // namespace bergamot::entry_internal
