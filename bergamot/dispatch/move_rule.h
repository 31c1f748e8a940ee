#pragma once

// Decides whether an unfinished text goes on at a faster engine, and keeps the speed of an engine that the decision
// needs.
//
//     SteadyRate rate;
//     rate.add(secondsPerEvent, now);
//     if (movePays({.remainingEvents = 12, .here = 0.2, .there = rate.value(), .startSeconds = 0.05}, 1.25)) { ... }
//
// Load pattern: engines share their machines with others, so that work takes half or twice as long for some tenths of a
// second, around means that differ from engine to engine. A run that follows each change loses more by its starts (a
// connection, the prompt read again) than it gains, and is cut up to ten times.

#include <cstdint>

#include "bergamot/base/clock.h"

namespace bergamot::dispatch
{

/// Mean time per event over some seconds, in which short changes of an engine's speed even out. Not thread-safe.
class SteadyRate
{
public:
    /// An event took `seconds`; several runs may add theirs at about the same time.
    void add(double seconds, TimePoint now);
    /// Seconds per event; 0 before the first one.
    double value() const
    {
        return m_value;
    }

private:
    double m_value = 0;
    std::uint32_t m_samples = 0;
    TimePoint m_addedAt{};
};

struct MoveFacts
{
    double remainingEvents = 0; // that the text still needs, as far as is known
    double here = 0; // seconds per event at the engine that runs it
    double there = 0; // seconds per event at the other one
    double startSeconds = 0; // from the start of a run until its first event
};

/// Whether the rest of the text takes less time by the factor `speedup` at the other engine, its start included.
bool movePays(const MoveFacts &facts, double speedup);

} // namespace bergamot::dispatch
