#include "bergamot/routing/admission_queue.h"

namespace bergamot
{

AdmissionQueue::AdmissionQueue(AdmissionQueueOptions options)
    : m_options(options)
{ }

AdmissionQueue::Offer AdmissionQueue::offer(const WaitingRequest &waiting, const ServicePace &pace, TimePoint now)
{
    Offer offer{.queued = false, .expectedWait = expectedWait(waiting.trafficClass, pace), .evicted = std::nullopt};
    if (now + offer.expectedWait + pace.service > waiting.deadline) {
        return offer;
    }
    if (size() >= m_options.most) {
        offer.evicted = evictBelow(waiting.trafficClass);
        if (!offer.evicted) {
            return offer;
        }
    }
    line(waiting.trafficClass).push_back(waiting);
    offer.queued = true;
    return offer;
}

std::optional<WaitingRequest> AdmissionQueue::front() const
{
    for (const std::deque<WaitingRequest> &each : m_lines) {
        if (!each.empty()) {
            return each.front();
        }
    }
    return std::nullopt;
}

void AdmissionQueue::popFront()
{
    for (std::deque<WaitingRequest> &each : m_lines) {
        if (!each.empty()) {
            each.pop_front();
            return;
        }
    }
}

void AdmissionQueue::remove(RequestId id)
{
    for (std::deque<WaitingRequest> &each : m_lines) {
        std::erase_if(each, [id](const WaitingRequest &waiting) {
            return waiting.id == id;
        });
    }
}

std::vector<WaitingRequest> AdmissionQueue::takeHopeless(const ServicePace &pace, TimePoint now)
{
    std::vector<WaitingRequest> hopeless;
    std::int64_t ahead = 0;
    for (std::deque<WaitingRequest> &each : m_lines) {
        std::erase_if(each, [&](const WaitingRequest &waiting) {
            const bool tooLate = now + pace.interval * ahead + pace.service > waiting.deadline;
            if (tooLate) {
                hopeless.push_back(waiting);
            } else {
                ++ahead;
            }
            return tooLate;
        });
    }
    return hopeless;
}

Duration AdmissionQueue::expectedWait(TrafficClass trafficClass, const ServicePace &pace) const
{
    std::int64_t ahead = 0;
    for (std::size_t index = 0; index <= static_cast<std::size_t>(trafficClass); ++index) {
        ahead += static_cast<std::int64_t>(m_lines.at(index).size());
    }
    return pace.interval * ahead;
}

std::size_t AdmissionQueue::size() const
{
    std::size_t total = 0;
    for (const std::deque<WaitingRequest> &each : m_lines) {
        total += each.size();
    }
    return total;
}

std::size_t AdmissionQueue::size(TrafficClass trafficClass) const
{
    return m_lines.at(static_cast<std::size_t>(trafficClass)).size();
}

std::deque<WaitingRequest> &AdmissionQueue::line(TrafficClass trafficClass)
{
    return m_lines.at(static_cast<std::size_t>(trafficClass));
}

std::optional<RequestId> AdmissionQueue::evictBelow(TrafficClass trafficClass)
{
    for (std::size_t index = TrafficClassCount - 1; index > static_cast<std::size_t>(trafficClass); --index) {
        std::deque<WaitingRequest> &lower = m_lines.at(index);
        if (!lower.empty()) {
            const RequestId evicted = lower.back().id;
            lower.pop_back();
            return evicted;
        }
    }
    return std::nullopt;
}

} // namespace bergamot
