#pragma once

// The platform's weight store, as we see it: which versions of a model are published. Engines fetch the weights
// themselves; the store limits how many fetch at once, which the pace of our orders respects.

#include <chrono>

#include "bergamot/base/error.h"
#include "bergamot/base/ids.h"

namespace bergamot
{

struct PublishedWeights
{
    WeightVersion newest = 0; // 0: none published
    std::uint64_t concurrentFetches = 1; // how many engines the store serves at once

    bool operator==(const PublishedWeights &) const = default;
};

/// Thread-safe.
class WeightStore
{
public:
    virtual ~WeightStore() = default;
    virtual void
    published(const ModelId &model, std::chrono::milliseconds timeout, Callback<PublishedWeights> done) = 0;
};

} // namespace bergamot
