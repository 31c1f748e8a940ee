#include "bergamot/membership/internal/simulated_fleet.h"

#include "bergamot/protocol/frame.h"

// The messages between the nodes of a simulated fleet, and their requests to the platform and to endpoints.

namespace bergamot::internal
{

namespace
{

constexpr Duration Latency = std::chrono::milliseconds(2);
constexpr Duration PlatformLatency = std::chrono::milliseconds(5);
constexpr Duration RequestTimeout = std::chrono::seconds(1);

} // namespace

SimulatedFleet::NodePtr SimulatedFleet::nodeAt(const std::string &address) const
{
    const auto entry = m_nodeByAddress.find(address);
    return entry == m_nodeByAddress.end() ? nullptr : entry->second.lock();
}

bool SimulatedFleet::isLost(const Node &from, const Node &to)
{
    if (m_domainPartitions.contains(std::minmax(from.domain, to.domain))) {
        return true;
    }
    return std::uniform_real_distribution<double>(0, 1)(m_random) < m_options.dropProbability;
}

bool SimulatedFleet::isPlatformPartitioned(const Node &node) const
{
    return m_platformPartitions.contains(node.domain);
}

void SimulatedFleet::failDigest(const NodePtr &node, const std::string &peer, Duration delay)
{
    scheduleAtNode(node, delay, [this, peer](const NodePtr &alive) {
        alive->decision->replyFailed(peer, m_now);
    });
}

void SimulatedFleet::countFrame(Node &from, Node &to, inner::BodyUnion body) const
{
    ++from.traffic.framesSent;
    if (!m_options.countBytes) {
        return;
    }
    const std::size_t bytes = encodeFrame(makeFrame({from.name, from.domain}, 1, std::move(body))).size();
    from.traffic.bytesSent += bytes;
    to.traffic.bytesReceived += bytes;
}

void SimulatedFleet::sendDigest(const NodePtr &node, SendDigest action)
{
    const NodePtr to = nodeAt(action.address);
    if (!to) {
        failDigest(node, action.peer, Latency); // the connection is refused
        return;
    }
    if (isLost(*node, *to)) {
        failDigest(node, action.peer, RequestTimeout);
        return;
    }
    schedule(Latency, [this, from = std::weak_ptr(node), receiver = std::weak_ptr(to), action = std::move(action)] {
        const NodePtr sender = from.lock();
        const NodePtr alive = receiver.lock();
        if (sender && alive && m_now < alive->pausedUntil) {
            failDigest(sender, action.peer, RequestTimeout);
            deliverAfterPause(sender, alive, action);
        } else if (sender && alive) {
            deliverDigest(sender, alive, action);
        } else if (sender) {
            failDigest(sender, action.peer, Latency);
        }
    });
}

void SimulatedFleet::deliverAfterPause(const NodePtr &from, const NodePtr &to, const SendDigest &action)
{
    scheduleAtNode(
        to, to->pausedUntil - m_now, [this, name = from->name, domain = from->domain, action](const NodePtr &alive) {
            alive->decision->digestReceived(name, domain, action.digest, m_now);
        });
}

void SimulatedFleet::deliverDigest(const NodePtr &from, const NodePtr &to, const SendDigest &action)
{
    inner::BodyUnion digestBody;
    digestBody.Set(inner::DigestT(action.digest));
    countFrame(*from, *to, std::move(digestBody));
    auto reply = std::make_shared<inner::DigestReplyT>(
        to->decision->digestReceived(from->name, from->domain, action.digest, m_now));
    inner::BodyUnion replyBody;
    replyBody.Set(inner::DigestReplyT(*reply));
    countFrame(*to, *from, std::move(replyBody));
    if (isLost(*to, *from)) {
        failDigest(from, action.peer, RequestTimeout);
        return;
    }
    scheduleAtNode(
        from, Latency, [this, peer = action.peer, name = to->name, domain = to->domain, reply](const NodePtr &alive) {
            alive->decision->replyReceived(peer, name, domain, *reply, m_now);
        });
}

void SimulatedFleet::readLog(const NodePtr &node, const ReadLog &action)
{
    ++node->traffic.logReads;
    const bool isUnavailable = m_isLogUnavailable || isPlatformPartitioned(*node);
    scheduleAtNode(
        node, isUnavailable ? RequestTimeout : PlatformLatency, [this, action, isUnavailable](const NodePtr &alive) {
            if (isUnavailable) {
                alive->decision->logRead(action.stream, failure(ErrorCode::Unavailable, "simulated outage"), m_now);
                return;
            }
            if (action.read.from < m_firstRetained) {
                alive->decision->logRead(
                    action.stream, failure(ErrorCode::Expired, "the offset is no longer retained"), m_now);
                return;
            }
            LogPage page{{}, m_firstRetained, logEnd()};
            for (Offset offset = action.read.from; offset < logEnd() && page.records.size() < action.read.limit;
                 ++offset) {
                page.records.push_back(m_log[offset - 1]);
            }
            alive->decision->logRead(action.stream, page, m_now);
        });
}

void SimulatedFleet::appendCheckpoint(const NodePtr &node, const AppendCheckpoint &action)
{
    if (m_isLogUnavailable || isPlatformPartitioned(*node)) {
        return;
    }
    ++m_checkpoints;
    append(std::string(CheckpointKind), action.payload);
}

void SimulatedFleet::fetchList(const NodePtr &node)
{
    ++node->traffic.listFetches;
    const bool isUnavailable = m_isListUnavailable || isPlatformPartitioned(*node);
    scheduleAtNode(node, isUnavailable ? RequestTimeout : PlatformLatency, [this, isUnavailable](const NodePtr &alive) {
        if (isUnavailable) {
            alive->decision->listFetched(failure(ErrorCode::Unavailable, "simulated outage"), m_now);
        } else {
            alive->decision->listFetched(visibleList(), m_now);
        }
    });
}

void SimulatedFleet::poll(const NodePtr &node, const EndpointPoll &endpoint)
{
    ++node->traffic.polls;
    schedule(Latency, [this, weak = std::weak_ptr(node), endpoint] {
        const std::optional<EngineState> &state = m_engines[endpoint.endpoint.value()];
        const Result<EngineState> answer =
            state ? Result<EngineState>(*state) : failure(ErrorCode::Unavailable, "connection refused");
        scheduleAtNode(weak, Duration{}, [this, endpoint, answer](const NodePtr &alive) {
            alive->decision->endpointPolled(endpoint.endpoint, answer, m_now);
        });
    });
}

} // namespace bergamot::internal
