#pragma once

// Tells "this instance is cut off from all endpoints" from "some endpoints are gone", by the outcome of new
// connections. Open connections prove nothing: they may live on while new ones are refused, and the other way round.
// Pure: outcomes and the time come in, the verdict and the endpoints to probe come out.
//
//     ReachMonitor monitor({}, seed);
//     monitor.setEndpoints({address, other});
//     monitor.failed(address, now);
//     for (const Address &probe : monitor.takeProbes(now)) { ... open a connection ... }
//     monitor.cutOff();
//
// Load pattern: an instance loses its links to all endpoints for seconds while the other instances keep theirs. One
// failed connection raises the suspicion; probes of other endpoints confirm or end it within a few hundred
// milliseconds, also when few callers come. While it is cut off, the instance probes all the time, so that it serves by
// itself again soon after the links are back, but not after a single connection.

#include <chrono>
#include <random>
#include <set>
#include <vector>

#include "bergamot/base/address.h"
#include "bergamot/base/clock.h"

namespace bergamot::reach
{

struct ReachMonitorOptions
{
    std::size_t failuresToCutOff = 3; // different endpoints without a new connection in between; all if there are fewer
    std::size_t connectionsToReturn = 2; // different endpoints without a failure in between; all if there are fewer
    std::size_t probesPerRound = 3; // endpoints that are probed at once
    Duration probeInterval = std::chrono::milliseconds(400); // between two rounds, unless the first one connected
};

/// Not thread-safe.
class ReachMonitor
{
public:
    ReachMonitor(ReachMonitorOptions options, std::uint64_t seed);

    /// Replaces the endpoints that count.
    void setEndpoints(const std::set<Address> &endpoints);
    /// A new connection to the address was established.
    void connected(const Address &address, TimePoint now);
    /// A new connection to the address was refused or not established in time.
    void failed(const Address &address);
    /// Asks for a round of probes, unless a connection is established before.
    void requestProbe();

    bool cutOff() const;
    /// Whether connections failed and none was established since.
    bool suspects() const;
    /// Whether a connection was established at `since` or later.
    bool connectedSince(TimePoint since) const;
    /// The same, or there is no endpoint to connect to.
    bool reachedSince(TimePoint since) const;
    /// The endpoints to probe now.
    std::vector<Address> takeProbes(TimePoint now);

private:
    std::size_t atMostAll(std::size_t count) const;

    ReachMonitorOptions m_options;
    std::mt19937_64 m_random;
    std::set<Address> m_endpoints;
    std::set<Address> m_failed; // since the last new connection
    std::set<Address> m_connected; // since the last failure; only while cut off
    TimePoint m_connectedAt{};
    TimePoint m_probedAt{};
    bool m_probeRequested = false;
    bool m_cutOff = false;
};

} // namespace bergamot::reach
