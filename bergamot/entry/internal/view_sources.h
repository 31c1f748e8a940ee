#pragma once

// Which control processes an entry process asks for views, and whose answer it believes. It follows the one beside it.
// While that one does not answer, or has not heard from its domain for long, another one is asked too: those of the
// domain in turn, then those of other domains, whose views show a part of this domain's endpoints. A view that is older
// than the one in use is not taken, so that a paused process that wakes brings nothing back.
//
//     for (const ViewSource &source : sources.due()) { ask(source); }
//     if (sources.answered(source, {.age = age, .configVersion = version}, now)) { use(view); }

#include <map>
#include <vector>

#include "bergamot/base/ids.h"
#include "bergamot/entry/control_link.h"

namespace bergamot::entry_internal
{

struct ViewSourceOptions
{
    Duration staleAfter = std::chrono::seconds(3); // a view of this age is doubted
    Duration slack = std::chrono::milliseconds(500); // by which the own view may be behind another instance's
};

/// What an answer says of its view.
struct ViewFacts
{
    std::optional<Duration> age; // none: never whole
    std::uint64_t configVersion = 0;
};

/// Single-threaded and deterministic.
class ViewSources
{
public:
    ViewSources(InstanceId self, FailureDomainId domain, ViewSourceOptions options = {});

    /// The members that the view in use shows.
    void setMembers(const std::vector<std::unique_ptr<inner::MemberStatusT>> &members);
    /// Those to be asked now; each of them counts as asked until its answer or failure.
    std::vector<ViewSource> due();
    /// True if the view may be taken.
    bool answered(const ViewSource &source, const ViewFacts &facts, TimePoint now);
    void failed(const ViewSource &source);
    /// False while another instance's control process is asked too.
    bool followsOwn() const;

private:
    /// In the order of asking, which starts at another place for each instance.
    struct Peer
    {
        bool isElsewhere = false; // in another failure domain
        bool isBefore = false; // by its name, before this instance
        InstanceId instance;

        auto operator<=>(const Peer &) const = default;
    };

    bool ownAnswered(const ViewFacts &facts, TimePoint now);
    bool peerAnswered(const ViewFacts &facts, TimePoint now);
    bool isNewer(const ViewFacts &facts, Duration slack, TimePoint now) const;
    void use(const ViewFacts &facts, TimePoint now);
    void nextPeer();
    void passOver();

    InstanceId m_self;
    FailureDomainId m_domain;
    ViewSourceOptions m_options;
    std::map<Peer, Address> m_peers;
    Peer m_peer; // the one asked last, whether it is still among them or not
    bool m_followsOwn = true;
    bool m_isOwnAsked = false;
    bool m_isPeerAsked = false;
    std::optional<TimePoint> m_knownAt; // when the state in use was last whole
    std::uint64_t m_configVersion = 0;
};

} // namespace bergamot::entry_internal
