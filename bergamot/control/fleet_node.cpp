#include "bergamot/control/fleet_node.h"

#include "bergamot/base/hash.h"

namespace bergamot
{

namespace
{

std::uint64_t wholeMilliseconds(Duration age)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, age / std::chrono::milliseconds(1)));
}

template<typename Row>
std::uint64_t addRows(std::uint64_t sum, const std::vector<std::unique_ptr<Row>> &rows, std::string Row::*name)
{
    for (const std::unique_ptr<Row> &row : rows) {
        sum = stableHash((*row).*name, sum) + fingerprintOf(*row);
    }
    return sum;
}

/// Changes with everything in the view but the loads and ages of endpoints.
std::uint64_t structureOf(const inner::ViewT &view)
{
    std::uint64_t sum = view.config_version * 2 + (view.confirmed ? 1 : 0);
    sum = addRows(sum, view.endpoints, &inner::EndpointT::id);
    sum = addRows(sum, view.members, &inner::MemberStatusT::instance);
    sum = addRows(sum, view.published, &inner::PublishedVersionT::model);
    for (const std::unique_ptr<inner::SuspectT> &suspect : view.suspects) {
        sum = stableHash(std::to_string(suspect->fingerprint), sum) + fingerprintOf(*suspect);
    }
    return sum;
}

} // namespace

FleetNode::FleetNode(FleetNodeOptions options,
                     FleetNodeParts parts,
                     std::vector<StreamReplica *> replicas,
                     FleetNodeEvents events)
    : m_options(std::move(options))
    , m_parts(parts)
    , m_replicas(replicas)
    , m_events(std::move(events))
    , m_dissemination(m_options.dissemination, std::move(replicas), m_events.configVersion)
    , m_applied(m_replicas.size(), 0)
    , m_view(std::make_shared<inner::ViewT>())
{ }

FleetNode::~FleetNode() = default;

std::function<void(std::function<void()> task)> FleetNode::poster()
{
    return [poster = m_parts.loop.poster(), alive = std::weak_ptr(m_alive)](std::function<void()> task) {
        poster.post([alive, task = std::move(task)] {
            if (!alive.expired()) {
                task();
            }
        });
    };
}

void FleetNode::tick()
{
    const TimePoint now = m_parts.clock.now();
    for (Action &action : m_dissemination.tick(now)) {
        perform(std::move(action));
    }
    if (m_wasRelay != m_dissemination.isRelay()) {
        m_wasRelay = m_dissemination.isRelay();
        m_log.info(m_wasRelay ? "This instance is a relay now." : "This instance is no relay any more.");
    }
    afterEvent();
    refreshView(now);
}

void FleetNode::perform(Action action)
{
    if (auto *digest = std::get_if<SendDigest>(&action)) {
        send(std::move(*digest));
    } else if (const auto *logRead = std::get_if<ReadLog>(&action)) {
        read(*logRead);
    } else if (const auto *checkpoint = std::get_if<AppendCheckpoint>(&action)) {
        m_parts.appender.append(checkpoint->stream, std::string(CheckpointKind), checkpoint->payload, nullptr);
    } else if (std::holds_alternative<FetchList>(action)) {
        fetchList();
    } else if (const auto *endpoint = std::get_if<EndpointPoll>(&action)) {
        poll(*endpoint);
    }
}

void FleetNode::send(SendDigest action)
{
    const Result<Address> address = parseAddress(action.address);
    if (!address) {
        m_dissemination.replyFailed(action.peer, m_parts.clock.now());
        return;
    }
    inner::BodyUnion body;
    body.Set(std::move(action.digest));
    m_parts.peers.request(*address,
                          std::move(body),
                          m_options.digestTimeout,
                          [this, post = poster(), peer = action.peer](Result<inner::FrameT> reply) {
                              const auto frame = std::make_shared<Result<inner::FrameT>>(std::move(reply));
                              post([this, peer, frame] {
                                  const inner::DigestReplyT *digest = *frame ? (*frame)->body.AsDigestReply() : nullptr;
                                  if (digest == nullptr) {
                                      m_dissemination.replyFailed(peer, m_parts.clock.now());
                                      return;
                                  }
                                  m_dissemination.replyReceived(
                                      peer, (*frame)->sender, (*frame)->domain, *digest, m_parts.clock.now());
                                  afterEvent();
                              });
                          });
}

void FleetNode::read(const ReadLog &action)
{
    m_parts.log.read(action.stream,
                     action.read.from,
                     action.read.limit,
                     m_options.logTimeout,
                     [this, post = poster(), stream = action.stream](Result<LogPage> page) {
                         post([this, stream, page = std::move(page)] {
                             m_dissemination.logRead(stream, page, m_parts.clock.now());
                             afterEvent();
                         });
                     });
}

void FleetNode::fetchList()
{
    m_parts.list.fetch(m_options.listTimeout, [this, post = poster()](Result<std::vector<ListedMember>> list) {
        post([this, list = std::move(list)] {
            m_dissemination.listFetched(list, m_parts.clock.now());
        });
    });
}

void FleetNode::poll(const EndpointPoll &endpoint)
{
    m_parts.probe.ask(
        endpoint, m_options.probeTimeout, [this, post = poster(), id = endpoint.endpoint](Result<EngineState> state) {
            post([this, id, state = std::move(state)] {
                m_dissemination.endpointPolled(id, state, m_parts.clock.now());
            });
        });
}

void FleetNode::afterEvent()
{
    bool isAdvanced = false;
    for (std::size_t i = 0; i < m_replicas.size(); ++i) {
        isAdvanced = isAdvanced || m_replicas[i]->applied() != m_applied[i];
        m_applied[i] = m_replicas[i]->applied();
    }
    if (isAdvanced) {
        m_events.applied();
    }
}

void FleetNode::refreshView(TimePoint now)
{
    const std::uint64_t version = m_events.configVersion();
    const bool isChanged = m_dissemination.viewRevision() != m_viewRevision || version != m_viewVersion;
    if (!isChanged) {
        m_viewKnownAt = m_dissemination.stateKnownAt();
    }
    if (!isChanged || now < m_nextView) {
        return;
    }
    m_viewKnownAt = m_dissemination.stateKnownAt();
    m_nextView = now + m_options.viewPeriod;
    auto view = std::make_shared<inner::ViewT>(m_dissemination.view(now));
    view->config_version = version;
    const std::uint64_t structure = structureOf(*view);
    if (structure == m_viewStructure && now < m_nextLoads) {
        return; // nothing but loads is new
    }
    m_viewStructure = structure;
    m_nextLoads = now + m_options.loadPeriod;
    m_viewRevision = m_dissemination.viewRevision();
    m_viewVersion = version;
    view->configuration = m_events.configuration();
    for (const FailureDomainId &domain : m_events.domains()) {
        view->domains.push_back(domain.value());
    }
    m_viewHash =
        stableHash(std::to_string(m_viewRevision) + '/' + std::to_string(version), m_options.dissemination.incarnation);
    m_view = std::move(view);
    m_events.viewChanged(*m_view);
}

inner::BodyUnion FleetNode::digestReceived(inner::FrameT &frame)
{
    inner::BodyUnion body;
    body.Set(m_dissemination.digestReceived(frame.sender, frame.domain, *frame.body.AsDigest(), m_parts.clock.now()));
    return body;
}

void FleetNode::suspectsSeen(const std::vector<std::unique_ptr<inner::SuspectT>> &suspects)
{
    for (const auto &suspect : suspects) {
        m_dissemination.suspectSeen(*suspect, m_parts.clock.now());
    }
}

inner::BodyUnion FleetNode::viewRequested(const inner::ViewRequestT &request)
{
    suspectsSeen(request.suspects);
    inner::ViewReplyT reply;
    reply.view_hash = m_viewHash;
    reply.age_ms = m_viewKnownAt ? wholeMilliseconds(m_parts.clock.now() - *m_viewKnownAt) : NeverWholeAge;
    if (request.view_hash != m_viewHash) {
        reply.view = std::make_unique<inner::ViewT>(*m_view);
    }
    inner::BodyUnion body;
    body.Set(std::move(reply));
    return body;
}

void FleetNode::expect(const std::string &stream, Offset offset)
{
    m_dissemination.expect(stream, offset);
    for (Action &action : m_dissemination.expectedReads(m_parts.clock.now())) {
        perform(std::move(action));
    }
}

void FleetNode::published(const ModelId &model, WeightVersion version)
{
    m_dissemination.published(model, version);
}

void FleetNode::startDraining()
{
    m_dissemination.startDraining();
}

const Dissemination &FleetNode::dissemination() const
{
    return m_dissemination;
}

bool FleetNode::isCaughtUp() const
{
    return m_dissemination.isCaughtUp(m_parts.clock.now());
}

std::vector<InstanceId> FleetNode::eligible(const FailureDomainId &domain) const
{
    return m_dissemination.members().eligible(domain, m_parts.clock.now());
}

std::vector<InstanceId> FleetNode::eligibleEverywhere() const
{
    std::vector<InstanceId> all;
    for (const FailureDomainId &domain : m_dissemination.members().domains()) {
        const std::vector<InstanceId> instances = eligible(domain);
        all.insert(all.end(), instances.begin(), instances.end());
    }
    return all;
}

void FleetNode::ask(const InstanceId &instance,
                    inner::BodyUnion body,
                    std::chrono::milliseconds timeout,
                    Callback<inner::FrameT> done)
{
    const std::optional<Member> member = m_dissemination.members().find(instance);
    const Result<Address> address = parseAddress(member ? member->controlAddress : std::string());
    if (!address) {
        done(failure(ErrorCode::Unavailable, "the address of instance " + instance.value() + " is not known here"));
        return;
    }
    const auto answered = [this, post = poster(), instance, done = std::move(done)](Result<inner::FrameT> reply) {
        const auto moved = std::make_shared<Result<inner::FrameT>>(std::move(reply));
        post([this, instance, done, moved] {
            const TimePoint now = m_parts.clock.now();
            if (*moved) {
                m_dissemination.answered(instance, now);
            } else {
                m_dissemination.unanswered(instance, now);
            }
            done(std::move(*moved));
        });
    };
    m_parts.peers.request(*address, std::move(body), timeout, answered);
}

std::shared_ptr<const inner::ViewT> FleetNode::view() const
{
    return m_view;
}

} // namespace bergamot
