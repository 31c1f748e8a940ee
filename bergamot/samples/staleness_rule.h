#pragma once

// Staleness of samples: what it will be, forecast when a sample is dispatched, and what it is, checked when the sample
// is handed over.
//
//     StalenessRule rule;
//     rule.newestInForce(5, now);
//     if (rule.forecast(engineVersion, expectedHandOver) <= bound) { ... }
//     if (stalenessOf(spans, std::max(named, rule.newest())) > bound) { ... }

#include <optional>
#include <vector>

#include "bergamot/base/clock.h"
#include "bergamot/base/ids.h"
#include "bergamot/platform/engine.h"

namespace bergamot
{

/// The oldest version among `spans`; 0 if there is none or one of them is not proven.
WeightVersion oldestVersion(const std::vector<TokenSpan> &spans);

/// Versions between the oldest of `spans` and `newest`; 0 if the sample is newer.
std::uint64_t stalenessOf(const std::vector<TokenSpan> &spans, WeightVersion newest);

/// What is known of one model's weights over time. Deterministic; not thread-safe.
class StalenessRule
{
public:
    /// Tells of the newest version in force now. It may fall only where `mayFall` says that a confirmed plan wants it.
    void newestInForce(WeightVersion version, bool mayFall, TimePoint now);

    WeightVersion newest() const
    {
        return m_newest;
    }

    /// How many versions behind a sample will be that starts with `version` and is handed over at `handOver`.
    std::uint64_t forecast(WeightVersion version, TimePoint handOver) const;

private:
    WeightVersion m_newest = 0;
    TimePoint m_newestSince;
    std::optional<Duration> m_period; // smoothed, between two versions
};

} // namespace bergamot
