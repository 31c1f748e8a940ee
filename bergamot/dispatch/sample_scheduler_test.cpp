#include "bergamot/dispatch/internal/scheduler_fixture.h"

namespace bergamot::dispatch
{
namespace
{

TEST_F(SampleSchedulerTest, SlotsAreFilledAndTheRestWaits)
{
    addBatch("b", 6);
    EXPECT_EQ(m_starts.size(), 4U);
    EXPECT_EQ(m_scheduler.waiting(), 2U);
    event(m_starts[0].run, 1);
    end(m_starts[0].run, RunEnd::Complete);
    EXPECT_EQ(m_starts.size(), 5U);
    EXPECT_EQ(m_starts.back().engine, m_starts[0].engine);
}

struct EligibleCase
{
    const char *name;
    EngineFacts engine;
    bool loading;
    bool runs;
};

class EligibleTest : public SampleSchedulerTest, public testing::WithParamInterface<EligibleCase>
{
protected:
    static EngineFacts with(std::uint64_t version, bool draining, const char *service)
    {
        EngineFacts facts = engine("e3", version);
        facts.draining = draining;
        facts.service = service;
        return facts;
    }

public:
    static std::vector<EligibleCase> cases()
    {
        return {{"Fit", with(4, false, "llm"), false, true},
                {"TooOld", with(3, false, "llm"), false, false},
                {"Draining", with(5, true, "llm"), false, false},
                {"OtherService", with(5, false, "desk"), false, false},
                {"Loading", with(5, false, "llm"), true, false}};
    }
};

TEST_P(EligibleTest, OnlyAFitEngineGetsRuns)
{
    setEngines({GetParam().engine});
    if (GetParam().loading) {
        m_scheduler.loadStarted("e3", "m");
    }
    addBatch("b", 1);
    EXPECT_EQ(m_starts.size(), GetParam().runs ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(Engines, EligibleTest, testing::ValuesIn(EligibleTest::cases()), [](const auto &test) {
    return test.param.name;
});

struct EndCase
{
    const char *name;
    RunEnd end;
    std::size_t runsBefore; // that ended so before
    bool runsAgain;
    bool givenUp;
};

class RunEndTest : public SampleSchedulerTest, public testing::WithParamInterface<EndCase>
{ };

TEST_P(RunEndTest, ABrokenRunGoesOnElsewhereAndAHopelessItemIsGivenUp)
{
    addBatch("b", 1);
    event(m_starts[0].run, 1);
    for (std::size_t count = 0; count <= GetParam().runsBefore; ++count) {
        end(m_starts.back().run, GetParam().end);
        pass(5s); // longer than an engine is left alone after a loss
    }
    EXPECT_EQ(m_starts.size() > GetParam().runsBefore + 1, GetParam().runsAgain);
    EXPECT_EQ(!m_results.empty() && !m_results.back().completed, GetParam().givenUp);
    if (GetParam().runsAgain) {
        EXPECT_EQ(m_starts.back().resumeAfter, 1U);
    }
}

INSTANTIATE_TEST_SUITE_P(Ends,
                         RunEndTest,
                         testing::Values(EndCase{"Broken", RunEnd::Broken, 0, true, false},
                                         EndCase{"BrokenOften", RunEnd::Broken, 9, true, false},
                                         EndCase{"StaleConnection", RunEnd::StaleConnection, 0, true, false},
                                         EndCase{"Silent", RunEnd::Silent, 0, true, false},
                                         EndCase{"NotExecuted", RunEnd::NotExecuted, 5, true, false},
                                         EndCase{"WrongEndpoint", RunEnd::WrongEndpoint, 0, true, false},
                                         EndCase{"FailedOnce", RunEnd::Failed, 0, true, false},
                                         EndCase{"FailedTwice", RunEnd::Failed, 1, false, true},
                                         EndCase{"Impossible", RunEnd::Impossible, 0, false, true}),
                         [](const auto &test) {
                             return test.param.name;
                         });

struct EventCase
{
    const char *name;
    std::vector<std::uint64_t> ids;
    std::uint64_t version; // of the last event
    bool accepted; // the last event
};

class EventTest : public SampleSchedulerTest, public testing::WithParamInterface<EventCase>
{ };

TEST_P(EventTest, ATextHasEveryEventOnceAndOnlyAllowedVersions)
{
    addBatch("b", 1);
    for (const std::uint64_t id : GetParam().ids) {
        event(m_starts[0].run, id, id == GetParam().ids.back() ? GetParam().version : 5);
    }
    EXPECT_EQ(m_accepted, GetParam().accepted);
    EXPECT_EQ(m_cancelled.contains(m_starts[0].run), !GetParam().accepted);
}

INSTANTIATE_TEST_SUITE_P(Events,
                         EventTest,
                         testing::Values(EventCase{"InOrder", {1, 2, 3}, 5, true},
                                         EventCase{"Missing", {1, 3}, 5, false},
                                         EventCase{"Twice", {1, 1}, 5, false},
                                         EventCase{"NewerVersion", {1, 2}, 6, true},
                                         EventCase{"TooOldVersion", {1, 2}, 3, false}),
                         [](const auto &test) {
                             return test.param.name;
                         });

TEST_F(SampleSchedulerTest, AStaleConnectionSaysNothingOfItsEngine)
{
    setEngines({engine("e1", 5)});
    addBatch("b", 1);
    end(m_starts[0].run, RunEnd::StaleConnection);
    ASSERT_EQ(m_starts.size(), 2U);
    EXPECT_EQ(m_starts[1].engine, "e1");
    end(m_starts[1].run, RunEnd::Broken);
    EXPECT_EQ(m_starts.size(), 2U);
}

TEST_F(SampleSchedulerTest, AResumedTextNamesEveryVersionThatMadeIt)
{
    addBatch("b", 1);
    event(m_starts[0].run, 1, 5);
    end(m_starts[0].run, RunEnd::Broken);
    pass(1s);
    event(m_starts[1].run, 2, 6);
    end(m_starts[1].run, RunEnd::Complete);
    ASSERT_EQ(m_results.size(), 1U);
    EXPECT_EQ(m_results[0].text, "d1\nd2");
    EXPECT_EQ(m_results[0].versions, (std::vector<std::uint64_t>{5, 6}));
}

TEST_F(SampleSchedulerTest, ARouteOfOneVersionStartsAgainUnderAnother)
{
    m_route.singleVersion = true;
    addBatch("b", 1);
    event(m_starts[0].run, 1, 5);
    setEngines({engine("e9", 6)});
    pass(1s);
    ASSERT_EQ(m_starts.size(), 2U);
    EXPECT_FALSE(m_starts[1].resumeAfter);
    event(m_starts[1].run, 1, 6);
    end(m_starts[1].run, RunEnd::Complete);
    EXPECT_EQ(m_results.at(0).versions, (std::vector<std::uint64_t>{6}));
    EXPECT_EQ(m_results.at(0).text, "d1");
}

TEST_F(SampleSchedulerTest, AResultWaitsForItsScore)
{
    addBatch("b", 1, 4, true);
    event(m_starts[0].run, 1);
    end(m_starts[0].run, RunEnd::Complete);
    EXPECT_TRUE(m_results.empty());
    ASSERT_EQ(m_scorings.size(), 1U);
    m_scheduler.scoringEnded({"b", 0}, ScoringEnd::NoAnswer, "", m_now);
    pass(1s);
    ASSERT_EQ(m_scorings.size(), 2U);
    m_scheduler.scoringEnded({"b", 0}, ScoringEnd::Scored, "stamp", m_now);
    collect();
    ASSERT_EQ(m_results.size(), 1U);
    EXPECT_TRUE(m_results[0].completed);
    EXPECT_EQ(m_results[0].score, "stamp");
}

TEST_F(SampleSchedulerTest, AScoringCallThatAlwaysFailsGivesTheItemUp)
{
    addBatch("b", 1, 4, true);
    event(m_starts[0].run, 1);
    end(m_starts[0].run, RunEnd::Complete);
    for (int failure = 0; failure < 2; ++failure) {
        ASSERT_TRUE(m_results.empty());
        m_scheduler.scoringEnded({"b", 0}, ScoringEnd::Failed, "", m_now);
        pass(1s);
    }
    ASSERT_EQ(m_results.size(), 1U);
    EXPECT_FALSE(m_results[0].completed);
}

TEST_F(SampleSchedulerTest, AnEndedBatchRunsNoMore)
{
    addBatch("b", 6, 4, true);
    event(m_starts[0].run, 1);
    end(m_starts[0].run, RunEnd::Complete);
    const std::size_t started = m_starts.size();
    m_scheduler.endBatch("b");
    pass(10s);
    EXPECT_EQ(m_starts.size(), started);
    EXPECT_EQ(m_cancelled.size(), 4U);
    EXPECT_EQ(m_stoppedScorings.size(), 1U);
}

TEST_F(SampleSchedulerTest, AnItemListedByAnEarlierOwnerIsNotRunAgain)
{
    addBatch("b", 1);
    m_scheduler.itemListed({"b", 0});
    collect();
    EXPECT_TRUE(m_cancelled.contains(m_starts[0].run));
    pass(10s);
    EXPECT_EQ(m_starts.size(), 1U);
    EXPECT_FALSE(m_scheduler.hasBatch("b"));
}

TEST_F(SampleSchedulerTest, RunsAtAnEngineThatHasGoneGoOnElsewhere)
{
    addBatch("b", 1);
    event(m_starts[0].run, 1);
    setEngines({engine(m_starts[0].engine == "e1" ? "e2" : "e1", 5)});
    EXPECT_TRUE(m_cancelled.contains(m_starts[0].run));
    ASSERT_EQ(m_starts.size(), 2U);
    EXPECT_EQ(m_starts[1].resumeAfter, 1U);
}

TEST_F(SampleSchedulerTest, AnEngineThatStartedAgainKnowsNothingOfItsRuns)
{
    addBatch("b", 1);
    EngineFacts restarted = engine(m_starts[0].engine, 5);
    restarted.incarnation = 2;
    setEngines({restarted});
    EXPECT_TRUE(m_cancelled.contains(m_starts[0].run));
    EXPECT_EQ(m_starts.size(), 2U);
}

TEST_F(SampleSchedulerTest, AnEngineWhoseLoadIsOnlyAssumedIsAskedForThatVersion)
{
    setEngines({engine("e3", 4)});
    m_scheduler.loadStarted("e3", "m");
    m_scheduler.loadFinished("e3", "m", 5);
    addBatch("b", 1, 5);
    ASSERT_EQ(m_starts.size(), 1U);
    EXPECT_EQ(m_starts[0].expectedVersion, 5U);
    m_scheduler.runStarted(m_starts[0].run, 5, m_now);
    event(m_starts[0].run, 1);
    end(m_starts[0].run, RunEnd::Complete);
    addBatch("c", 1, 5);
    EXPECT_FALSE(m_starts.back().expectedVersion);
}

struct AssumedCase
{
    const char *name;
    std::optional<RunEnd> refusal; // of the first run; none: the engine accepts it
    Duration later; // after which the runs are counted
    std::size_t runs;
};

class AssumedLoadTest : public SampleSchedulerTest, public testing::WithParamInterface<AssumedCase>
{ };

// Replays a load that takes longer than usual while many samples wait: the engine refuses everything meanwhile.
TEST_P(AssumedLoadTest, OneRunAtATimeAsksAnEngineWhoseLoadIsNotConfirmed)
{
    setEngines({engine("e3", 4, 6)});
    m_scheduler.loadStarted("e3", "m");
    m_scheduler.loadFinished("e3", "m", 5);
    addBatch("b", 20, 5);
    ASSERT_EQ(m_starts.size(), 1U);
    if (GetParam().refusal) {
        end(m_starts[0].run, *GetParam().refusal);
    } else {
        m_scheduler.runStarted(m_starts[0].run, 5, m_now);
    }
    pass(GetParam().later);
    EXPECT_EQ(m_starts.size(), GetParam().runs);
}

INSTANTIATE_TEST_SUITE_P(Answers,
                         AssumedLoadTest,
                         testing::Values(AssumedCase{"Accepted", std::nullopt, 0ms, 6},
                                         AssumedCase{"Refused", RunEnd::NotExecuted, 10ms, 1},
                                         AssumedCase{"RefusedAndAskedAgain", RunEnd::NotExecuted, 110ms, 2},
                                         AssumedCase{"WrongVersion", RunEnd::WrongVersion, 160ms, 2}),
                         [](const auto &test) {
                             return test.param.name;
                         });

TEST_F(SampleSchedulerTest, AnEventUnderNewWeightsConfirmsTheirLoad)
{
    setEngines({engine("e3", 4, 6)});
    addBatch("a", 1);
    event(m_starts[0].run, 1, 4);
    m_scheduler.loadStarted("e3", "m");
    m_scheduler.loadFinished("e3", "m", 5);
    event(m_starts[0].run, 2, 5);
    addBatch("b", 4, 5);
    EXPECT_EQ(m_starts.size(), 5U);
    event(m_starts[0].run, 3, 5);
    end(m_starts[0].run, RunEnd::Complete);
    ASSERT_EQ(m_results.size(), 1U);
    EXPECT_EQ(m_results[0].versions, (std::vector<std::uint64_t>{4, 5}));
}

TEST_F(SampleSchedulerTest, VersionsMayMixOnlyWhereEveryOpenBatchAllowsIt)
{
    EXPECT_TRUE(m_scheduler.mayMixVersions("m"));
    addBatch("a", 1);
    EXPECT_TRUE(m_scheduler.mayMixVersions("m"));
    m_route.singleVersion = true;
    addBatch("b", 1);
    EXPECT_FALSE(m_scheduler.mayMixVersions("m"));
    EXPECT_TRUE(m_scheduler.mayMixVersions("other"));
    m_scheduler.endBatch("b");
    EXPECT_TRUE(m_scheduler.mayMixVersions("m"));
}

// Replays a step whose last runs sit on an engine that has turned several times slower than the other.
TEST_F(SampleSchedulerTest, ARunThatCrawlsMovesToAFreeFastEngine)
{
    addBatch("b", 2);
    ASSERT_NE(m_starts[0].engine, m_starts[1].engine);
    const RunId slow = m_starts[0].run;
    const RunId fast = m_starts[1].run;
    for (std::uint64_t id = 1; id <= 8; ++id) {
        m_now += 30ms;
        event(fast, id);
    }
    for (std::uint64_t id = 1; id <= 4; ++id) {
        m_now += 200ms;
        event(slow, id);
    }
    pass(50ms);
    EXPECT_TRUE(m_cancelled.contains(slow));
    ASSERT_EQ(m_starts.size(), 3U);
    EXPECT_EQ(m_starts[2].engine, m_starts[1].engine);
    EXPECT_EQ(m_starts[2].resumeAfter, 4U);
}

// Replays an owner that is lost in the middle of a long text.
TEST_F(SampleSchedulerTest, ANewOwnerGoesOnFromWhatWasSaved)
{
    addBatch("b", 1);
    for (std::uint64_t id = 1; id <= 4; ++id) {
        event(m_starts[0].run, id);
        pass(600ms);
    }
    ASSERT_EQ(m_saved.size(), 2U);
    EXPECT_EQ(m_saved[0].firstEvent, 1U);
    EXPECT_EQ(m_saved[1].firstEvent, m_saved[0].lastEvent + 1);
    const std::vector<batch::ItemProgress> saved = m_saved;

    SampleScheduler successor({});
    successor.setEngines({engine("e1", 6)}, m_now);
    successor.holdStarts();
    batch::Batch batch{.id = "b", .host = "h", .model = "m", .minVersion = 4};
    batch.items.push_back({.id = "b0", .path = "/p"});
    successor.addBatch(batch, {}, m_route, m_now);
    for (const batch::ItemProgress &progress : saved) {
        successor.restore(progress);
    }
    successor.releaseStarts(m_now);
    const std::vector<SchedulerAction> actions = successor.takeActions();
    ASSERT_EQ(actions.size(), 1U);
    const auto &start = std::get<StartRun>(actions[0]);
    EXPECT_EQ(start.resumeAfter, saved.back().lastEvent);
    successor.runEvent(start.run, saved.back().lastEvent + 1, "end", 6, m_now);
    successor.runEnded(start.run, RunEnd::Complete, m_now);
    const std::vector<SchedulerAction> ends = successor.takeActions();
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(std::get<ListResult>(ends[0]).result.text, "d1\nd2\nd3\nd4\nend");
    EXPECT_EQ(std::get<ListResult>(ends[0]).result.versions, (std::vector<std::uint64_t>{5, 6}));
}

TEST_F(SampleSchedulerTest, ProgressOfARunThatBeganAnewReplacesWhatWasSaved)
{
    m_scheduler.holdStarts();
    addBatch("b", 1);
    m_scheduler.restore({.batch = "b", .item = 0, .firstEvent = 1, .lastEvent = 3, .text = "a\nb\nc", .versions = {4}});
    m_scheduler.restore({.batch = "b", .item = 0, .firstEvent = 1, .lastEvent = 1, .text = "x", .versions = {5}});
    m_scheduler.releaseStarts(m_now);
    collect();
    ASSERT_EQ(m_starts.size(), 1U);
    EXPECT_EQ(m_starts[0].resumeAfter, 1U);
    event(m_starts[0].run, 2);
    end(m_starts[0].run, RunEnd::Complete);
    EXPECT_EQ(m_results.at(0).text, "x\nd2");
    EXPECT_EQ(m_results.at(0).versions, (std::vector<std::uint64_t>{5}));
}

// Replays an owner that started a moment ago and has not read the configuration yet.
TEST_F(SampleSchedulerTest, ItemsWithoutARouteWaitUntilTheRouteIsGone)
{
    addBatch("b", 3);
    m_scheduler.setRoute("b", std::nullopt);
    pass(10s);
    EXPECT_TRUE(m_results.empty());
    m_scheduler.routeGone("b");
    pass(50ms);
    EXPECT_EQ(m_results.size(), 3U);
    EXPECT_EQ(m_cancelled.size(), 3U);
}

TEST_F(SampleSchedulerTest, ItemsAreGivenUpOnlyAfterTheirRetention)
{
    m_route.retention = 10s;
    setEngines({});
    addBatch("b", 1);
    pass(9s);
    EXPECT_TRUE(m_results.empty());
    pass(2s);
    EXPECT_EQ(m_results.size(), 1U);
}

} // namespace
} // namespace bergamot::dispatch
