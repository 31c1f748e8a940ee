#pragma once

// Discrete-time simulation of trainers, a sample scheduler, rollout planners and engines. The engines use the core
// logic of the stand-ins (fake servers for tests). Tests inject faults into it; the benchmark compares strategies with
// it. Time is simulated and advances only in `run`.
//
//     SampleSimulation simulation(options);
//     simulation.run(std::chrono::minutes(5));
//     EXPECT_EQ(simulation.violations().sum(), 0);

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "bergamot/rollout/rollout_planner.h"
#include "bergamot/samples/internal/staleness_trace.h"
#include "bergamot/samples/internal/trainer_model.h"
#include "bergamot/samples/sample_scheduler.h"
#include "bergamot/standins/fakes.h"

namespace bergamot
{

struct SampleSimulationOptions
{
    std::uint16_t engines = 9;
    std::uint16_t domains = 3;
    EngineCoreOptions engine; // name and model are set for each engine
    std::vector<TrainerModelOptions> trainers;
    SchedulerOptions scheduler;
    RolloutOptions rollout;
    std::uint64_t concurrentFetches = 3;
    std::uint32_t capacityFloorPercent = 50;
    bool drainBeforeSwap = false; // baseline: weight swaps wait until no sample is in flight
    Duration engineLatency = std::chrono::microseconds(1500); // one way
    Duration trainerLatency = std::chrono::milliseconds(1); // one way
    Duration viewPeriod = std::chrono::milliseconds(500);
    Duration tickPeriod = std::chrono::milliseconds(100);
    Duration scoringTime = std::chrono::milliseconds(50);
};

/// Numbers of tokens over a run.
struct TokenTotals
{
    std::uint64_t made = 0; // generated tokens, excluding those that a resumed generation inherited
    std::uint64_t delivered = 0;
};

/// Deterministic; single-threaded.
class SampleSimulation
{
public:
    explicit SampleSimulation(SampleSimulationOptions options);

    void run(Duration time);
    /// Runs until every trainer has finished its steps; false if `limit` passed first.
    bool runUntilFinished(Duration limit);

    TrainerModel &trainer(std::size_t index)
    {
        return m_trainers[index];
    }

    SampleScheduler &scheduler()
    {
        return *m_scheduler;
    }

    FakeEngines &engines()
    {
        return m_engines;
    }

    FakeScoring &scoring()
    {
        return m_scoring;
    }

    static Address address(std::uint16_t engine);
    TimePoint now() const
    {
        return m_time.now();
    }

    /// Kills the owner and starts another one without its state. Replies to calls of the old owner are dropped.
    void replaceOwner();
    /// Drops the next `count` answers to draws.
    void dropReplies(std::uint64_t count)
    {
        m_repliesToDrop += count;
    }

    /// Sends each draw twice from now on.
    void duplicateDraws()
    {
        m_duplicateDraws = true;
    }

    /// A paused trainer neither submits nor draws.
    void pause(std::size_t trainer, bool paused)
    {
        m_paused[trainer] = paused;
    }

    /// Submits the steps that the trainer would submit with a draw, without drawing.
    void submit(std::size_t trainer);
    void setBound(std::size_t trainer, std::uint64_t bound);
    /// Sets the suspect reports of entry processes and other owners.
    void setSuspects(std::vector<SuspectReport> suspects);
    void setDisconnected(std::uint16_t engine, bool disconnected);

    GuaranteeViolations violations() const;
    TokenTotals tokens() const;
    std::uint64_t received() const;
    /// For each step, the time of its last sample divided by that of its median sample, both since its first dispatch.
    std::vector<double> lastOverMedian() const;
    const StalenessParts &stalenessParts() const
    {
        return m_trace.parts();
    }

    /// Number of `RecordEvidence` actions by evidence kind.
    const std::map<std::string, std::uint64_t> &evidence() const
    {
        return m_evidence;
    }

private:
    struct StepTimes
    {
        TimePoint first;
        std::vector<TimePoint> completions;
    };

    void step();
    void publishView();
    FleetState fleetState() const;
    void readEngine(std::uint16_t index);
    void tickTrainers();
    void submit(TrainerModel &trainer);
    void sendDraw(std::size_t index);
    void deliverDraw(std::size_t index, const DrawRequest &request);
    void endTraining(std::size_t index);
    void setRolloutEngines();
    void planRollouts();
    void performRollout(std::size_t domain, const RolloutAction &action);
    bool isAwaited(const StepKey &step) const;
    void perform();
    void performOne(StartGeneration &action);
    void performOne(CancelGeneration &action);
    void performOne(ExportGeneration &action);
    void performOne(StartScoring &action);
    void performOne(AnswerDraw &action);
    void performOne(RecordEvidence &action);
    void generationEnded(std::uint64_t owner, const GenerateRequest &request, const Result<Generation> &outcome);
    void makeScheduler();
    void after(Duration delay, std::function<void()> task);

    SampleSimulationOptions m_options;
    ManualClock m_clock;
    FakeTime m_time;
    FakeWeightStore m_store;
    FakeEngines m_engines;
    FakeScoring m_scoring;
    std::vector<TrainerModel> m_trainers;
    std::unique_ptr<SampleScheduler> m_scheduler;
    std::uint64_t m_owner = 0;
    std::vector<EngineView> m_views;
    std::vector<bool> m_disconnected;
    std::vector<bool> m_paused;
    std::vector<RolloutPlanner> m_rollouts;
    std::vector<SuspectReport> m_suspects;
    WeightVersion m_published = 1;
    std::map<std::uint64_t, std::pair<std::size_t, std::string>> m_draws; // trainer index and cursor by draw id
    std::uint64_t m_nextDraw = 1;
    std::uint64_t m_repliesToDrop = 0;
    bool m_duplicateDraws = false;
    std::int64_t m_inFlight = 0;
    TokenTotals m_tokens;
    StalenessTrace m_trace;
    std::map<StepKey, StepTimes> m_times;
    std::map<std::string, StepKey> m_stepOfPrompt;
    std::map<std::string, TimePoint> m_completedAt; // completion time by request id
    std::map<std::string, std::uint64_t> m_evidence;
    TimePoint m_nextView;
};

} // namespace bergamot
