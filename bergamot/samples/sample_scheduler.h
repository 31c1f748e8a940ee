#pragma once

// Every decision about samples of the trainers that this instance owns: what runs where, what is moved, replaced,
// given up, scored and handed over. Events go in with the time, actions come out; the shell is `SampleService`.
//
//     SampleScheduler scheduler(options);
//     scheduler.setFleet(picture, now);
//     scheduler.handIn(key, spec, "", now);
//     scheduler.draw({.drawId = 1, .step = key, .max = 64, .deadline = now + 10s}, now);
//     for (SchedulerAction &action : scheduler.takeActions()) { ... }

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "bergamot/base/clock.h"
#include "bergamot/samples/crash_rule.h"
#include "bergamot/samples/dispatch_planner.h"
#include "bergamot/samples/dispatch_strategy.h"
#include "bergamot/samples/due_plan.h"
#include "bergamot/samples/fleet_state.h"
#include "bergamot/samples/held_bytes_limit.h"
#include "bergamot/samples/scheduler_actions.h"
#include "bergamot/samples/staleness_rule.h"
#include "bergamot/samples/step_table.h"
#include "bergamot/samples/straggler_rule.h"
#include "bergamot/samples/suspect_prompts.h"

namespace bergamot
{

/// Priorities of samples at an engine; callers' requests have lower numbers and go first.
enum class SamplePriority : std::uint32_t {
    AwaitedStep = 3, // within the trainer's share, and the trainer waits for it
    StepAhead = 4, // within the share
    Borrowed = 5,
};

struct SchedulerOptions
{
    std::string instance; // with `incarnation`, makes request ids unique
    std::uint64_t incarnation = 0;
    StepLimits limits;
    std::chrono::milliseconds sampleTimeout{600000}; // of one attempt
    std::chrono::milliseconds enginePause{1000}; // after a failed attempt
    std::chrono::milliseconds scoringRetryDelay{500};
    std::uint32_t scoringAttempts = 3;
    std::uint32_t maxScoring = 64; // at once
    std::uint32_t maxUnproven = 8; // generations of one sample that may be discarded before it is given up
    std::uint32_t maxBatch = 1024; // samples in one answer
    std::size_t maxBatchBytes = 2U << 20U; // of texts in one answer, which are held until it is confirmed
    std::size_t maxHeldBytes = 64U << 20U; // of prompts and whole texts; samples that a draw waits for come on top
    std::function<const DispatchStrategy &(const TrainerConfig &trainer)> strategy =
        [](const TrainerConfig &trainer) -> const DispatchStrategy & {
        return dispatchStrategy(trainer.strategy);
    };
};

struct DrawRequest
{
    std::uint64_t drawId = 0; // comes back in `AnswerDraw`
    StepKey step;
    std::string cursor; // empty: nothing received
    WeightVersion namedVersion = 0; // the weights that the trainer has
    std::uint32_t max = 0;
    TimePoint deadline; // answered by then, with nothing if need be
};

struct StepStatus
{
    std::uint32_t samples = 0;
    std::uint32_t waiting = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t ready = 0;
    std::uint32_t failed = 0;
    std::uint32_t received = 0;
    std::string cursor; // of a trainer that has nothing yet
};

/// Deterministic; not thread-safe. Every draw that is accepted is answered once.
class SampleScheduler
{
public:
    explicit SampleScheduler(SchedulerOptions options);

    void setFleet(FleetPicture fleet, TimePoint now);
    /// `cursor` lets a new owner skip what the trainer has; it may be empty. Idempotent. `Overloaded`, with a time to
    /// come again after, while there is no room for the prompts.
    Result<StepStatus> handIn(const StepKey &key, StepSpec spec, const std::string &cursor, TimePoint now);
    void drop(const StepKey &key, TimePoint now);
    /// `NotFound` if the step has to be handed in again.
    Result<void> draw(DrawRequest request, TimePoint now);
    void generationEnded(const std::string &requestId, Result<Generation> outcome, TimePoint now);
    void exportEnded(const std::string &requestId, const Result<std::string> &outcome, TimePoint now);
    void scoringEnded(std::uint64_t scoringId, const Result<double> &outcome, TimePoint now);
    void tick(TimePoint now);

    std::vector<SchedulerAction> takeActions();
    /// What was learned of prompts that crash engines since the last call, for the other instances of the domain. What
    /// they know comes in with the fleet.
    std::vector<SuspectReport> takeSuspectNews();
    const SchedulerCounters &counters() const;
    std::vector<std::pair<StepKey, StepStatus>> status(const TrainerId &trainer) const;
    /// Bytes of prompts and of whole texts that have not arrived yet.
    std::size_t heldBytes() const;

private:
    struct SampleRef
    {
        StepKey step;
        std::uint32_t offset = 0;

        auto operator<=>(const SampleRef &) const = default;
    };

    struct Attempt
    {
        SampleRef sample;
        EndpointId engine;
        TimePoint startedAt;
        WeightVersion oldest = 0; // expected; the engine's word decides in the end
        bool spare = false;
        bool borrowed = false;
        bool resumed = false;
        bool exporting = false;
        bool exportFailed = false;
        bool ended = false; // while exporting: the generation has stopped
    };

    struct Engine
    {
        EngineView view;
        std::uint32_t own = 0;
        std::uint32_t ownPeak = 0; // since the last picture
        std::uint32_t others = 0;
        double tokensPerSecond = 0; // smoothed; 0: unknown
        TimePoint pausedUntil;
        TimePoint diedAt;
    };

    struct Trainer
    {
        TrainerConfig config;
        const DispatchStrategy *strategy = nullptr;
        SampleTimes times;
        SpareBudget spares;
        std::size_t textBytes = 0; // smoothed, of one sample; 0: unknown
        std::uint64_t turns = 0;
        std::uint32_t inFlight = 0;
        std::uint32_t givingBack = 0;
        WeightVersion named = 0; // by its last draw
        bool everDrew = false;
        TimePoint handedOverAt; // the end of its last whole step
        Duration away{0}; // smoothed, from there to the first draw of the next step
        std::pair<WeightVersion, std::uint64_t> checked; // newest and bound at the last search for what is too old
    };

    /// What a sample that was interrupted takes along.
    struct Resumption
    {
        WeightVersion oldest = 0;
        EndpointId avoid;
    };

    struct Scoring
    {
        SampleRef sample;
        std::uint32_t attempts = 0;
        bool running = false;
        TimePoint notBefore = {};
    };

    struct PendingDraw
    {
        DrawRequest request;
        Cursor cursor;
    };

    /// A model's engines and trainers at this moment, in the order of the planner.
    struct Round
    {
        ModelId model;
        std::vector<EndpointId> engines;
        std::vector<TrainerId> trainers;
        std::map<TrainerId, StepKey> steps; // that each trainer's samples are taken from
        DispatchPlanner planner;
        double medianSpeed = 0; // tokens a second; 0: unknown
    };

    // Fleet and events (sample_scheduler.cpp); lost attempts (sample_scheduler_losses.cpp).
    void heardOf(const ModelId &model, WeightVersion version, TimePoint now);
    void setEngines(std::vector<EngineView> views);
    void setTrainers(const std::map<TrainerId, TrainerConfig> &configured);
    void setNewest(const FleetPicture &fleet, TimePoint now);
    Attempt removeAttempt(const std::string &requestId);
    std::vector<std::string> attemptsOf(const SampleRef &sample) const;
    void cancelAttempts(const SampleRef &sample);
    void lost(const Attempt &attempt, const Error &error, TimePoint now);
    void engineDied(const Attempt &attempt, TimePoint now);
    void giveUpGroup(const GroupKey &group);
    void applySuspects(const std::vector<SuspectGroup> &suspects);
    void tellOfDeath(const EndpointId &engine, const std::set<GroupKey> &inFlight, const std::set<GroupKey> &givenUp);
    void returnToQueue(const SampleRef &sample, std::string handle, Resumption resumption);
    void accept(const std::string &requestId, const Attempt &attempt, Generation generation, TimePoint now);
    void unproven(const std::string &requestId, const Attempt &attempt, const Generation &generation, const Error &why);
    void observeSpeed(const Attempt &attempt, const Generation &generation, TimePoint now);
    void record(std::string kind, const SampleRef &sample, std::vector<std::pair<std::string, std::string>> fields);

    // Dispatch (sample_scheduler_dispatch.cpp); moving and replacing (sample_scheduler_stragglers.cpp);
    // room for texts (sample_scheduler_memory.cpp).
    void dispatch(TimePoint now);
    Round makeRound(const ModelId &model, TimePoint now) const;
    EngineLoad loadOf(const Engine &engine, double medianSpeed, TimePoint now) const;
    /// Samples of `step` that may start by the strategy's share, whatever the time.
    static std::uint32_t startable(const Trainer &trainer, const Step &step);
    TimePoint dueTime(const Trainer &trainer, const Step &step, TimePoint now) const;
    void planSteps(Round &round, TimePoint now) const;
    Result<void> checkRoom(const StepKey &key, const StepSpec &spec) const;
    static std::size_t expectedBytes(const Trainer &trainer, const Step &step);
    /// What is held, and expected of the attempts that run.
    Holding holding(const TrainerId &trainer) const;
    /// Samples of `step` for whose texts there is room.
    std::uint32_t holdable(const Trainer &trainer, const Step &step, const Holding &holding) const;
    bool isDrawnNow(const StepKey &step) const;
    bool placeOne(Round &round, std::size_t trainerIndex, TimePoint now);
    std::optional<SampleRef> nextSample(const TrainerId &trainer, const Round &round);
    bool permits(const SampleRef &sample, const EngineLoad &engine, TimePoint now) const;
    bool waitsForSwap(const Trainer &trainer, const Step &step, const EngineLoad &engine, TimePoint now) const;
    std::uint64_t forecast(const SampleRef &sample, WeightVersion version, TimePoint now) const;
    void start(Round &round,
               std::size_t trainerIndex,
               std::size_t engineIndex,
               const SampleRef &sample,
               bool spare,
               TimePoint now);
    void giveBack(const Round &round);
    void replaceStragglers(Round &round, TimePoint now);
    void replaceStraggler(Round &round, const std::string &requestId, StragglerAction action, TimePoint now);
    StragglerView stragglerView(const Attempt &attempt, const Round &round, TimePoint now) const;
    void exportAttempt(const std::string &requestId);
    void dropTooOld();
    void cancelTooOld(const TrainerId &id, const Trainer &trainer);
    void discardReadyTooOld(const TrainerId &id, const Trainer &trainer);

    // Hand-over (sample_scheduler_draws.cpp).
    void becameWhole(const SampleRef &sample);
    void startScorings(TimePoint now);
    void dropEarlierSteps(const StepKey &drawn, TimePoint now);
    void serveDraws(TimePoint now);
    std::optional<AnswerDraw> answer(PendingDraw &draw, TimePoint now);
    bool addToAnswer(AnswerDraw &reply, Step &step, std::uint32_t offset);
    void discardTooOld(Step &step, std::uint32_t offset, WeightVersion newest);
    StepStatus statusOf(const Step &step) const;

    GroupKey groupOf(const SampleRef &sample) const;
    const StalenessRule &stalenessRule(const Trainer &trainer) const;
    WeightVersion newestFor(const Trainer &trainer) const;

    SchedulerOptions m_options;
    StepBook m_book;
    HoldingLimit m_holdingLimit;
    CrashRule m_crashes;
    SuspectPrompts m_suspectPrompts;
    std::map<EndpointId, Engine> m_engines;
    std::map<TrainerId, Trainer> m_trainers;
    std::map<ModelId, StalenessRule> m_staleness;
    std::map<ModelId, std::pair<WeightVersion, TimePoint>> m_published; // and since when it is known
    std::unordered_map<std::string, Attempt> m_attempts; // by request id
    std::map<SampleRef, std::vector<std::string>> m_attemptsOf;
    std::map<SampleRef, Resumption> m_resumptions;
    std::map<GroupKey, EndpointId> m_groupEngines;
    std::map<SampleRef, std::uint32_t> m_unproven;
    std::map<std::uint64_t, Scoring> m_scorings;
    std::vector<PendingDraw> m_draws;
    std::vector<SchedulerAction> m_actions;
    SchedulerCounters m_counters;
    std::uint64_t m_nextRequest = 1;
    std::uint64_t m_nextScoring = 1;
};

} // namespace bergamot
