#pragma once

// Staleness of samples: how many weight versions a sample is behind the newest one. It is forecast when a sample is
// dispatched, and checked when the sample is delivered.
//
//     StalenessRule rule;
//     rule.updateNewest(5, false, now);
//     if (rule.forecast(engineVersion, expectedDelivery) <= bound) { ... }
//     if (stalenessOf(spans, std::max(trainerVersion, rule.newest())) > bound) { ... }

#include <optional>
#include <vector>

#include "bergamot/base/clock.h"
#include "bergamot/base/ids.h"
#include "bergamot/platform/engine.h"

namespace bergamot
{

/// The oldest version among `spans`; 0 if there are no spans or one has no version.
WeightVersion oldestVersion(const std::vector<TokenSpan> &spans);

/// Number of versions from the oldest one of `spans` to `newest`; 0 if the sample is newer.
std::uint64_t stalenessOf(const std::vector<TokenSpan> &spans, WeightVersion newest);

/// Tracks the newest version of a model and the mean time between versions. Deterministic; not thread-safe.
class StalenessRule
{
public:
    /// Updates the newest version in force. It is lowered only with `allowDecrease`, which means that a confirmed plan
    /// requires it.
    void updateNewest(WeightVersion version, bool allowDecrease, TimePoint now);

    WeightVersion newest() const
    {
        return m_newest;
    }

    /// Staleness at `deliveryTime` of a sample that starts with `version` now.
    std::uint64_t forecast(WeightVersion version, TimePoint deliveryTime) const;

private:
    WeightVersion m_newest = 0;
    TimePoint m_newestSince;
    std::optional<Duration> m_versionPeriod; // smoothed time between two versions
};

} // namespace bergamot
