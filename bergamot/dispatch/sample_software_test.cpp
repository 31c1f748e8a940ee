// Tests that a text goes on only at engines of the software version that began it.

#include "bergamot/dispatch/internal/scheduler_fixture.h"

namespace bergamot::dispatch
{
namespace
{

class SampleSoftwareTest : public SampleSchedulerTest
{
protected:
    static EngineDescription
    softwareEngine(const std::string &id, const std::string &softwareVersion, std::uint64_t incarnation = 1)
    {
        EngineDescription description = engine(id, 5, 1);
        description.softwareVersion = softwareVersion;
        description.incarnation = incarnation;
        return description;
    }

    /// Starts an item at e1, the only engine, of version v1; it generates three events, one each 100 ms.
    void beginText()
    {
        setEngines({softwareEngine("e1", "v1")});
        addBatch("b", 1, 4, true);
        for (std::uint64_t event = 1; event <= 3; ++event) {
            advance(100ms);
            receiveEvent(m_starts.back().run, event);
        }
    }

    /// The run that generated the text breaks off.
    void breakOff()
    {
        endRun(m_starts.back().run, RunOutcome::StreamInterrupted);
    }
};

struct SuccessorCase
{
    const char *name;
    std::vector<EngineDescription> engines; // that are left when the run breaks off
    std::optional<std::uint64_t> resumeAfter; // of the next run
    std::string engine; // of the next run; empty: the text waits
    std::uint64_t discarded;
};

class SuccessorTest : public SampleSoftwareTest, public testing::WithParamInterface<SuccessorCase>
{
public:
    static std::vector<SuccessorCase> cases()
    {
        EngineDescription leaving = softwareEngine("e3", "v1");
        leaving.draining = true;
        EngineDescription other = softwareEngine("e3", "v1");
        other.service = "desk";
        return {{"SameVersion", {softwareEngine("e2", "v2"), softwareEngine("e3", "v1")}, 3, "e3", 0},
                {"NoneOfTheVersion", {softwareEngine("e2", "v2")}, std::nullopt, "e2", 3},
                {"ThirdVersion", {softwareEngine("e2", "v2"), softwareEngine("e3", "v3")}, std::nullopt, "e2", 3},
                {"VersionNotKnown", {softwareEngine("e2", "")}, std::nullopt, "e2", 3},
                {"OnlyALeavingOne", {softwareEngine("e2", "v2"), leaving}, std::nullopt, "e2", 3},
                {"OnlyInAnotherService", {softwareEngine("e2", "v2"), other}, std::nullopt, "e2", 3}};
    }
};

TEST_P(SuccessorTest, ATextGoesOnAtItsVersionOrStartsAnew)
{
    beginText();
    setEngines(GetParam().engines);
    ASSERT_EQ(m_starts.size(), 2U);
    EXPECT_EQ(m_starts.back().engine, GetParam().engine);
    EXPECT_EQ(m_starts.back().resumeAfter, GetParam().resumeAfter);
    EXPECT_EQ(m_starts.back().discardedEvents, GetParam().discarded);
}

INSTANTIATE_TEST_SUITE_P(Engines, SuccessorTest, testing::ValuesIn(SuccessorTest::cases()), [](const auto &test) {
    return test.param.name;
});

TEST_F(SampleSoftwareTest, ATextThatStartsAnewNamesOnlyItsOwnWeights)
{
    beginText();
    EngineDescription successor = softwareEngine("e2", "v2");
    successor.versions = {{"m", 6}};
    setEngines({successor});
    receiveEvent(m_starts.back().run, 1, 6);
    endRun(m_starts.back().run, RunOutcome::Complete);
    m_scheduler.scoringEnded(m_startedScorings.back(), ScoringOutcome::Scored, "score", m_now);
    collectActions();
    ASSERT_EQ(m_results.size(), 1U);
    EXPECT_EQ(m_results[0].text, "d1");
    EXPECT_EQ(m_results[0].versions, (std::vector<std::uint64_t>{6}));
}

TEST_F(SampleSoftwareTest, ATextBegunAtAnEngineWithoutAVersionNeverGoesOn)
{
    setEngines({softwareEngine("e1", "")});
    addBatch("b", 1);
    receiveEvent(m_starts.back().run, 1);
    breakOff();
    advance(5s);
    EXPECT_EQ(m_starts.back().resumeAfter, std::nullopt);
}

// The engines of the old version are busy; generating three events again takes 300 ms.
TEST_F(SampleSoftwareTest, ATextWaitsForABusyEngineAsLongAsGeneratingItAgainTakes)
{
    beginText();
    setEngines({softwareEngine("e1", "v1"), softwareEngine("e2", "v2")});
    breakOff(); // e1 is backed off
    advance(100ms);
    EXPECT_EQ(m_starts.size(), 1U);
    addBatch("c", 1); // another item may use e2 meanwhile
    ASSERT_EQ(m_starts.size(), 2U);
    EXPECT_EQ(m_starts.back().key.batch, "c");
    endRun(m_starts.back().run, RunOutcome::NotExecuted);
    advance(250ms);
    ASSERT_EQ(m_starts.size(), 3U);
    EXPECT_EQ(m_starts.back().key.batch, "b");
    EXPECT_EQ(m_starts.back().engine, "e2");
    EXPECT_EQ(m_starts.back().resumeAfter, std::nullopt);
}

TEST_F(SampleSoftwareTest, ATextGoesOnWhenAnEngineOfItsVersionIsFreeInTime)
{
    beginText();
    setEngines({softwareEngine("e1", "v1"), softwareEngine("e2", "v2")});
    breakOff();
    advance(100ms);
    setEngines({softwareEngine("e1", "v1"), softwareEngine("e2", "v2"), softwareEngine("e3", "v1")});
    ASSERT_EQ(m_starts.size(), 2U);
    EXPECT_EQ(m_starts.back().engine, "e3");
    EXPECT_EQ(m_starts.back().resumeAfter, 3U);
}

TEST_F(SampleSoftwareTest, ASlowRunDoesNotMoveToAnotherVersion)
{
    setEngines({softwareEngine("e1", "v1"), softwareEngine("e2", "v2")});
    addBatch("b", 2);
    ASSERT_EQ(m_starts.size(), 2U);
    for (std::uint64_t event = 1; event <= 8; ++event) {
        m_now += 30ms;
        receiveEvent(m_starts[1].run, event);
    }
    endRun(m_starts[1].run, RunOutcome::Complete);
    for (std::uint64_t event = 1; event <= 4; ++event) {
        m_now += 400ms;
        receiveEvent(m_starts[0].run, event);
    }
    advance(50ms);
    EXPECT_FALSE(m_cancelled.contains(m_starts[0].run));
}

TEST_F(SampleSoftwareTest, AGroupThatComesAgainInALaterBatchStartsFromItsBeginning)
{
    beginText();
    m_scheduler.endBatch("b");
    collectActions();
    setEngines({softwareEngine("e2", "v2")});
    addBatch("c", 1);
    EXPECT_EQ(m_starts.back().resumeAfter, std::nullopt);
}

struct RestoredCase
{
    const char *name;
    std::vector<batch::ItemProgress> progress;
    std::string engineVersion;
    std::optional<std::uint64_t> resumeAfter;
};

class RestoredTest : public SampleSoftwareTest, public testing::WithParamInterface<RestoredCase>
{
public:
    static batch::ItemProgress saved(std::uint64_t first, std::uint64_t last, const std::string &software)
    {
        return {.batch = "b",
                .firstEvent = first,
                .lastEvent = last,
                .text = "t",
                .versions = {5},
                .softwareVersion = software,
                .continued = first > 1};
    }
    static std::vector<RestoredCase> cases()
    {
        return {{"SameVersion", {saved(1, 2, "v1"), saved(3, 4, "v1")}, "v1", 4},
                {"OtherVersion", {saved(1, 2, "v1")}, "v2", std::nullopt},
                {"StartedAnew", {saved(1, 4, "v1"), saved(1, 2, "v2")}, "v2", 2},
                {"VersionNotSaved", {saved(1, 2, "")}, "v1", std::nullopt},
                {"FirstPartUnreadable", {saved(3, 4, "v1")}, "v1", std::nullopt},
                {"MiddlePartUnreadable", {saved(1, 2, "v1"), saved(5, 6, "v1")}, "v1", 2},
                {"PartOfAnotherVersion", {saved(1, 2, "v1"), saved(3, 4, "v2")}, "v1", 2}};
    }
};

TEST_P(RestoredTest, ANewOwnerResumesOnlyWhatFits)
{
    setEngines({softwareEngine("e1", GetParam().engineVersion)});
    m_scheduler.holdStarts();
    addBatch("b", 1);
    for (const batch::ItemProgress &progress : GetParam().progress) {
        m_scheduler.restoreProgress(progress);
    }
    m_scheduler.releaseStarts(m_now);
    collectActions();
    ASSERT_EQ(m_starts.size(), 1U);
    EXPECT_EQ(m_starts[0].resumeAfter, GetParam().resumeAfter);
}

INSTANTIATE_TEST_SUITE_P(Saved, RestoredTest, testing::ValuesIn(RestoredTest::cases()), [](const auto &test) {
    return test.param.name;
});

struct RebornCase
{
    const char *name;
    bool provenAlive; // a heartbeat of the first process was written after the text began
    bool complete; // the text waits for its score when the entry of the next process is read
    const char *software; // of the next process
    bool kept;
};

class RebornTest : public SampleSoftwareTest, public testing::WithParamInterface<RebornCase>
{ };

// An engine starts again under its id, and its entry is read after events of a run that it may have answered.
TEST_P(RebornTest, ATextThatTheNextProcessMayHaveContinuedStartsAnew)
{
    beginText();
    setEngines({softwareEngine("e1", "v1"), softwareEngine("e3", "v1")});
    if (GetParam().provenAlive) {
        m_scheduler.engineAlive("e1", 1, m_now);
    }
    if (GetParam().complete) {
        endRun(m_starts.back().run, RunOutcome::Complete);
    } else {
        breakOff();
    }
    setEngines({softwareEngine("e1", GetParam().software, 2), softwareEngine("e3", "v1")});
    if (GetParam().complete) {
        EXPECT_EQ(m_cancelledScorings.empty(), GetParam().kept);
        EXPECT_EQ(m_starts.size(), GetParam().kept ? 1U : 2U);
        return;
    }
    ASSERT_GE(m_starts.size(), 2U);
    EXPECT_EQ(m_starts.back().resumeAfter, GetParam().kept ? std::optional<std::uint64_t>(3) : std::nullopt);
}

INSTANTIATE_TEST_SUITE_P(Processes,
                         RebornTest,
                         testing::Values(RebornCase{"OtherSoftware", false, false, "v2", false},
                                         RebornCase{"OtherSoftwareScoring", false, true, "v2", false},
                                         RebornCase{"SameSoftware", false, false, "v1", true},
                                         RebornCase{"Proven", true, false, "v2", true},
                                         RebornCase{"ProvenScoring", true, true, "v2", true}),
                         [](const auto &test) {
                             return test.param.name;
                         });

} // namespace
} // namespace bergamot::dispatch
