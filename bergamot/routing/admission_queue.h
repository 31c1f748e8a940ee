#pragma once

// A queue of requests that wait for a free endpoint: ordered by class, in fair shares of the tenants within a class,
// and bounded by the requests' deadlines. A request that cannot be served before its deadline is shed as soon as that
// is known.
//
//     AdmissionQueue queue;
//     AdmissionQueue::Offer offer = queue.offer(waiting, times, now);
//     if (!offer.queued) { refuse(waiting.id, offer.expectedWait); }

// Load pattern: one tenant sends ten times as much as all others together. Tenants are served in turn (start-time fair
// queueing, every request counts as one), so the others wait as if it sent no more than they do. The requests of one
// tenant, and all requests where there are no tenants, are served first in, first out.

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bergamot/base/clock.h"
#include "bergamot/routing/request.h"

namespace bergamot
{

struct AdmissionQueueOptions
{
    std::size_t most = 512; // maximum number of queued requests over all classes
};

/// Mean times from which the wait of a queued request is predicted.
struct ServiceTimes
{
    Duration interval{}; // between two requests that leave the queue
    Duration service{}; // duration of one request at an endpoint
};

struct WaitingRequest
{
    RequestId id = 0;
    TrafficClass trafficClass = TrafficClass::Interactive;
    TimePoint deadline{};
    std::string tenant; // empty: none
};

/// Not thread-safe.
class AdmissionQueue
{
public:
    struct Offer
    {
        bool queued = false;
        Duration expectedWait{};
        std::optional<RequestId> evicted; // of a lower class, removed to make room; to be refused by the caller
    };

    explicit AdmissionQueue(AdmissionQueueOptions options = {});

    /// Queues the request, unless its deadline would pass first or the queue is full and holds no lower class.
    Offer offer(const WaitingRequest &waiting, const ServiceTimes &times, TimePoint now);
    /// The request to serve next.
    std::optional<WaitingRequest> front() const;
    void popFront();
    void remove(RequestId id);
    /// Removes and returns the requests that can no longer be answered before their deadlines.
    std::vector<WaitingRequest> shedLateRequests(const ServiceTimes &times, TimePoint now);
    /// The predicted wait of a request of `trafficClass` that is queued now.
    Duration expectedWait(TrafficClass trafficClass, const ServiceTimes &times) const;
    std::size_t size() const;
    std::size_t size(TrafficClass trafficClass) const;

private:
    /// The waiting requests of one class.
    struct ClassQueue
    {
        using Position = std::pair<std::uint64_t, std::uint64_t>; // turn of its tenant, order of arrival

        void push(const WaitingRequest &waiting);
        void popFront();
        /// Forgets the turns once nothing waits.
        void tidy();

        std::map<Position, WaitingRequest> waiting;
        std::map<std::string, std::uint64_t> lastTurns; // of the newest request, by tenant
        std::uint64_t turn = 0; // of the request that left last
        std::uint64_t arrivals = 0;
    };

    std::optional<RequestId> evictLowerClass(TrafficClass trafficClass);

    AdmissionQueueOptions m_options;
    std::array<ClassQueue, TrafficClassCount> m_queues;
};

} // namespace bergamot
