#include "bergamot/routing/admission_queue.h"

namespace bergamot
{

AdmissionQueue::AdmissionQueue(AdmissionQueueOptions options)
    : m_options(options)
{ }

AdmissionQueue::Offer AdmissionQueue::offer(const WaitingRequest &waiting, const ServiceTimes &times, TimePoint now)
{
    Offer offer{.queued = false, .expectedWait = expectedWait(waiting.trafficClass, times), .evicted = std::nullopt};
    if (now + offer.expectedWait + times.service > waiting.deadline) {
        return offer;
    }
    if (size() >= m_options.most) {
        offer.evicted = evictLowerClass(waiting.trafficClass);
        if (!offer.evicted) {
            return offer;
        }
    }
    queueFor(waiting.trafficClass).push_back(waiting);
    offer.queued = true;
    return offer;
}

std::optional<WaitingRequest> AdmissionQueue::front() const
{
    for (const std::deque<WaitingRequest> &each : m_queues) {
        if (!each.empty()) {
            return each.front();
        }
    }
    return std::nullopt;
}

void AdmissionQueue::popFront()
{
    for (std::deque<WaitingRequest> &each : m_queues) {
        if (!each.empty()) {
            each.pop_front();
            return;
        }
    }
}

void AdmissionQueue::remove(RequestId id)
{
    for (std::deque<WaitingRequest> &each : m_queues) {
        std::erase_if(each, [id](const WaitingRequest &waiting) {
            return waiting.id == id;
        });
    }
}

std::vector<WaitingRequest> AdmissionQueue::shedLateRequests(const ServiceTimes &times, TimePoint now)
{
    std::vector<WaitingRequest> shed;
    std::int64_t ahead = 0;
    for (std::deque<WaitingRequest> &each : m_queues) {
        std::erase_if(each, [&](const WaitingRequest &waiting) {
            const bool tooLate = now + times.interval * ahead + times.service > waiting.deadline;
            if (tooLate) {
                shed.push_back(waiting);
            } else {
                ++ahead;
            }
            return tooLate;
        });
    }
    return shed;
}

Duration AdmissionQueue::expectedWait(TrafficClass trafficClass, const ServiceTimes &times) const
{
    std::int64_t ahead = 0;
    for (std::size_t index = 0; index <= static_cast<std::size_t>(trafficClass); ++index) {
        ahead += static_cast<std::int64_t>(m_queues.at(index).size());
    }
    return times.interval * ahead;
}

std::size_t AdmissionQueue::size() const
{
    std::size_t total = 0;
    for (const std::deque<WaitingRequest> &each : m_queues) {
        total += each.size();
    }
    return total;
}

std::size_t AdmissionQueue::size(TrafficClass trafficClass) const
{
    return m_queues.at(static_cast<std::size_t>(trafficClass)).size();
}

std::deque<WaitingRequest> &AdmissionQueue::queueFor(TrafficClass trafficClass)
{
    return m_queues.at(static_cast<std::size_t>(trafficClass));
}

std::optional<RequestId> AdmissionQueue::evictLowerClass(TrafficClass trafficClass)
{
    for (std::size_t index = TrafficClassCount - 1; index > static_cast<std::size_t>(trafficClass); --index) {
        std::deque<WaitingRequest> &lower = m_queues.at(index);
        if (!lower.empty()) {
            const RequestId evicted = lower.back().id;
            lower.pop_back();
            return evicted;
        }
    }
    return std::nullopt;
}

} // namespace bergamot
