#pragma once

// Trainers, a sample scheduler, rollout planners and engines in discrete time, on the stand-ins' cores. Tests inject
// faults into it; the benchmark measures strategies with it. Nothing sleeps: time stands still unless `run` moves it.
//
//     SampleWorld world(options);
//     world.run(std::chrono::minutes(5));
//     EXPECT_EQ(world.violations().sum(), 0);

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

struct SampleWorldOptions
{
    std::uint16_t engines = 9;
    std::uint16_t domains = 3;
    EngineCoreOptions engine; // name and model are set for each
    std::vector<TrainerModelOptions> trainers;
    SchedulerOptions scheduler;
    RolloutOptions rollout;
    std::uint64_t concurrentFetches = 3;
    std::uint32_t capacityFloorPercent = 50;
    bool drainBeforeSwap = false; // baseline: swaps wait until no sample is in flight
    Duration engineLatency = std::chrono::microseconds(1500); // one way
    Duration trainerLatency = std::chrono::milliseconds(1); // one way
    Duration viewPeriod = std::chrono::milliseconds(500);
    Duration tickPeriod = std::chrono::milliseconds(100);
    Duration scoringTime = std::chrono::milliseconds(50);
};

/// Tokens that engines made, and when samples of each step became whole.
struct WorldTokens
{
    std::uint64_t made = 0; // without those that a resumed generation took along
    std::uint64_t delivered = 0;
};

/// Deterministic; single-threaded.
class SampleWorld
{
public:
    explicit SampleWorld(SampleWorldOptions options);

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

    /// The owner is killed and another takes over: it knows nothing, and answers of the old one's calls reach nobody.
    void replaceOwner();
    /// The next `count` answers to draws are lost on their way.
    void loseAnswers(std::uint64_t count)
    {
        m_answersToLose += count;
    }

    /// Sends each draw twice from now on.
    void doubleDraws()
    {
        m_doubleDraws = true;
    }

    /// A paused trainer hands in and draws nothing.
    void pause(std::size_t trainer, bool paused)
    {
        m_paused[trainer] = paused;
    }

    /// Hands in what the trainer would hand in with a draw, without drawing.
    void handIn(std::size_t trainer);
    void setBound(std::size_t trainer, std::uint64_t bound);
    /// What entry processes and other owners report of prompts from now on.
    void setSuspects(std::vector<SuspectReport> suspects);
    void cutOff(std::uint16_t engine, bool cut);

    PromiseViolations violations() const;
    WorldTokens tokens() const;
    std::uint64_t received() const;
    /// For each step: time of its last sample over the median one, both since its first dispatch.
    std::vector<double> lastOverMedian() const;
    const StalenessParts &stalenessParts() const
    {
        return m_trace.parts();
    }

    /// Actions of kind RecordEvidence seen, by kind.
    const std::map<std::string, std::uint64_t> &evidence() const
    {
        return m_evidence;
    }

private:
    struct StepTimes
    {
        TimePoint first;
        std::vector<TimePoint> whole;
    };

    void step();
    void publishView();
    FleetPicture picture() const;
    void readEngine(std::uint16_t index);
    void tickTrainers();
    void handIn(TrainerModel &trainer);
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

    SampleWorldOptions m_options;
    ManualClock m_clock;
    FakeTime m_time;
    FakeWeightStore m_store;
    FakeEngines m_engines;
    FakeScoring m_scoring;
    std::vector<TrainerModel> m_trainers;
    std::unique_ptr<SampleScheduler> m_scheduler;
    std::uint64_t m_owner = 0;
    std::vector<EngineView> m_views;
    std::vector<bool> m_cut;
    std::vector<bool> m_paused;
    std::vector<RolloutPlanner> m_rollouts;
    std::vector<SuspectReport> m_suspects;
    WeightVersion m_published = 1;
    std::map<std::uint64_t, std::pair<std::size_t, std::string>> m_draws; // trainer and cursor by draw id
    std::uint64_t m_nextDraw = 1;
    std::uint64_t m_answersToLose = 0;
    bool m_doubleDraws = false;
    std::int64_t m_inFlight = 0;
    WorldTokens m_tokens;
    StalenessTrace m_trace;
    std::map<StepKey, StepTimes> m_times;
    std::map<std::string, StepKey> m_stepOfPrompt;
    std::map<std::string, TimePoint> m_wholeAt; // by request id
    std::map<std::string, std::uint64_t> m_evidence;
    TimePoint m_nextView;
};

} // namespace bergamot
