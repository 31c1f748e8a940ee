#pragma once

// The rules of a scoring service, without I/O: the same prompt and text always get the same score.
//
//     ScoringCore scoring(std::chrono::milliseconds(5));
//     Answer<double> score = scoring.score(prompt, text);

#include <cstdint>
#include <string>

#include "bergamot/standins/faults.h"

namespace bergamot
{

/// Deterministic, single-threaded. Calls for faults: "score".
class ScoringCore
{
public:
    /// Each answer takes `scoringTime`.
    explicit ScoringCore(Duration scoringTime = Duration::zero());

    /// A score from 0 up to, not including, 1.
    Answer<double> score(const std::string &prompt, const std::string &text);

    std::uint64_t scoreCount() const;
    Result<void> apply(const FaultCommand &command);

private:
    Duration m_scoringTime;
    FaultTable m_faults;
    std::uint64_t m_scoreCount = 0;
};

} // namespace bergamot
