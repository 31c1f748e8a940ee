#pragma once

// What one endpoint still has to do and how slow it is, as far as this instance knows, and from that when a request
// that is sent there now would be complete.
//
//     EndpointOutlook outlook;
//     outlook.reported({.running = 6, .waiting = 3, .slots = 6, .slowness = 2.5}, now);
//     outlook.answered(90ms, 25ms, now);
//     outlook.completion({.work = 25ms, .queuedWork = 30ms, .inFlight = 1}, now);
//
// Load pattern: a burst of ten times the usual traffic while some endpoints are several times slower, seen by a hundred
// instances of which each sends a request or two a second. What one instance knows is old, so each piece of knowledge
// counts as long as it usually holds: a named slowness changes several times a second; a queue lasts about as long as
// it takes to work off; an endpoint that answered late is probably slow for seconds.

#include <cstdint>
#include <optional>

#include "bergamot/base/clock.h"

namespace bergamot::cost
{

/// The load that an endpoint reports in an answer.
struct LoadReport
{
    std::uint32_t running = 0; // requests of all instances
    std::uint32_t waiting = 0; // requests in its queue
    std::uint32_t slots = 0; // requests that it runs at once
    std::optional<double> slowness; // how long work takes at the moment, as a multiple of the usual time
};

struct OutlookQuery
{
    Duration work{}; // of the request, at an idle endpoint of usual speed
    Duration queuedWork{}; // of each request that is ahead of it
    std::uint32_t inFlight = 0; // requests of this instance at the endpoint
};

/// What another instance has told of an endpoint.
struct ToldOutlook
{
    double slowness = 1;
    double queued = 0; // requests ahead of one that is sent now

    bool operator==(const ToldOutlook &) const = default;
};

/// Not thread-safe.
class EndpointOutlook
{
public:
    void reported(const LoadReport &report, TimePoint now);
    /// A request of a kind of which few take longer than `tail` at an idle endpoint of usual speed was answered after
    /// `duration`. Ignored if the endpoint names its slowness itself.
    void answered(Duration duration, Duration tail, TimePoint now);
    /// Another instance, which sees more of the endpoint, has told this.
    void told(const ToldOutlook &outlook, TimePoint now);
    /// When this instance itself has last heard of the endpoint; `TimePoint()` if never.
    TimePoint heardAt() const;
    /// Expected time until the answer to a request that is sent now.
    Duration completion(const OutlookQuery &query, TimePoint now) const;
    /// How long work takes at the endpoint now, as a multiple of the usual time.
    double slowness(TimePoint now) const;
    /// Requests that are expected to be ahead of one that is sent now.
    double queued(std::uint32_t inFlight, TimePoint now) const;

private:
    LoadReport m_report;
    TimePoint m_reportedAt{}; // zero: never
    double m_usualSlowness = 1; // mean of the named ones
    double m_observedSlowness = 1; // by how much answers exceeded the tail of their kind
    TimePoint m_observedAt{};
    ToldOutlook m_told;
    TimePoint m_toldAt{}; // zero: never
};

} // namespace bergamot::cost
