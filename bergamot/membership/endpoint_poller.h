#pragma once

// Polls the endpoints that fall to this instance and turns the answers into reports for the relays. Each endpoint is
// polled by two instances of its domain, so that the cost per instance does not grow with the fleet.
//
//     for (const EndpointPoll &poll : poller.due(now)) { /* ask the endpoint, then poller.polled(...) */ }
//     digest.reports = poller.news();

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
    Duration timeout = std::chrono::seconds(3); // a poll without an answer is given up
    std::uint32_t toleratedTimeouts = 1; // in a row; one more makes the endpoint unreachable
};

/// Not thread-safe.
class EndpointPoller
{
public:
    explicit EndpointPoller(EndpointPollerOptions options = {});

    /// The endpoints to poll from now on; what is known of the others is dropped.
    void assign(const std::vector<EndpointPoll> &endpoints);
    std::vector<EndpointPoll> due(TimePoint now);
    /// Returns true if the finding is urgent: the endpoint began to leave, or its reachability changed.
    bool polled(const EndpointId &endpoint, const Result<EngineState> &state, TimePoint now);

    /// The present finding of each endpoint polled so far.
    std::vector<inner::EndpointReportT> reports() const;
    /// The findings that changed after `tick`; each change raises `tick()`.
    std::vector<inner::EndpointReportT> reportsSince(std::uint64_t tick) const;
    std::uint64_t tick() const;
    /// Of the endpoints that report their load.
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

    inner::EndpointReportT judge(Entry &entry, const Result<EngineState> &state) const;

    EndpointPollerOptions m_options;
    std::map<EndpointId, Entry> m_entries;
    std::uint64_t m_tick = 0;
};

} // namespace bergamot
