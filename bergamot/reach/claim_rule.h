#pragma once

// Decides whether an instance may claim the engine pool, by whether it reaches endpoints: an owner that does not reach
// them can start no run. Pure: the connections and the time come in as arguments.
//
//     ClaimRule rule;
//     const ClaimVerdict verdict = rule.update(ClaimPhase::Due, reachesSince, now);
//     if (verdict == ClaimVerdict::Allowed) { ... claim ... }
//
// Load pattern: several instances lose their links at the same moment, the owner among them, which releases the pool
// within a second. A connection that another instance established before that does not show that it has links now, so
// only connections count that are newer than the reason to claim. If no instance reaches endpoints, one claims all the
// same after some time, as batches are accepted and read without endpoints.

#include <functional>

#include "bergamot/base/clock.h"

namespace bergamot::reach
{

enum class ClaimPhase {
    NotDue,
    Soon, // due within a moment, so that connections are worth proving
    Due,
};

enum class ClaimVerdict {
    NotDue,
    Allowed,
    PutOff, // until a connection is established or `longestPutOff` has passed
};

struct ClaimRuleOptions
{
    Duration longestPutOff = std::chrono::seconds(4); // by then, an instance that reaches endpoints has claimed
};

/// Not thread-safe.
class ClaimRule
{
public:
    /// Whether a connection to an endpoint was established at `since` or later. May ask for one.
    using ReachesSince = std::function<bool(TimePoint since)>;

    explicit ClaimRule(ClaimRuleOptions options = {});

    /// Call it before each decision. `NotDue` ends the reason to claim.
    ClaimVerdict update(ClaimPhase phase, const ReachesSince &reachesSince, TimePoint now);

private:
    ClaimRuleOptions m_options;
    TimePoint m_soonAt{}; // when the reason to claim arose; zero: there is none
    TimePoint m_putOffAt{}; // zero: not put off
};

} // namespace bergamot::reach
