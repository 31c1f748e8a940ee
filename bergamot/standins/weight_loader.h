#pragma once

// How an engine stand-in takes in weights: it waits for the store, fetches while decoding goes on, then swaps while
// decoding pauses. A swap can fail half-way.
//
//     loader.begin(model, version, now);
//     while (loader.due() && *loader.due() <= now) { handle(loader.step()); }

#include <cstdint>
#include <optional>
#include <string>

#include "bergamot/standins/weight_source.h"

namespace bergamot
{

struct WeightLoaderOptions
{
    std::string engine;
    Duration fetchTime = std::chrono::milliseconds(500); // without a weight source
    Duration swapTime = std::chrono::milliseconds(100);
};

enum class LoadStep {
    Waiting, // for the store, or for the fetch to end
    SwapBegun, // decoding pauses until `due`
    Installed,
    Failed, // half-way through the swap
    Refused, // the store does not have the version
};

/// Deterministic, single-threaded.
class WeightLoader
{
public:
    /// `source` may be null; otherwise it outlives the loader.
    WeightLoader(WeightLoaderOptions options, WeightSource *source);

    /// Starts a load; one that is under way is dropped.
    void begin(const ModelId &model, WeightVersion version, TimePoint now);
    void abort();
    /// The next `count` swaps fail half-way.
    void failNext(std::uint64_t count);

    bool loading() const;
    const ModelId &model() const;
    /// The version being loaded, or 0.
    WeightVersion version() const;
    std::optional<TimePoint> due() const;
    /// Does what is due at `due`.
    LoadStep step();

private:
    enum class Phase {
        None,
        Waiting,
        Fetching,
        Swapping,
    };

    LoadStep startFetch();
    LoadStep startSwap();
    LoadStep finish();

    WeightLoaderOptions m_options;
    WeightSource *m_source;
    Phase m_phase = Phase::None;
    ModelId m_model;
    WeightVersion m_version = 0;
    TimePoint m_due;
    std::uint64_t m_failures = 0;
    bool m_failing = false;
};

} // namespace bergamot
