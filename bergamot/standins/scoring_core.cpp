#include "bergamot/standins/scoring_core.h"

#include "bergamot/base/hash.h"

namespace bergamot
{

ScoringCore::ScoringCore(Duration scoringTime)
    : m_scoringTime(scoringTime)
    , m_faults({"score"})
{ }

Answer<double> ScoringCore::score(const std::string &prompt, const std::string &text)
{
    if (const std::optional<Error> refused = m_faults.refusal("score")) {
        return {tl::unexpected(*refused)};
    }
    ++m_scoreCount;
    constexpr std::uint64_t Steps = 1'000;
    const std::uint64_t step = stableHash(text, stableHash(prompt)) % Steps;
    Answer<double> answer = m_faults.answer<double>("score", static_cast<double>(step) / Steps);
    answer.delay += m_scoringTime;
    return answer;
}

std::uint64_t ScoringCore::scoreCount() const
{
    return m_scoreCount;
}

Result<void> ScoringCore::apply(const FaultCommand &command)
{
    return m_faults.apply(command);
}

} // namespace bergamot
