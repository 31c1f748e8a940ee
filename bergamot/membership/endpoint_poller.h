#pragma once

// Polls the endpoints assigned to this instance and turns the answers into reports for the relays. Each endpoint is
// polled by two instances of its domain, so that the cost per instance does not grow with the fleet.
//
//     for (const EndpointPoll &poll : poller.due(now)) { /* ask the endpoint, then poller.polled(...) */ }
//     digest.reports = poller.reportsSince(acknowledgedTick);

#include <map>
#include <string>
#include <vector>

#include "bergamot/base/clock.h"
#include "bergamot/platform/engine.h"
#include "bergamot/protocol/generated/inner_generated.h"

namespace bergamot
{

struct EndpointPoll
{
    EndpointId endpoint;
    inner::EndpointKind kind = inner::EndpointKind::Engine;
    Address address;
};

struct EndpointPollerOptions
{
    Duration period = std::chrono::seconds(1);
    Duration timeout = std::chrono::seconds(3); // of one poll
    std::uint32_t toleratedTimeouts = 1; // consecutive; one more makes the endpoint unreachable
};

/// Not thread-safe.
class EndpointPoller
{
public:
    explicit EndpointPoller(EndpointPollerOptions options = {});

    /// Sets the endpoints to poll and drops the state of all others.
    void assign(const std::vector<EndpointPoll> &endpoints);
    /// Starts and returns the polls that are due, after recording polls that timed out.
    std::vector<EndpointPoll> due(TimePoint now);
    /// Records the outcome of a poll. Returns true if it is urgent: the endpoint's leaving state or its reachability
    /// changed.
    bool polled(const EndpointId &endpoint, const Result<EngineState> &state, TimePoint now);

    /// The current report of each endpoint polled so far.
    std::vector<inner::EndpointReportT> reports() const;
    /// The reports that changed after `tick`; each change increases `tick()`.
    std::vector<inner::EndpointReportT> reportsSince(std::uint64_t tick) const;
    std::uint64_t tick() const;
    /// The loads of the reachable endpoints that report one.
    std::vector<inner::PolledLoad> loads() const;

private:
    struct Entry
    {
        EndpointPoll poll;
        bool isKnown = false;
        bool inFlight = false;
        TimePoint sentAt{};
        TimePoint next{};
        std::uint32_t timeouts = 0;
        std::uint64_t changedAt = 0;
        inner::EndpointReportT report;
        EngineState state;
    };

    inner::EndpointReportT makeReport(Entry &entry, const Result<EngineState> &state) const;

    EndpointPollerOptions m_options;
    std::map<EndpointId, Entry> m_entries;
    std::uint64_t m_tick = 0;
};

} // namespace bergamot
