#pragma once

// Makes all decisions about the samples of the trainers that this instance owns: on which engine a sample runs, and
// when it is moved, copied, given up, scored and delivered. It is purely computational: its inputs are events with the
// current time, its outputs are actions; `SampleService` performs the I/O.
//
//     SampleScheduler scheduler(options);
//     scheduler.setFleet(fleetState, now);
//     scheduler.submit(key, spec, "", now);
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

/// Priorities of samples on an engine. Requests of callers have lower numbers and run first.
enum class SamplePriority : std::uint32_t {
    AwaitedStep = 3, // within the trainer's share; the trainer is waiting for the step
    StepAhead = 4, // within the trainer's share, before the first draw of the step
    Borrowed = 5,
};

struct SchedulerOptions
{
    std::string instance; // makes request ids unique, together with `incarnation`
    std::uint64_t incarnation = 0;
    StepLimits limits;
    std::chrono::milliseconds sampleTimeout{600000}; // limit for one attempt
    std::chrono::milliseconds enginePause{1000}; // pause of an engine after a failed attempt
    std::chrono::milliseconds crashViewLag{2000}; // within which the views show a crash as an unreachable engine
    std::chrono::milliseconds scoringRetryDelay{500};
    std::uint32_t scoringAttempts = 3;
    std::uint32_t maxConcurrentScorings = 64; // limit of concurrent scoring calls
    std::uint32_t maxUnproven = 8; // generations without proven versions until a sample is given up
    std::uint32_t maxBatch = 1024; // samples per answer to a draw
    std::size_t maxBatchBytes = 2U << 20U; // text bytes per answer; held until the answer is confirmed
    std::size_t maxHeldBytes = 64U << 20U; // prompts and finished texts; does not restrict steps with a pending draw
    std::function<const DispatchStrategy &(const TrainerConfig &trainer)> strategy =
        [](const TrainerConfig &trainer) -> const DispatchStrategy & {
        return dispatchStrategy(trainer.strategy);
    };
};

struct DrawRequest
{
    std::uint64_t drawId = 0; // identifies the `AnswerDraw` of this request
    StepKey step;
    std::string cursor; // empty if the trainer has received no sample of the step
    WeightVersion trainerVersion = 0; // weight version of the trainer
    std::uint32_t max = 0;
    TimePoint deadline; // time by which the draw is answered, possibly without samples
};

struct StepStatus
{
    std::uint32_t samples = 0;
    std::uint32_t waiting = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t ready = 0; // includes samples that are being scored
    std::uint32_t failed = 0;
    std::uint32_t received = 0;
    std::string cursor; // cursor of a trainer that has received no sample of the step
};

/// Every accepted draw is answered exactly once. Deterministic; not thread-safe.
class SampleScheduler
{
public:
    explicit SampleScheduler(SchedulerOptions options);

    void setFleet(FleetState fleet, TimePoint now);
    /// Submits a step; idempotent. With `cursor`, which may be empty, a new owner skips the samples that the trainer
    /// has received. Returns `Overloaded` with a retry delay while the memory limit leaves no room for the prompts.
    Result<StepStatus> submit(const StepKey &key, StepSpec spec, const std::string &cursor, TimePoint now);
    void drop(const StepKey &key, TimePoint now);
    /// Returns `NotFound` if the step must be submitted again.
    Result<void> draw(DrawRequest request, TimePoint now);
    void generationEnded(const std::string &requestId, Result<Generation> outcome, TimePoint now);
    void exportEnded(const std::string &requestId, const Result<std::string> &outcome, TimePoint now);
    void scoringEnded(std::uint64_t scoringId, const Result<double> &outcome, TimePoint now);
    void tick(TimePoint now);

    std::vector<SchedulerAction> takeActions();
    /// Returns new reports on prompts that crash engines since the last call, for the other instances of the failure
    /// domain. Their reports are part of `FleetState`.
    std::vector<SuspectReport> takeSuspectChanges();
    const SchedulerCounters &counters() const;
    std::vector<std::pair<StepKey, StepStatus>> status(const TrainerId &trainer) const;
    /// Bytes of prompts and of finished samples that the trainers have not confirmed.
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
        WeightVersion oldest = 0; // expected; the final value is reported by the engine
        bool speculative = false;
        bool borrowed = false;
        bool resumed = false;
        bool exporting = false;
        bool exportFailed = false;
        bool ended = false; // the generation has stopped while the export is pending
    };

    struct Engine
    {
        EngineView view;
        std::uint32_t ownSamples = 0;
        std::uint32_t ownSamplesPeak = 0; // maximum of `ownSamples` since the last fleet update
        std::uint32_t otherRequests = 0;
        double tokensPerSecond = 0; // smoothed; 0 if unknown
        TimePoint pausedUntil;
        TimePoint diedAt;
    };

    struct Trainer
    {
        TrainerConfig config;
        const DispatchStrategy *strategy = nullptr;
        SampleTimes times;
        SpeculationBudget speculationBudget;
        std::size_t textBytes = 0; // smoothed text size of one sample; 0 if unknown
        std::uint64_t dispatchCount = 0;
        std::uint32_t inFlight = 0;
        std::uint32_t pendingReleases = 0;
        WeightVersion lastTrainerVersion = 0; // weight version in the trainer's last draw
        bool everDrew = false;
        TimePoint lastStepDeliveredAt; // when the last step was completely delivered
        Duration stepInterval{0}; // smoothed time from there to the first draw of the next step
        std::pair<WeightVersion, std::uint64_t> lastStalenessCheck; // newest version and bound at the last check
    };

    /// State of an interrupted sample that its next attempt needs.
    struct Resumption
    {
        WeightVersion oldest = 0;
        EndpointId excludedEngine;
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

    /// Engines and trainers of a model for one run of the planner, in the order of the planner's indices.
    struct DispatchRound
    {
        ModelId model;
        std::vector<EndpointId> engines;
        std::vector<TrainerId> trainers;
        std::map<TrainerId, StepKey> steps; // the step from which each trainer's samples are taken
        DispatchPlanner planner;
        double medianSpeed = 0; // tokens per second; 0 if unknown
    };

    // Fleet and events (sample_scheduler.cpp); lost attempts (sample_scheduler_losses.cpp).
    void recordPublished(const ModelId &model, WeightVersion version, TimePoint now);
    void setEngines(std::vector<EngineView> views, TimePoint now);
    /// Records the crash of an engine that ran no sample: its view says that it became unreachable.
    void recordIdleEngineDeath(Engine &engine, TimePoint now);
    void setTrainers(const std::map<TrainerId, TrainerConfig> &configured);
    void setNewest(const FleetState &fleet, TimePoint now);
    Attempt removeAttempt(const std::string &requestId);
    std::vector<std::string> attemptsOf(const SampleRef &sample) const;
    void cancelAttempts(const SampleRef &sample);
    void handleLostAttempt(const Attempt &attempt, const Error &error, TimePoint now);
    void recordEngineDeath(const Attempt &attempt, TimePoint now);
    void giveUpGroup(const GroupKey &group);
    void applySuspects(const std::vector<SuspectGroup> &suspects);
    void giveUpCrashingGroups(TimePoint now);
    void reportCrash(const EndpointId &engine, const std::set<GroupKey> &inFlight);
    void requeueSample(const SampleRef &sample, std::string handle, Resumption resumption);
    void acceptGeneration(const std::string &requestId, const Attempt &attempt, Generation generation, TimePoint now);
    void discardUnproven(const std::string &requestId,
                         const Attempt &attempt,
                         const Generation &generation,
                         const Error &why);
    void recordSpeed(const Attempt &attempt, const Generation &generation, TimePoint now);
    void
    recordEvidence(std::string kind, const SampleRef &sample, std::vector<std::pair<std::string, std::string>> fields);

    // Dispatch (sample_scheduler_dispatch.cpp); moving and copying stragglers (sample_scheduler_stragglers.cpp);
    // memory limit (sample_scheduler_memory.cpp).
    void dispatch(TimePoint now);
    DispatchRound makeRound(const ModelId &model, TimePoint now) const;
    EngineLoad engineLoad(const Engine &engine, double medianSpeed, TimePoint now) const;
    /// Number of samples of `step` that the strategy allows to start, regardless of the time.
    static std::uint32_t startableSamples(const Trainer &trainer, const Step &step);
    TimePoint dueTime(const Trainer &trainer, const Step &step, TimePoint now) const;
    void planSteps(DispatchRound &round, TimePoint now) const;
    Result<void> checkMemoryLimit(const StepKey &key, const StepSpec &spec) const;
    static std::size_t expectedBytes(const Trainer &trainer, const Step &step);
    /// Bytes held now and expected from the running attempts.
    HeldBytes projectedHeldBytes(const TrainerId &trainer) const;
    /// Number of samples of `step` that may start within the memory limit.
    std::uint32_t samplesWithinLimit(const Trainer &trainer, const Step &step, const HeldBytes &held) const;
    bool hasPendingDraw(const StepKey &step) const;
    bool assignNextSample(DispatchRound &round, std::size_t trainerIndex, TimePoint now);
    std::optional<SampleRef> nextSample(const TrainerId &trainer, const DispatchRound &round);
    bool permits(const SampleRef &sample, const EngineLoad &engine, TimePoint now) const;
    bool waitsForSwap(const Trainer &trainer, const Step &step, const EngineLoad &engine, TimePoint now) const;
    std::uint64_t forecast(const SampleRef &sample, WeightVersion version, TimePoint now) const;
    void start(DispatchRound &round,
               std::size_t trainerIndex,
               std::size_t engineIndex,
               const SampleRef &sample,
               bool speculative,
               TimePoint now);
    void releaseBorrowedSlots(const DispatchRound &round);
    void replaceStragglers(DispatchRound &round, TimePoint now);
    void replaceStraggler(DispatchRound &round, const std::string &requestId, StragglerAction action, TimePoint now);
    StragglerView stragglerView(const Attempt &attempt, const DispatchRound &round, TimePoint now) const;
    void exportAttempt(const std::string &requestId);
    void removeTooOld();
    void cancelTooOld(const TrainerId &id, const Trainer &trainer);
    void discardReadyTooOld(const TrainerId &id, const Trainer &trainer);

    // Scoring and delivery (sample_scheduler_draws.cpp).
    void handleFinished(const SampleRef &sample);
    void startScorings(TimePoint now);
    void dropEarlierSteps(const StepKey &drawn, TimePoint now);
    void answerDraws(TimePoint now);
    std::optional<AnswerDraw> answer(PendingDraw &draw, TimePoint now);
    bool addToAnswer(AnswerDraw &reply, Step &step, std::uint32_t offset);
    void discardTooOld(Step &step, std::uint32_t offset, WeightVersion newest);
    StepStatus statusOf(const Step &step) const;

    GroupKey groupOf(const SampleRef &sample) const;
    const StalenessRule &stalenessRule(const Trainer &trainer) const;
    WeightVersion newestFor(const Trainer &trainer) const;

    SchedulerOptions m_options;
    StepTable m_stepTable;
    HeldBytesLimit m_heldBytesLimit;
    CrashRule m_crashes;
    SuspectPrompts m_suspectPrompts;
    std::map<EndpointId, Engine> m_engines;
    std::map<TrainerId, Trainer> m_trainers;
    std::map<ModelId, StalenessRule> m_staleness;
    std::map<ModelId, std::pair<WeightVersion, TimePoint>>
        m_published; // newest published version by model, and when it was first seen
    std::unordered_map<std::string, Attempt> m_attempts; // attempts by request id
    std::map<SampleRef, std::vector<std::string>> m_attemptsOf;
    std::map<SampleRef, Resumption> m_resumptions;
    std::map<GroupKey, EndpointId> m_groupEngines;
    std::map<SampleRef, std::uint32_t> m_unproven; // discarded generations by sample
    std::map<std::uint64_t, Scoring> m_scorings;
    std::vector<PendingDraw> m_draws;
    std::vector<SchedulerAction> m_actions;
    SchedulerCounters m_counters;
    std::uint64_t m_nextRequest = 1;
    std::uint64_t m_nextScoring = 1;
};

} // namespace bergamot
