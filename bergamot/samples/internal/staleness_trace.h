#pragma once

// Where the staleness of samples comes from: for each sample that a trainer received, the versions that were published
// before its engine had them, while it was decoded, and while it was held for its trainer.
//
//     StalenessTrace trace;
//     trace.published(2);
//     trace.started(request, now);
//     trace.whole(request.requestId, now);
//     trace.handedOver(handed, newest, now);
//     trace.parts().held; // versions, over all samples

#include <cstdint>
#include <string>
#include <unordered_map>

#include "bergamot/base/clock.h"
#include "bergamot/samples/scheduler_actions.h"

namespace bergamot
{

/// Sums over all samples that were handed over. Staleness is `engineBehind + carried + decoded + held - notInForce`.
struct StalenessParts
{
    std::uint64_t samples = 0;
    std::int64_t engineBehind = 0; // published, but not on the engine when the attempt began there
    std::int64_t carried = 0; // the same for attempts that were resumed, with the tokens that they took along
    std::int64_t decoded = 0; // published while the attempt ran
    std::int64_t held = 0; // published between the end of the attempt and the hand-over
    std::int64_t notInForce = 0; // published, but not counted at the hand-over
    std::int64_t startedBeforeDraw = 0; // samples that began before their trainer first drew the step
    Duration decoding{0};
    Duration holding{0};
};

/// Deterministic; not thread-safe.
class StalenessTrace
{
public:
    void published(WeightVersion version)
    {
        m_published = version;
    }

    void started(const GenerateRequest &request, bool stepDrawn, TimePoint now);
    void whole(const std::string &requestId, TimePoint now);
    void handedOver(const HandedSample &handed, WeightVersion newest, TimePoint now);

    const StalenessParts &parts() const
    {
        return m_parts;
    }

private:
    struct Attempt
    {
        TimePoint startedAt;
        TimePoint wholeAt;
        WeightVersion publishedAtStart = 0;
        WeightVersion publishedAtEnd = 0;
        bool resumed = false;
        bool stepDrawn = false;
    };

    WeightVersion m_published = 1;
    std::unordered_map<std::string, Attempt> m_attempts; // by request id
    StalenessParts m_parts;
};

} // namespace bergamot
