#pragma once

// Requests that wait for a free endpoint: by class, first come first served within a class, and no longer than their
// deadlines allow. One that cannot be served in time is shed as soon as that is known.
//
//     AdmissionQueue queue;
//     AdmissionQueue::Offer offer = queue.offer(waiting, pace, now);
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
    std::size_t most = 512; // requests, over all classes
};

/// How fast the endpoints take work from the queue.
struct ServicePace
{
    Duration interval{}; // between two requests that leave the queue
    Duration service{}; // one request takes this long at an endpoint
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
        std::optional<RequestId> evicted; // of a lower class, to make room; it has to be refused
    };

    explicit AdmissionQueue(AdmissionQueueOptions options = {});

    Offer offer(const WaitingRequest &waiting, const ServicePace &pace, TimePoint now);
    /// The next one to serve.
    std::optional<WaitingRequest> front() const;
    void popFront();
    void remove(RequestId id);
    /// Takes out the requests that cannot be answered in time any more.
    std::vector<WaitingRequest> takeHopeless(const ServicePace &pace, TimePoint now);
    /// How long a request of `trafficClass` that came now would wait.
    Duration expectedWait(TrafficClass trafficClass, const ServicePace &pace) const;
    std::size_t size() const;
    std::size_t size(TrafficClass trafficClass) const;

private:
    std::deque<WaitingRequest> &line(TrafficClass trafficClass);
    std::optional<RequestId> evictBelow(TrafficClass trafficClass);

    AdmissionQueueOptions m_options;
    std::array<std::deque<WaitingRequest>, TrafficClassCount> m_lines;
};

} // namespace bergamot
