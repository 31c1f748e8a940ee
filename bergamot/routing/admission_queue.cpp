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
    m_queues.at(static_cast<std::size_t>(waiting.trafficClass)).push(waiting);
    offer.queued = true;
    return offer;
}

std::optional<WaitingRequest> AdmissionQueue::front() const
{
    for (const ClassQueue &each : m_queues) {
        if (!each.waiting.empty()) {
            return each.waiting.begin()->second;
        }
    }
    return std::nullopt;
}

void AdmissionQueue::popFront()
{
    for (ClassQueue &each : m_queues) {
        if (!each.waiting.empty()) {
            each.popFront();
            return;
        }
    }
}

void AdmissionQueue::remove(RequestId id)
{
    for (ClassQueue &each : m_queues) {
        std::erase_if(each.waiting, [id](const auto &entry) {
            return entry.second.id == id;
        });
        each.tidy();
    }
}

std::vector<WaitingRequest> AdmissionQueue::shedLateRequests(const ServiceTimes &times, TimePoint now)
{
    std::vector<WaitingRequest> shed;
    std::int64_t ahead = 0;
    for (ClassQueue &each : m_queues) {
        std::erase_if(each.waiting, [&](const auto &entry) {
            const WaitingRequest &waiting = entry.second;
            const bool tooLate = now + times.interval * ahead + times.service > waiting.deadline;
            if (tooLate) {
                shed.push_back(waiting);
            } else {
                ++ahead;
            }
            return tooLate;
        });
        each.tidy();
    }
    return shed;
}

Duration AdmissionQueue::expectedWait(TrafficClass trafficClass, const ServiceTimes &times) const
{
    std::int64_t ahead = 0;
    for (std::size_t index = 0; index <= static_cast<std::size_t>(trafficClass); ++index) {
        ahead += static_cast<std::int64_t>(m_queues.at(index).waiting.size());
    }
    return times.interval * ahead;
}

std::size_t AdmissionQueue::size() const
{
    std::size_t total = 0;
    for (const ClassQueue &each : m_queues) {
        total += each.waiting.size();
    }
    return total;
}

std::size_t AdmissionQueue::size(TrafficClass trafficClass) const
{
    return m_queues.at(static_cast<std::size_t>(trafficClass)).waiting.size();
}

void AdmissionQueue::ClassQueue::push(const WaitingRequest &request)
{
    std::uint64_t &last = lastTurns[request.tenant];
    last = std::max(last, turn) + 1;
    waiting.emplace(Position(last, ++arrivals), request);
}

void AdmissionQueue::ClassQueue::popFront()
{
    turn = waiting.begin()->first.first;
    waiting.erase(waiting.begin());
    tidy();
}

void AdmissionQueue::ClassQueue::tidy()
{
    if (waiting.empty()) {
        lastTurns.clear();
        turn = 0;
    }
}

std::optional<RequestId> AdmissionQueue::evictLowerClass(TrafficClass trafficClass)
{
    for (std::size_t index = TrafficClassCount - 1; index > static_cast<std::size_t>(trafficClass); --index) {
        ClassQueue &lower = m_queues.at(index);
        if (!lower.waiting.empty()) {
            const auto last = std::prev(lower.waiting.end());
            const RequestId evicted = last->second.id;
            lower.waiting.erase(last);
            lower.tidy();
            return evicted;
        }
    }
    return std::nullopt;
}

} // namespace bergamot
