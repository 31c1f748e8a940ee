#pragma once

// Limits the extra load of retries and hedges to a share of the successful requests, and computes the delay before a
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
    double share = 0.1; // added to the budget by each success
    double initialBudget = 3; // so that an instance with few requests can retry
    double maxBudget = 50; // upper bound of the budget
};

/// Not thread-safe.
class ShareBudget
{
public:
    explicit ShareBudget(ShareBudgetOptions options = {});

    /// Adds the share of one success to the budget.
    void earn();
    /// Takes one unit from the budget; returns false and takes nothing if less than one unit is available.
    bool spend();
    double available() const;

private:
    ShareBudgetOptions m_options;
    double m_available;
};

struct BackoffOptions
{
    Duration minDelay = std::chrono::milliseconds(10);
    Duration maxDelay = std::chrono::seconds(1);
};

/// The delay before retry number `retry`, counted from 0: exponential with full jitter.
Duration backoff(const BackoffOptions &options, std::uint32_t retry, std::mt19937_64 &random);

} // namespace bergamot
