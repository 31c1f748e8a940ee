#pragma once

// A queue of requests that wait for a free endpoint: ordered by class, first in first out within a class, and bounded
// by the requests' deadlines. A request that cannot be served before its deadline is shed as soon as that is known.
//
//     AdmissionQueue queue;
//     AdmissionQueue::Offer offer = queue.offer(waiting, times, now);
//     if (!offer.queued) { refuse(waiting.id, offer.expectedWait); }

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
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
    std::deque<WaitingRequest> &queueFor(TrafficClass trafficClass);
    std::optional<RequestId> evictLowerClass(TrafficClass trafficClass);

    AdmissionQueueOptions m_options;
    std::array<std::deque<WaitingRequest>, TrafficClassCount> m_queues;
};

} // namespace bergamot
