#pragma once

// Exponential back-off with full jitter: the delay before the next try of a call that has failed.
//
//     Backoff backoff({}, seed);
//     timer.expires_after(backoff.nextDelay()); // after a failure
//     backoff.reset(); // after a success
//
// Load pattern: hundreds of instances lose the store at the same moment and try again. Without jitter all of their
// calls arrive in step; without growth they use up the store's call rate.

#include <algorithm>
#include <cstdint>
#include <random>

#include "bergamot/base/clock.h"

namespace bergamot::logstore
{

struct BackoffOptions
{
    Duration initial = std::chrono::milliseconds(200); // upper bound of the first delay
    Duration maximum = std::chrono::milliseconds(800); // upper bound of every delay
};

/// Deterministic for a given seed. Not thread-safe.
class Backoff
{
public:
    Backoff(BackoffOptions options, std::uint64_t seed)
        : m_options(options)
        , m_bound(options.initial)
        , m_random(seed)
    { }

    /// Delay before the next try; its upper bound doubles with each call.
    Duration nextDelay()
    {
        std::uniform_int_distribution<Duration::rep> jitter(0, m_bound.count());
        m_bound = std::min(2 * m_bound, m_options.maximum);
        return Duration(jitter(m_random));
    }
    void reset()
    {
        m_bound = m_options.initial;
    }

private:
    BackoffOptions m_options;
    Duration m_bound;
    std::mt19937_64 m_random;
};

} // namespace bergamot::logstore
