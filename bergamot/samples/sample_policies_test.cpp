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

void everyEngine(SampleWorld &world, const FaultCommand &command)
{
    for (std::uint16_t engine = 0; engine < 9; ++engine) {
        ASSERT_TRUE(world.engines().apply(SampleWorld::address(engine), command));
    }
}

TEST(CrashingPrompt, isGivenUpAndTheStepStillCompletes)
{
    SampleWorldOptions options = worldOptions({trainerOptions("quotes", 100)});
    options.trainers[0].steps = 2;
    SampleWorld world(options);
    everyEngine(world, {.fault = "poison", .text = "quotes step 1 group 3"});
    ASSERT_TRUE(world.runUntilFinished(minutes(10)));
    EXPECT_EQ(world.violations().sum(), 0U);
    const std::map<std::string, std::string> &failures = world.trainer(0).failures();
    EXPECT_EQ(failures.size(), 4U) << "the four samples of the group, and no innocent one";
    for (const auto &[sample, reason] : failures) {
        EXPECT_TRUE(sample.starts_with("quotes/1/3/")) << sample;
        EXPECT_NE(reason.find("crashed e"), std::string::npos) << reason;
    }
}

TEST(CrashingPrompt, crashesNoMoreEnginesThanItTakesToFindIt)
{
    SampleWorldOptions options = worldOptions({trainerOptions("quotes", 100)});
    options.trainers[0].steps = 1;
    SampleWorld world(options);
    everyEngine(world, {.fault = "poison", .text = "quotes step 1 group 3"});
    ASSERT_TRUE(world.runUntilFinished(minutes(10)));
    // Its four samples may run on four engines at first; then two runs under watch at most.
    EXPECT_LE(world.scheduler().counters().engineDeaths, 6U);
}

constexpr const char *BadPrompt = "quotes step 1 group 3";

TEST(CrashingPrompt, thatOthersHaveFoundIsNeverRun)
{
    SampleWorldOptions options = worldOptions({trainerOptions("quotes", 100)});
    options.trainers[0].steps = 2;
    SampleWorld world(options);
    everyEngine(world, {.fault = "poison", .text = BadPrompt});
    const std::set<EndpointId> died{EndpointId("e7"), EndpointId("e8")};
    world.setSuspects({{.fingerprint = promptFingerprint("agent", BadPrompt),
                        .endpoints = died,
                        .ranAlone = true,
                        .cleared = false}});
    ASSERT_TRUE(world.runUntilFinished(minutes(10)));
    EXPECT_EQ(world.scheduler().counters().engineDeaths, 0U);
    EXPECT_EQ(world.trainer(0).failures().size(), 4U);
    EXPECT_EQ(world.violations().sum(), 0U);
}

TEST(CrashingPrompt, isToldToOthersAndTheInnocentAreCleared)
{
    SampleWorldOptions options = worldOptions({trainerOptions("quotes", 100)});
    options.trainers[0].steps = 1;
    SampleWorld world(options);
    everyEngine(world, {.fault = "poison", .text = BadPrompt});
    ASSERT_TRUE(world.runUntilFinished(minutes(10)));
    std::map<std::uint64_t, SuspectReport> last;
    for (const SuspectReport &report : world.scheduler().takeSuspectNews()) {
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
    SampleWorldOptions options = worldOptions({trainerOptions("quotes", 100)});
    options.trainers[0].config.scoring = "127.0.0.1:7000";
    options.trainers[0].steps = 2;
    SampleWorld world(options);
    ASSERT_TRUE(world.scoring().apply(GetParam().fault));
    ASSERT_TRUE(world.runUntilFinished(minutes(10)));
    EXPECT_EQ(world.violations().sum(), 0U);
    EXPECT_EQ(world.received(), 64U);
    EXPECT_EQ(world.trainer(0).scoreless(), GetParam().scored ? 0U : 64U);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         ScoringFailure,
                         testing::Values(ScoringCase{"works", {.fault = "clear"}, true},
                                         ScoringCase{"out", {.fault = "out"}, false},
                                         ScoringCase{"some answers lost", {.fault = "close", .count = 2}, true},
                                         ScoringCase{"some refused", {.fault = "refuse", .count = 2}, true}));

TEST(Shares, aTrainerThatAsksForEverythingStarvesNoOther)
{
    TrainerModelOptions greedy = trainerOptions("greedy", 50);
    greedy.groups = 200;
    greedy.steps = 1;
    TrainerModelOptions modest = trainerOptions("modest", 50);
    modest.steps = 3;
    modest.trainTime = seconds(2);
    SampleWorldOptions both = worldOptions({greedy, modest});
    both.engine.tokenTime = milliseconds(400);
    SampleWorldOptions alone = worldOptions({modest});
    alone.engine.tokenTime = milliseconds(400);
    SampleWorld shared(both);
    SampleWorld single(alone);
    for (SampleWorld *world : {&shared, &single}) {
        const std::size_t last = world == &shared ? 1 : 0;
        while (!world->trainer(last).isFinished() && world->now() < TimePoint(std::chrono::hours(3))) {
            world->run(seconds(1));
        }
    }
    ASSERT_TRUE(shared.trainer(1).isFinished());
    EXPECT_FALSE(shared.trainer(0).isFinished()) << "the greedy one still runs, so slots were scarce all the time";
    // Half of the engines, so at most about twice the time it takes alone.
    EXPECT_LE((shared.now() - single.now()), (single.now() - TimePoint(std::chrono::hours(1))) * 3 / 2);
    EXPECT_EQ(shared.violations().sum(), 0U);
}

TEST(Shares, whatIsIdleIsBorrowedAndGivenBack)
{
    TrainerModelOptions early = trainerOptions("early", 50);
    early.groups = 100;
    early.steps = 1;
    early.maxTokens = 200;
    TrainerModelOptions late = trainerOptions("late", 50);
    late.steps = 1;
    late.groups = 3;
    late.maxTokens = 10;
    SampleWorldOptions options = worldOptions({early, late});
    SampleWorld world(options);
    world.pause(1, true);
    world.run(seconds(3));
    EXPECT_EQ(world.scheduler().status(TrainerId("early")).front().second.inFlight, 18U) << "all slots are borrowed";
    world.pause(1, false);
    world.run(seconds(4));
    EXPECT_TRUE(world.trainer(1).isTraining(world.now())) << "long before one of the borrower's samples could end";
    EXPECT_GT(world.scheduler().counters().givenBack, 0U);
    EXPECT_TRUE(world.runUntilFinished(minutes(20)));
    EXPECT_EQ(world.violations().sum(), 0U);
}

struct StragglerCase
{
    std::string name;
    const DispatchStrategy *strategy;
    bool movesOrReplaces;
};

class Stragglers : public testing::TestWithParam<StragglerCase>
{ };

TEST_P(Stragglers, ofASlowEngineAreMovedOrReplacedWithinTheBudget)
{
    SampleWorldOptions options = worldOptions({trainerOptions("quotes", 100)});
    options.scheduler.strategy = [](const TrainerConfig &) -> const DispatchStrategy & {
        return *GetParam().strategy;
    };
    SampleWorld world(options);
    world.run(seconds(3));
    ASSERT_TRUE(
        world.engines().apply(SampleWorld::address(2), {.fault = "slow-slots", .count = 2, .duration = seconds(2)}));
    ASSERT_TRUE(world.runUntilFinished(minutes(10)));
    const SchedulerCounters &counters = world.scheduler().counters();
    EXPECT_EQ(counters.moved + counters.spares > 0, GetParam().movesOrReplaces);
    EXPECT_EQ(world.violations().sum(), 0U);
    if (GetParam().movesOrReplaces) {
        const WorldTokens tokens = world.tokens();
        EXPECT_LE(tokens.made, tokens.delivered + tokens.delivered * options.trainers[0].config.sparePercent / 100);
    }
}

INSTANTIATE_TEST_SUITE_P(Table,
                         Stragglers,
                         testing::Values(StragglerCase{"idle time", &IdleTimeFirst, true},
                                         StragglerCase{"staleness", &StalenessFirst, true},
                                         StragglerCase{"baseline", &StaticSplit, false}));

TEST(StalenessBound, whatIsTooOldAtTheHandOverIsReplacedAndExplained)
{
    SampleWorldOptions options = worldOptions({trainerOptions("quotes", 100)});
    SampleWorld world(options);
    world.run(seconds(12)); // the second step is being made ahead, with the first weights
    world.setBound(0, 0);
    ASSERT_TRUE(world.runUntilFinished(minutes(10)));
    const SchedulerCounters &counters = world.scheduler().counters();
    EXPECT_GT(counters.discardedTooOld + counters.cancelledTooOld, 0U);
    EXPECT_EQ(world.evidence().at("sample-discarded"), counters.discardedTooOld + counters.cancelledTooOld);
    EXPECT_EQ(world.violations().sum(), 0U);
}

} // namespace
} // namespace bergamot
