// What the listeners may hold together, and what is told of connections that were closed for it.

#include "bergamot/net/status.h"
#include "bergamot/node/node.h"

namespace bergamot::node
{

using namespace net::status;

namespace
{

constexpr std::size_t FileDescriptors = 200; // of those that the process may have; the rest is for sockets
constexpr std::size_t MinimumConnections = 8; // of a listener
// Parts of the sockets. A caller's request may need two connections to endpoints, and every instance may call any
// other.
constexpr std::size_t CallerPart = 3;
constexpr std::size_t PeerPart = 6;
constexpr std::size_t ProbePart = 48;
constexpr std::uint64_t ProbeBodyBytes = std::uint64_t{64} * 1024; // readiness and metrics are asked without a body

constexpr std::array<std::string_view, 5> ReasonNames{"refused for memory",
                                                      "closed for memory",
                                                      "closed for a new connection",
                                                      "no room for a new connection",
                                                      "larger than a limit"};

std::string milliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

} // namespace

std::size_t Node::maxConnections(std::size_t part) const
{
    const std::size_t sockets = m_options.descriptors > FileDescriptors ? m_options.descriptors - FileDescriptors : 0;
    return std::max(MinimumConnections, sockets / part);
}

void Node::boundListeners()
{
    struct Listener
    {
        std::string_view name;
        net::HttpServer &server;
        std::size_t part;
        std::uint64_t bodyBytes;
    };
    const std::uint64_t usualBody = net::ServerLimits().bodyBytes;
    for (const Listener &listener : {Listener{"callers", m_callerServer, CallerPart, usualBody},
                                     Listener{"readiness", m_readinessServer, ProbePart, ProbeBodyBytes},
                                     Listener{"metrics", m_metricsServer, ProbePart, ProbeBodyBytes},
                                     Listener{"instances", m_peerServer, PeerPart, usualBody}}) {
        listener.server.setLimits({.bodyBytes = listener.bodyBytes, .maxConnections = maxConnections(listener.part)});
        net::Response overload{.status = Unavailable, .body = "no room in memory for the request"};
        overload.headers.add("Content-Type", "text/plain");
        overload.headers.add("Retry-After", retryAfterText(RetryElsewhere));
        listener.server.setOverloadResponse(std::move(overload));
        listener.server.onRelease([this, name = listener.name](const net::Release &release) {
            recordRelease(name, release);
        });
    }
}

void Node::applyLimits()
{
    const fleet::CallerLimits &limits = m_view.configuration().limits();
    net::ServerLimits applied;
    applied.headerBytes = limits.headerBytes;
    applied.bodyBytes = limits.bodyBytes;
    applied.requestTimeout = limits.headerTimeout;
    applied.idleTimeout = limits.idleTimeout;
    applied.maxConnections = maxConnections(CallerPart);
    m_callerServer.setLimits(applied);
}

void Node::recordRelease(std::string_view listener, const net::Release &release)
{
    ReleaseCount &released = m_releases[{listener, release.reason}];
    ++released.count;
    released.largestBytes = std::max(released.largestBytes, release.bytes);
    released.longestStall = std::max(released.longestStall, release.sinceProgress);
    m_metrics.recordRelease(listener, ReasonNames.at(static_cast<std::size_t>(release.reason)));
}

void Node::logReleases()
{
    for (const auto &[key, released] : std::exchange(m_releases, {})) {
        const auto &[listener, reason] = key;
        m_log.write(EventKind::State,
                    "connections-released",
                    {{"listener", std::string(listener)},
                     {"reason", std::string(ReasonNames.at(static_cast<std::size_t>(reason)))},
                     {"count", std::to_string(released.count)},
                     {"largest_bytes", std::to_string(released.largestBytes)},
                     {"longest_stall_ms", milliseconds(released.longestStall)},
                     {"held_bytes", std::to_string(m_memory.heldBytes())},
                     {"bound_bytes", std::to_string(m_memory.maxBytes())}});
    }
}

} // namespace bergamot::node
