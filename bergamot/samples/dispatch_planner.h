#pragma once

// Which trainer's sample goes to which engine next. Trainers have guaranteed shares of a model's slots; what is idle
// may be borrowed at a lower priority and is given back on demand. No engine gets more than its batch holds.
//
//     DispatchPlanner planner(engines, demands);
//     while (std::optional<std::size_t> trainer = planner.nextTrainer()) {
//         std::optional<std::size_t> engine = planner.chooseEngine(*trainer, wish);
//         engine ? planner.placed(*trainer, *engine) : planner.block(*trainer);
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
    bool usable = true; // reachable, staying, not paused after an error
    bool loading = false; // a swap is under way
    std::uint32_t slots = 0;
    std::uint32_t own = 0; // samples that we have in flight there
    std::uint32_t others = 0; // requests of callers there, by its last report
    double speed = 1; // tokens a second, relative to the engines' median

    std::uint32_t freeSlots() const
    {
        return usable && own + others < slots ? slots - own - others : 0;
    }

    /// Whether a guaranteed sample may queue here behind what others borrowed: the engine starts it first, by its
    /// priority, as soon as one of theirs ends.
    bool queues() const
    {
        return usable && own < slots && own + others < slots + slots / 4;
    }
};

struct TrainerDemand
{
    std::uint32_t sharePercent = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t waiting = 0;
    const DispatchStrategy *strategy = &IdleTimeFirst;
    Duration due{0}; // until the trainer needs them; zero: it waits
    bool claimsShare = true; // false: it leaves its guaranteed slots to those whose samples are due earlier
};

struct EngineWish
{
    EndpointId groupEngine; // has the group's prefix in its cache; may be empty
    EndpointId avoid; // where the sample was already, if it is moved or replaced
    std::function<bool(const EngineLoad &engine)> permits; // staleness and crash rules
};

/// What one trainer gives back: `count` of its borrowed samples.
struct GiveBack
{
    std::size_t trainer = 0;
    std::uint32_t count = 0;
};

/// For one model and one moment. `trainers` are all that are configured for the model, so that shares add up.
/// Deterministic; not thread-safe.
class DispatchPlanner
{
public:
    DispatchPlanner(std::vector<EngineLoad> engines, std::vector<TrainerDemand> trainers);

    /// The trainer that may get one more slot: one that claims its share, that with least of it first; then the one
    /// whose samples are due first. None if there is none.
    std::optional<std::size_t> nextTrainer() const;
    /// The best engine for a sample of `trainer`; none if no permitted one has a free slot. `turn` counts the
    /// trainer's dispatches, for strategies that take engines in turn.
    std::optional<std::size_t> chooseEngine(std::size_t trainer, std::uint64_t turn, const EngineWish &wish) const;

    /// A `spare` copy takes a slot but none of the samples that wait.
    void placed(std::size_t trainer, std::size_t engine, bool spare = false);
    /// Leaves `trainer` out from now on: nothing of it can be placed at this moment.
    void block(std::size_t trainer);

    /// Slots that are guaranteed to `trainer`.
    std::uint32_t guaranteed(std::size_t trainer) const;
    /// Whether a further sample of `trainer` would run on a slot that is guaranteed to others.
    bool wouldBorrow(std::size_t trainer) const;
    /// Slots that borrowers have to hand back because a trainer below its share finds none free.
    std::vector<GiveBack> giveBacks() const;

    const EngineLoad &engine(std::size_t index) const
    {
        return m_engines[index];
    }

    std::uint32_t freeSlots() const
    {
        return m_freeSlots;
    }

    /// Slots of usable engines that callers leave to samples.
    std::uint32_t sampleSlots() const;
    /// What `trainer` wants at this moment; before it is asked for the first time, it wants what it was made with.
    void demand(std::size_t trainer, std::uint32_t waiting, Duration due, bool claimsShare);

private:
    /// Whether a further sample of `trainer` would run on a guaranteed slot that it claims.
    bool isGuaranteed(std::size_t trainer) const;
    bool goesBefore(std::size_t left, std::size_t right) const;
    bool takes(const EngineLoad &engine, std::size_t trainer) const;
    std::pair<std::size_t, std::size_t> ownEngines(std::size_t trainer) const;
    std::optional<std::size_t> engineInTurn(std::size_t trainer, std::uint64_t turn, const EngineWish &wish) const;
    double cost(const EngineLoad &engine, const DispatchStrategy &strategy, const EngineWish &wish) const;

    std::vector<EngineLoad> m_engines;
    std::vector<TrainerDemand> m_trainers;
    std::vector<bool> m_blocked;
    std::uint32_t m_slots = 0; // of usable engines
    std::uint32_t m_freeSlots = 0;
    std::uint32_t m_queueing = 0; // engines that take a guaranteed sample beyond their slots
    std::uint32_t m_shareSum = 0;
    WeightVersion m_newest = 0;
};

} // namespace bergamot
