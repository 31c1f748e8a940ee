#pragma once

// The rules of the platform's weight store, without I/O: published versions, a limit on fetches at once and on
// questions a second.
//
//     WeightStoreCore store({.concurrentFetches = 4});
//     store.publish(ModelId("order-agent"), 7);

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "bergamot/platform/weight_store.h"
#include "bergamot/standins/faults.h"
#include "bergamot/standins/rate_limit.h"
#include "bergamot/standins/weight_source.h"

namespace bergamot
{

struct WeightStoreOptions
{
    std::uint64_t concurrentFetches = 4;
    Duration fetchTime = std::chrono::milliseconds(500);
    std::uint32_t questionsPerSecond = 200; // also the largest burst
};

/// Deterministic, single-threaded. Calls for faults: "published" and "fetch".
class WeightStoreCore final : public WeightSource
{
public:
    explicit WeightStoreCore(WeightStoreOptions options = {});

    /// `Conflict` if `version` is not above the newest one.
    Result<void> publish(const ModelId &model, WeightVersion version);
    Answer<PublishedWeights> published(const ModelId &model, TimePoint now);

    Result<Duration>
    beginFetch(const std::string &engine, const ModelId &model, WeightVersion version, TimePoint now) override;
    void endFetch(const std::string &engine) override;

    std::size_t fetching() const;
    /// Fetches that were turned away because too many ran at once.
    std::uint64_t fetchesRefused() const;
    Result<void> apply(const FaultCommand &command);

private:
    WeightStoreOptions m_options;
    FaultTable m_faults;
    std::map<ModelId, WeightVersion> m_newest;
    std::set<std::string> m_fetching;
    RateLimit m_limit;
    std::uint64_t m_fetchesRefused = 0;
};

} // namespace bergamot
