#pragma once

// Bounds on work that callers did not ask for: retries and hedges as a share of successes, and the pause before a
// retry.
//
//     ShareBudget retries({.share = 0.1});
//     retries.earn();              // on each success
//     if (retries.spend()) { ... } // before each retry

#include <cstdint>
#include <random>

#include "bergamot/base/clock.h"

namespace bergamot
{

struct ShareBudgetOptions
{
    double share = 0.1; // earned by each success
    double reserve = 3; // at the start, so that a quiet instance can retry at all
    double most = 50; // what can be saved up
};

/// Not thread-safe.
class ShareBudget
{
public:
    explicit ShareBudget(ShareBudgetOptions options = {});

    void earn();
    /// Takes one unit; false if there is none.
    bool spend();
    double available() const;

private:
    ShareBudgetOptions m_options;
    double m_available;
};

struct BackoffOptions
{
    Duration shortest = std::chrono::milliseconds(10);
    Duration longest = std::chrono::seconds(1);
};

/// The pause before retry number `retry` (0 is the first): doubled each time, with full jitter.
Duration backoff(const BackoffOptions &options, std::uint32_t retry, std::mt19937_64 &random);

} // namespace bergamot
