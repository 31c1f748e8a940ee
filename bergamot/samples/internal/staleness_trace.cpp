#include "bergamot/samples/internal/staleness_trace.h"

#include "bergamot/samples/staleness_rule.h"

namespace bergamot
{

namespace
{

std::int64_t versionsBetween(WeightVersion from, WeightVersion to)
{
    return static_cast<std::int64_t>(to) - static_cast<std::int64_t>(from);
}

} // namespace

void StalenessTrace::recordStart(const GenerateRequest &request, bool stepDrawn, TimePoint now)
{
    m_attempts[request.requestId] = {.startedAt = now,
                                     .completedAt = now,
                                     .publishedAtStart = m_published,
                                     .publishedAtEnd = m_published,
                                     .resumed = !request.resumeFrom.empty(),
                                     .stepDrawn = stepDrawn};
}

void StalenessTrace::recordCompletion(const std::string &requestId, TimePoint now)
{
    const auto attempt = m_attempts.find(requestId);
    if (attempt != m_attempts.end()) {
        attempt->second.completedAt = now;
        attempt->second.publishedAtEnd = m_published;
    }
}

void StalenessTrace::recordDelivery(const DeliveredSample &deliveredSample, WeightVersion newest, TimePoint now)
{
    const auto node = m_attempts.extract(deliveredSample.sample.requestId);
    if (!node) {
        return;
    }
    const Attempt &attempt = node.mapped();
    const std::int64_t behind = versionsBetween(oldestVersion(deliveredSample.sample.spans), attempt.publishedAtStart);
    ++m_parts.samples;
    (attempt.resumed ? m_parts.carried : m_parts.engineBehind) += behind;
    m_parts.decoded += versionsBetween(attempt.publishedAtStart, attempt.publishedAtEnd);
    m_parts.held += versionsBetween(attempt.publishedAtEnd, m_published);
    m_parts.notInForce += versionsBetween(newest, m_published);
    m_parts.startedBeforeDraw += attempt.stepDrawn ? 0 : 1;
    m_parts.decoding += attempt.completedAt - attempt.startedAt;
    m_parts.holdingTime += now - attempt.completedAt;
}

} // namespace bergamot
