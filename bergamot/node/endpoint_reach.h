#pragma once

// Whether this instance reaches endpoints. This is the I/O layer around `ReachMonitor`: it observes the connections
// that the HTTP client opens, and opens connections of its own as probes.
//
//     EndpointReach reach(loop, client, eventLog, seed);
//     reach.setEndpoints(addresses);
//     reach.onChange([&] { ... });

#include <functional>
#include <memory>
#include <set>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "bergamot/base/event_log.h"
#include "bergamot/net/http_client.h"
#include "bergamot/reach/reach_monitor.h"

namespace bergamot::node
{

/// Not thread-safe.
class EndpointReach
{
public:
    EndpointReach(boost::asio::io_context &loop, net::HttpClient &client, EventLog &log, std::uint64_t seed);
    ~EndpointReach();

    void setEndpoints(const std::set<Address> &endpoints);
    /// Whether new connections to all endpoints fail.
    bool cutOff() const;
    /// Whether new connections failed, and none was established since.
    bool suspects() const;
    /// Whether there are no endpoints, or a connection to one was established at `since` or later and this instance is
    /// not cut off. If it is not known, it is found out meanwhile.
    bool reachesSince(TimePoint since);
    /// Probes endpoints if no connection to one was established within this time.
    void probeUnlessReached(TimePoint now, Duration within);
    /// Calls `done`, with true as soon as a connection is established after this call.
    void find(std::function<void(bool reaches)> done);
    /// `handler` runs when `cutOff` changes.
    void onChange(std::function<void()> handler);
    /// Starts the probes that are due and ends those that take too long. Call it often.
    void tick(TimePoint now);

private:
    struct Probe;
    struct Question
    {
        TimePoint askedAt{};
        std::function<void(bool)> done;
    };

    void observe(const Address &address, bool established);
    void startProbe(const Address &address);

    boost::asio::io_context &m_loop;
    EventLog &m_log;
    reach::ReachMonitor m_monitor;
    std::vector<std::shared_ptr<Probe>> m_probes; // in progress
    std::vector<Question> m_questions;
    std::function<void()> m_changeHandler;
    bool m_wasCutOff = false;
};

} // namespace bergamot::node
