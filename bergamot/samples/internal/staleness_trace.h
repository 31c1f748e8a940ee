#pragma once

// Breaks the staleness of samples down by cause: for each sample that a trainer received, the number of versions that
// were published but not yet on its engine, published during decoding, and published while the sample was held.
//
//     StalenessTrace trace;
//     trace.published(2);
//     trace.recordStart(request, stepDrawn, now);
//     trace.recordCompletion(request.requestId, now);
//     trace.recordDelivery(deliveredSample, newest, now);
//     trace.parts().held; // number of versions, summed over all samples

#include <cstdint>
#include <string>
#include <unordered_map>

#include "bergamot/base/clock.h"
#include "bergamot/samples/scheduler_actions.h"

namespace bergamot
{

/// Sums over all delivered samples. Staleness is `engineBehind + carried + decoded + held - notInForce`.
struct StalenessParts
{
    std::uint64_t samples = 0;
    std::int64_t engineBehind = 0; // published, but not on the engine when the attempt started
    std::int64_t carried = 0; // the same for resumed attempts, including the tokens that they inherited
    std::int64_t decoded = 0; // published while the attempt was running
    std::int64_t held = 0; // published between the end of the attempt and the delivery
    std::int64_t notInForce = 0; // published, but not counted at the delivery
    std::int64_t startedBeforeDraw = 0; // samples that started before the first draw of their step
    Duration decoding{0};
    Duration holdingTime{0};
};

/// Deterministic; not thread-safe.
class StalenessTrace
{
public:
    void published(WeightVersion version)
    {
        m_published = version;
    }

    void recordStart(const GenerateRequest &request, bool stepDrawn, TimePoint now);
    void recordCompletion(const std::string &requestId, TimePoint now);
    void recordDelivery(const DeliveredSample &deliveredSample, WeightVersion newest, TimePoint now);

    const StalenessParts &parts() const
    {
        return m_parts;
    }

private:
    struct Attempt
    {
        TimePoint startedAt;
        TimePoint completedAt;
        WeightVersion publishedAtStart = 0;
        WeightVersion publishedAtEnd = 0;
        bool resumed = false;
        bool stepDrawn = false;
    };

    WeightVersion m_published = 1;
    std::unordered_map<std::string, Attempt> m_attempts; // attempts by request id
    StalenessParts m_parts;
};

} // namespace bergamot
