#include <gtest/gtest.h>

#include "bergamot/base/prompt_fingerprint.h"
#include "bergamot/samples/internal/simulation_options.h"

namespace bergamot
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

void applyToAllEngines(SampleSimulation &simulation, const FaultCommand &command)
{
    for (std::uint16_t engine = 0; engine < 9; ++engine) {
        ASSERT_TRUE(simulation.engines().apply(SampleSimulation::address(engine), command));
    }
}

TEST(CrashingPrompt, isGivenUpAndTheStepStillCompletes)
{
    SampleSimulationOptions options = simulationOptions({trainerOptions("quotes", 100)});
    options.trainers[0].steps = 2;
    SampleSimulation simulation(options);
    applyToAllEngines(simulation, {.fault = "poison", .text = "quotes step 1 group 3"});
    ASSERT_TRUE(simulation.runUntilFinished(minutes(10)));
    EXPECT_EQ(simulation.violations().sum(), 0U);
    const std::map<std::string, std::string> &failures = simulation.trainer(0).failures();
    EXPECT_EQ(failures.size(), 4U) << "only the four samples of the crashing group";
    for (const auto &[sample, reason] : failures) {
        EXPECT_TRUE(sample.starts_with("quotes/1/3/")) << sample;
        EXPECT_NE(reason.find("crashed e"), std::string::npos) << reason;
    }
}

TEST(CrashingPrompt, crashesOnlyTheEnginesNeededToFindIt)
{
    SampleSimulationOptions options = simulationOptions({trainerOptions("quotes", 100)});
    options.trainers[0].steps = 1;
    SampleSimulation simulation(options);
    applyToAllEngines(simulation, {.fault = "poison", .text = "quotes step 1 group 3"});
    ASSERT_TRUE(simulation.runUntilFinished(minutes(10)));
    // At first, its four samples may run on four engines; then at most two probes are needed.
    EXPECT_LE(simulation.scheduler().counters().engineDeaths, 6U);
}

constexpr const char *BadPrompt = "quotes step 1 group 3";

TEST(CrashingPrompt, reportedByOthersIsNeverRun)
{
    SampleSimulationOptions options = simulationOptions({trainerOptions("quotes", 100)});
    options.trainers[0].steps = 2;
    SampleSimulation simulation(options);
    applyToAllEngines(simulation, {.fault = "poison", .text = BadPrompt});
    const std::set<EndpointId> crashedEngines{EndpointId("e7"), EndpointId("e8")};
    simulation.setSuspects({{.fingerprint = promptFingerprint("agent", BadPrompt),
                             .endpoints = crashedEngines,
                             .ranAlone = true,
                             .cleared = false}});
    ASSERT_TRUE(simulation.runUntilFinished(minutes(10)));
    EXPECT_EQ(simulation.scheduler().counters().engineDeaths, 0U);
    EXPECT_EQ(simulation.trainer(0).failures().size(), 4U);
    EXPECT_EQ(simulation.violations().sum(), 0U);
}

TEST(CrashingPrompt, isReportedAndOtherSuspectsAreCleared)
{
    SampleSimulationOptions options = simulationOptions({trainerOptions("quotes", 100)});
    options.trainers[0].steps = 1;
    SampleSimulation simulation(options);
    applyToAllEngines(simulation, {.fault = "poison", .text = BadPrompt});
    ASSERT_TRUE(simulation.runUntilFinished(minutes(10)));
    std::map<std::uint64_t, SuspectReport> last;
    for (const SuspectReport &report : simulation.scheduler().takeSuspectChanges()) {
        last[report.fingerprint] = report;
    }
    const std::uint64_t bad = promptFingerprint("agent", BadPrompt);
    ASSERT_TRUE(last.contains(bad));
    for (const auto &[fingerprint, report] : last) {
        EXPECT_EQ(report.cleared, fingerprint != bad);
        EXPECT_EQ(report.ranAlone, fingerprint == bad);
    }
    EXPECT_GE(last[bad].endpoints.size(), 2U);
}

struct ScoringCase
{
    std::string name;
    FaultCommand fault;
    bool scored;
};

class ScoringFailure : public testing::TestWithParam<ScoringCase>
{ };

TEST_P(ScoringFailure, losesNoSample)
{
    SampleSimulationOptions options = simulationOptions({trainerOptions("quotes", 100)});
    options.trainers[0].config.scoring = "127.0.0.1:7000";
    options.trainers[0].steps = 2;
    SampleSimulation simulation(options);
    ASSERT_TRUE(simulation.scoring().apply(GetParam().fault));
    ASSERT_TRUE(simulation.runUntilFinished(minutes(10)));
    EXPECT_EQ(simulation.violations().sum(), 0U);
    EXPECT_EQ(simulation.received(), 64U);
    EXPECT_EQ(simulation.trainer(0).scoreless(), GetParam().scored ? 0U : 64U);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         ScoringFailure,
                         testing::Values(ScoringCase{"works", {.fault = "clear"}, true},
                                         ScoringCase{"unavailable", {.fault = "out"}, false},
                                         ScoringCase{"some replies lost", {.fault = "close", .count = 2}, true},
                                         ScoringCase{"some requests rejected", {.fault = "refuse", .count = 2}, true}));

TEST(Shares, aGreedyTrainerDoesNotStarveAnother)
{
    TrainerModelOptions greedy = trainerOptions("greedy", 50);
    greedy.groups = 200;
    greedy.steps = 1;
    TrainerModelOptions modest = trainerOptions("modest", 50);
    modest.steps = 3;
    modest.trainTime = seconds(2);
    SampleSimulationOptions both = simulationOptions({greedy, modest});
    both.engine.tokenTime = milliseconds(400);
    SampleSimulationOptions alone = simulationOptions({modest});
    alone.engine.tokenTime = milliseconds(400);
    SampleSimulation shared(both);
    SampleSimulation single(alone);
    for (SampleSimulation *simulation : {&shared, &single}) {
        const std::size_t last = simulation == &shared ? 1 : 0;
        while (!simulation->trainer(last).isFinished() && simulation->now() < TimePoint(std::chrono::hours(3))) {
            simulation->run(seconds(1));
        }
    }
    ASSERT_TRUE(shared.trainer(1).isFinished());
    EXPECT_FALSE(shared.trainer(0).isFinished()) << "the greedy trainer still runs, so slots were scarce all the time";
    // The trainer has half of the engines, so it takes at most about twice the time that it takes alone.
    EXPECT_LE((shared.now() - single.now()), (single.now() - TimePoint(std::chrono::hours(1))) * 3 / 2);
    EXPECT_EQ(shared.violations().sum(), 0U);
}

TEST(Shares, idleSlotsAreBorrowedAndReleased)
{
    TrainerModelOptions early = trainerOptions("early", 50);
    early.groups = 100;
    early.steps = 1;
    early.maxTokens = 200;
    TrainerModelOptions late = trainerOptions("late", 50);
    late.steps = 1;
    late.groups = 3;
    late.maxTokens = 10;
    SampleSimulationOptions options = simulationOptions({early, late});
    SampleSimulation simulation(options);
    simulation.pause(1, true);
    simulation.run(seconds(3));
    EXPECT_EQ(simulation.scheduler().status(TrainerId("early")).front().second.inFlight, 18U)
        << "all slots are borrowed";
    simulation.pause(1, false);
    simulation.run(seconds(4));
    EXPECT_TRUE(simulation.trainer(1).isTraining(simulation.now()))
        << "long before any of the borrower's samples could end";
    EXPECT_GT(simulation.scheduler().counters().releasedSlots, 0U);
    EXPECT_TRUE(simulation.runUntilFinished(minutes(20)));
    EXPECT_EQ(simulation.violations().sum(), 0U);
}

struct StragglerCase
{
    std::string name;
    const DispatchStrategy *strategy;
    bool movesOrReplaces;
};

class Stragglers : public testing::TestWithParam<StragglerCase>
{ };

TEST_P(Stragglers, ofASlowEngineAreMovedOrCopiedWithinTheBudget)
{
    SampleSimulationOptions options = simulationOptions({trainerOptions("quotes", 100)});
    options.scheduler.strategy = [](const TrainerConfig &) -> const DispatchStrategy & {
        return *GetParam().strategy;
    };
    SampleSimulation simulation(options);
    simulation.run(seconds(3));
    ASSERT_TRUE(simulation.engines().apply(SampleSimulation::address(2),
                                           {.fault = "slow-slots", .count = 2, .duration = seconds(2)}));
    ASSERT_TRUE(simulation.runUntilFinished(minutes(10)));
    const SchedulerCounters &counters = simulation.scheduler().counters();
    EXPECT_EQ(counters.moved + counters.speculativeCopies > 0, GetParam().movesOrReplaces);
    EXPECT_EQ(simulation.violations().sum(), 0U);
    if (GetParam().movesOrReplaces) {
        const TokenTotals tokens = simulation.tokens();
        EXPECT_LE(tokens.made, tokens.delivered + tokens.delivered * options.trainers[0].config.sparePercent / 100);
    }
}

INSTANTIATE_TEST_SUITE_P(Table,
                         Stragglers,
                         testing::Values(StragglerCase{"idle time", &IdleTimeFirst, true},
                                         StragglerCase{"staleness", &StalenessFirst, true},
                                         StragglerCase{"baseline", &StaticSplit, false}));

TEST(StalenessBound, samplesAboveItAreReplacedAndRecorded)
{
    SampleSimulationOptions options = simulationOptions({trainerOptions("quotes", 100)});
    SampleSimulation simulation(options);
    simulation.run(seconds(12)); // the second step is generated ahead, with the first weights
    simulation.setBound(0, 0);
    ASSERT_TRUE(simulation.runUntilFinished(minutes(10)));
    const SchedulerCounters &counters = simulation.scheduler().counters();
    EXPECT_GT(counters.discardedTooOld + counters.cancelledTooOld, 0U);
    EXPECT_EQ(simulation.evidence().at("sample-discarded"), counters.discardedTooOld + counters.cancelledTooOld);
    EXPECT_EQ(simulation.violations().sum(), 0U);
}

} // namespace
} // namespace bergamot
