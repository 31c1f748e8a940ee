#pragma once

// Which unfinished samples hold up a step, and what to do about each: leave it, move it to another engine with what it
// has, or start a spare copy elsewhere; the first whole one wins.
//
//     if (rule.decide(attempt) == StragglerAction::Spare && budget.take(tokens)) { ... }

#include <cstdint>
#include <vector>

#include "bergamot/base/clock.h"
#include "bergamot/samples/dispatch_strategy.h"

namespace bergamot
{

/// How long samples usually take, from those that finished lately. Deterministic; not thread-safe.
class SampleTimes
{
public:
    void finished(Duration elapsed, std::uint64_t tokens);
    /// The middle one; zero before the first.
    Duration median() const
    {
        return m_median;
    }

    /// Tokens of a usual sample; zero before the first.
    std::uint64_t meanTokens() const;

private:
    std::vector<Duration> m_recent; // a ring
    Duration m_median{0}; // refreshed every few samples
    std::size_t m_next = 0;
    std::uint64_t m_tokens = 0;
    std::uint64_t m_samples = 0;
};

/// Tokens that may be spent on spare copies: a percentage of those that the steps needed. Not thread-safe.
class SpareBudget
{
public:
    void needed(std::uint64_t tokens, std::uint32_t sparePercent);
    bool take(std::uint64_t tokens);

    std::uint64_t spent() const
    {
        return m_spent;
    }

private:
    std::uint64_t m_allowed = 0; // in hundredths of tokens
    std::uint64_t m_spent = 0;
};

enum class StragglerAction {
    Leave,
    Move,
    Spare,
};

struct StragglerView
{
    Duration elapsed{0};
    Duration usual{0}; // the median; zero if unknown
    double engineSpeed = 1; // relative to the engines' median
    bool engineLeaving = false;
    bool movable = true; // an export has not failed for it yet
    std::uint32_t attempts = 1; // copies in flight
    std::uint32_t missingInGroup = 1; // unfinished samples of its group
};

/// An engine below this share of the usual speed is left by what runs on it.
inline constexpr double SlowEngineSpeed = 0.6;

/// Moving keeps the sample and its tokens, so it is chosen where the engine is to blame; a spare copy draws another
/// sample and is chosen only where the attempt seems stuck.
StragglerAction decideStraggler(const StragglerView &view, const DispatchStrategy &strategy);

/// How urgent a straggler is: late ones first, and among them the last ones missing in their group.
double stragglerUrgency(const StragglerView &view);

} // namespace bergamot
