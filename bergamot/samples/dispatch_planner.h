#pragma once

// Decides which trainer's sample is sent to which engine next. Trainers have guaranteed shares of a model's slots; a
// trainer may borrow idle slots at a lower priority and releases them on demand. No engine gets more samples than its
// batch can hold, except for guaranteed samples that queue behind borrowed ones.
//
//     DispatchPlanner planner(engines, demands);
//     while (std::optional<std::size_t> trainer = planner.nextTrainer()) {
//         std::optional<std::size_t> engine = planner.chooseEngine(*trainer, dispatchIndex, preferences);
//         engine ? planner.recordAssignment(*trainer, *engine) : planner.block(*trainer);
//     }

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "bergamot/base/clock.h"
#include "bergamot/base/ids.h"
#include "bergamot/samples/dispatch_strategy.h"

namespace bergamot
{

struct EngineLoad
{
    EndpointId engine;
    WeightVersion version = 0;
    bool usable = true; // reachable, not leaving and not paused after an error
    bool loading = false; // a weight swap is in progress
    std::uint32_t slots = 0;
    std::uint32_t ownSamples = 0; // samples of this instance in flight on the engine
    std::uint32_t otherRequests = 0; // requests of other senders, from the engine's last report
    double speed = 1; // tokens per second, relative to the median of the engines

    std::uint32_t freeSlots() const
    {
        return usable && ownSamples + otherRequests < slots ? slots - ownSamples - otherRequests : 0;
    }

    /// Whether a guaranteed sample may queue here behind borrowed ones. The engine starts it next, because of its
    /// priority, as soon as one of them ends.
    bool acceptsQueued() const
    {
        return usable && ownSamples < slots && ownSamples + otherRequests < slots + slots / 4;
    }
};

struct TrainerDemand
{
    std::uint32_t sharePercent = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t waiting = 0;
    const DispatchStrategy *strategy = &IdleTimeFirst;
    Duration due{0}; // time until the trainer needs the samples; zero: it is waiting for them
    bool claimsShare = true; // false: leaves its guaranteed slots to samples that are due earlier
};

struct EnginePreferences
{
    EndpointId groupEngine; // engine with the group's prefix in its cache; may be empty
    EndpointId excludedEngine; // engine that a moved or copied sample must not use again; may be empty
    std::function<bool(const EngineLoad &engine)> permits; // applies the staleness and crash rules
};

/// Asks a trainer to release the slots of `count` of its borrowed samples.
struct SlotRelease
{
    std::size_t trainer = 0;
    std::uint32_t count = 0;
};

/// Plans one dispatch round of one model. `trainers` must contain every trainer that is configured for the model,
/// because guaranteed slots follow from the sum of the shares. Deterministic; not thread-safe.
class DispatchPlanner
{
public:
    DispatchPlanner(std::vector<EngineLoad> engines, std::vector<TrainerDemand> trainers);

    /// Returns the trainer that gets the next slot: first a trainer that claims its share, the one that uses the
    /// smallest part of it; then the trainer whose samples are due first. Empty if no trainer can get a slot.
    std::optional<std::size_t> nextTrainer() const;
    /// Returns the engine with the lowest cost for a sample of `trainer`; empty if no permitted engine has a free
    /// slot. `dispatchIndex` counts the trainer's dispatches, for round-robin strategies.
    std::optional<std::size_t>
    chooseEngine(std::size_t trainer, std::uint64_t dispatchIndex, const EnginePreferences &preferences) const;

    /// Records that a sample of `trainer` starts on `engine`. A `speculative` copy does not reduce the waiting samples.
    void recordAssignment(std::size_t trainer, std::size_t engine, bool speculative = false);
    /// Excludes `trainer` from the rest of the round, because none of its samples can start now.
    void block(std::size_t trainer);

    /// Number of slots that are guaranteed to `trainer`.
    std::uint32_t guaranteed(std::size_t trainer) const;
    /// Whether the next sample of `trainer` would exceed its guaranteed slots.
    bool wouldBorrow(std::size_t trainer) const;
    /// Slots that borrowers must release because a trainer below its share finds no free slot.
    std::vector<SlotRelease> slotReleases() const;

    const EngineLoad &engine(std::size_t index) const
    {
        return m_engines[index];
    }

    std::uint32_t freeSlots() const
    {
        return m_freeSlots;
    }

    /// Slots of usable engines that are not used by requests of other senders.
    std::uint32_t sampleSlots() const;
    /// Replaces the demand of `trainer`, which is initially the one passed to the constructor.
    void setDemand(std::size_t trainer, std::uint32_t waiting, Duration due, bool claimsShare);

private:
    /// Whether the next sample of `trainer` would use a guaranteed slot that the trainer claims.
    bool isGuaranteed(std::size_t trainer) const;
    bool precedes(std::size_t left, std::size_t right) const;
    bool accepts(const EngineLoad &engine, std::size_t trainer) const;
    std::pair<std::size_t, std::size_t> dedicatedEngines(std::size_t trainer) const;
    std::optional<std::size_t>
    nextRoundRobinEngine(std::size_t trainer, std::uint64_t dispatchIndex, const EnginePreferences &preferences) const;
    double cost(const EngineLoad &engine, const DispatchStrategy &strategy, const EnginePreferences &preferences) const;

    std::vector<EngineLoad> m_engines;
    std::vector<TrainerDemand> m_trainers;
    std::vector<bool> m_blocked;
    std::uint32_t m_slots = 0; // total slots of usable engines
    std::uint32_t m_freeSlots = 0;
    std::uint32_t m_queueingEngines = 0; // engines that accept a guaranteed sample beyond their slots
    std::uint32_t m_shareSum = 0;
    WeightVersion m_newest = 0;
};

} // namespace bergamot
