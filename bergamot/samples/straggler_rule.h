#pragma once

// Finds unfinished samples that delay a step and decides for each whether to leave it, to move it with its tokens to
// another engine, or to start a speculative copy on another engine. The copy that finishes first is used.
//
//     if (decideStraggler(candidate, strategy) == StragglerAction::SpeculativeCopy && budget.tryTake(tokens)) { ... }

#include <cstdint>
#include <vector>

#include "bergamot/base/clock.h"
#include "bergamot/samples/dispatch_strategy.h"

namespace bergamot
{

/// Statistics of the durations and lengths of finished samples. Deterministic; not thread-safe.
class SampleTimes
{
public:
    void add(Duration elapsed, std::uint64_t tokens);
    /// Median duration of recent samples; zero before the first sample.
    Duration median() const
    {
        return m_median;
    }

    /// Mean number of tokens of all samples; zero before the first sample.
    std::uint64_t meanTokens() const;

private:
    std::vector<Duration> m_recent; // ring buffer of durations
    Duration m_median{0}; // recomputed after every few samples
    std::size_t m_next = 0;
    std::uint64_t m_tokens = 0;
    std::uint64_t m_samples = 0;
};

/// Limits the tokens spent on speculative copies to a percentage of the tokens of accepted samples. Not thread-safe.
class SpeculationBudget
{
public:
    void addRequired(std::uint64_t tokens, std::uint32_t sparePercent);
    bool tryTake(std::uint64_t tokens);

    std::uint64_t spent() const
    {
        return m_spent;
    }

private:
    std::uint64_t m_allowed = 0; // hundredths of tokens
    std::uint64_t m_spent = 0;
};

enum class StragglerAction {
    Leave,
    Move,
    SpeculativeCopy,
};

struct StragglerView
{
    Duration elapsed{0};
    Duration medianDuration{0}; // median duration of the trainer's samples; zero if unknown
    double engineSpeed = 1; // relative to the median of the engines
    bool engineLeaving = false;
    bool movable = true; // false after a failed export or if the engine is unreachable
    std::uint32_t attempts = 1; // number of copies in flight
    std::uint32_t missingInGroup = 1; // number of unfinished samples in the group
};

/// Samples are moved away from an engine whose speed relative to the median is below this value.
inline constexpr double SlowEngineSpeed = 0.6;

/// Moves a movable sample off a slow or leaving engine, late or not, because its tokens are kept. Otherwise a late
/// attempt gets a speculative copy, which generates the sample again. A sample with two copies in flight is left as it
/// is, and so is every sample if `stragglerFactor` is 0.
StragglerAction decideStraggler(const StragglerView &view, const DispatchStrategy &strategy);

/// Priority of a straggler: grows with its delay, and is higher for the last unfinished samples of a group.
double stragglerUrgency(const StragglerView &view);

} // namespace bergamot
