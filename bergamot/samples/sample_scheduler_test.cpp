#include "bergamot/samples/sample_scheduler.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

using std::chrono::seconds;

const TrainerId Trainer("quotes");

/// Uses one engine with four slots. The tests report the ends of generations themselves.
class SampleSchedulerTest : public testing::Test
{
protected:
    SampleSchedulerTest()
        : m_scheduler(options())
    {
        m_fleet.engines = {{.engine = EndpointId("e0"),
                            .model = ModelId("agent"),
                            .address = {"127.0.0.1", 1},
                            .version = 4,
                            .slots = 4}};
        TrainerConfig trainer;
        trainer.trainer = Trainer;
        trainer.model = ModelId("agent");
        m_fleet.trainers[Trainer] = trainer;
        m_scheduler.setFleet(m_fleet, m_now);
    }

    static SchedulerOptions options()
    {
        SchedulerOptions result;
        result.instance = "i1";
        return result;
    }

    static StepSpec spec(std::uint32_t samples = 4)
    {
        return makeStepSpec({{"a prompt", samples, 10}});
    }

    Result<StepStatus> submit(std::uint64_t step, const std::string &cursor = "")
    {
        return m_scheduler.submit({Trainer, step}, spec(), cursor, m_now);
    }

    Result<void> draw(std::uint64_t id, std::uint64_t step, const std::string &cursor, std::uint32_t max = 2)
    {
        return m_scheduler.draw({.drawId = id,
                                 .step = {Trainer, step},
                                 .cursor = cursor,
                                 .trainerVersion = 4,
                                 .max = max,
                                 .deadline = m_now + seconds(5)},
                                m_now);
    }

    /// Takes the scheduler's actions and sorts them by kind.
    void collect()
    {
        for (SchedulerAction &action : m_scheduler.takeActions()) {
            if (auto *start = std::get_if<StartGeneration>(&action)) {
                m_started.push_back(start->request.requestId);
            } else if (auto *cancel = std::get_if<CancelGeneration>(&action)) {
                m_cancelled.push_back(cancel->requestId);
            } else if (auto *exported = std::get_if<ExportGeneration>(&action)) {
                m_exported.push_back(exported->requestId);
            } else if (auto *reply = std::get_if<AnswerDraw>(&action)) {
                m_answers[reply->drawId] = std::move(*reply);
            }
        }
    }

    void endAll(WeightVersion version = 4)
    {
        collect();
        for (const std::string &request : std::exchange(m_started, {})) {
            m_scheduler.generationEnded(request, Generation{"some text", {{version, 5}}, "stop"}, m_now);
        }
        collect();
    }

    static std::vector<std::string> names(const AnswerDraw &answer)
    {
        std::vector<std::string> result;
        for (const DeliveredSample &deliveredSample : answer.samples) {
            result.push_back(toText(deliveredSample.id));
        }
        return result;
    }

    TimePoint m_now{seconds(1000)};
    SampleScheduler m_scheduler;
    FleetState m_fleet;
    std::vector<std::string> m_started;
    std::vector<std::string> m_cancelled;
    std::vector<std::string> m_exported;
    std::map<std::uint64_t, AnswerDraw> m_answers;
};

TEST_F(SampleSchedulerTest, submittingAStepIsIdempotent)
{
    ASSERT_TRUE(submit(1));
    ASSERT_TRUE(submit(1));
    collect();
    EXPECT_EQ(m_started.size(), 4U);
    const Result<StepStatus> other = m_scheduler.submit({Trainer, 1}, spec(5), "", m_now);
    ASSERT_FALSE(other);
    EXPECT_EQ(other.error().code, ErrorCode::Conflict);
}

TEST_F(SampleSchedulerTest, aRepeatedDrawGetsTheSameBatch)
{
    ASSERT_TRUE(submit(1));
    endAll();
    ASSERT_TRUE(draw(1, 1, "", 2));
    ASSERT_TRUE(draw(2, 1, "", 4));
    collect();
    ASSERT_EQ(m_answers.size(), 2U);
    EXPECT_EQ(names(m_answers[1]).size(), 2U);
    EXPECT_EQ(names(m_answers[1]), names(m_answers[2]));
    EXPECT_EQ(m_answers[1].cursor, m_answers[2].cursor);
}

TEST_F(SampleSchedulerTest, theCursorSelectsTheRemainingSamples)
{
    ASSERT_TRUE(submit(1));
    endAll();
    ASSERT_TRUE(draw(1, 1, "", 3));
    collect();
    EXPECT_FALSE(m_answers[1].done);
    ASSERT_TRUE(draw(2, 1, m_answers[1].cursor, 3));
    collect();
    EXPECT_EQ(names(m_answers[2]).size(), 1U);
    EXPECT_TRUE(m_answers[2].done);
}

struct RefusedDraw
{
    std::string name;
    std::uint64_t step;
    std::string cursor;
    ErrorCode code;
};

class DrawRefusal : public SampleSchedulerTest, public testing::WithParamInterface<RefusedDraw>
{ };

TEST_P(DrawRefusal, returnsTheErrorCode)
{
    ASSERT_TRUE(submit(1));
    const Result<void> drawn = draw(1, GetParam().step, GetParam().cursor);
    ASSERT_FALSE(drawn) << GetParam().name;
    EXPECT_EQ(drawn.error().code, GetParam().code);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    DrawRefusal,
    testing::Values(
        RefusedDraw{"unknown step", 2, "", ErrorCode::NotFound},
        RefusedDraw{"malformed cursor", 1, "malformed", ErrorCode::InvalidArgument},
        RefusedDraw{"cursor of another step", 1, encodeCursor(Cursor({Trainer, 9}, 1, 4)), ErrorCode::Conflict},
        RefusedDraw{"cursor of other groups", 1, encodeCursor(Cursor({Trainer, 1}, 1, 4)), ErrorCode::Conflict}));

TEST_F(SampleSchedulerTest, aBatchIsLimitedInBytesAndRepeatedUnchanged)
{
    SchedulerOptions few = options();
    few.maxBatchBytes = 10; // "some text" has nine bytes
    m_scheduler = SampleScheduler(few);
    m_scheduler.setFleet(m_fleet, m_now);
    ASSERT_TRUE(submit(1));
    endAll();
    ASSERT_TRUE(draw(1, 1, "", 4));
    ASSERT_TRUE(draw(2, 1, "", 4));
    collect();
    EXPECT_EQ(m_answers[1].samples.size(), 2U);
    EXPECT_EQ(names(m_answers[2]), names(m_answers[1]));
    ASSERT_TRUE(draw(3, 1, m_answers[1].cursor, 4));
    collect();
    EXPECT_EQ(m_answers[3].samples.size(), 2U);
    EXPECT_TRUE(m_answers[3].done);
}

TEST_F(SampleSchedulerTest, aNewOwnerGeneratesOnlySamplesNotInTheCursor)
{
    Cursor cursor({Trainer, 1}, spec().digest, 4);
    cursor.mark(0);
    cursor.mark(2);
    ASSERT_TRUE(submit(1, encodeCursor(cursor)));
    collect();
    EXPECT_EQ(m_started.size(), 2U);
}

TEST_F(SampleSchedulerTest, aDrawFromALaterStepRemovesTheDeliveredOne)
{
    ASSERT_TRUE(submit(1));
    endAll();
    ASSERT_TRUE(draw(1, 1, "", 4));
    ASSERT_TRUE(submit(2));
    ASSERT_TRUE(draw(2, 2, ""));
    ASSERT_EQ(m_scheduler.status(Trainer).size(), 1U);
    EXPECT_EQ(m_scheduler.status(Trainer)[0].first.step, 2U);
}

TEST_F(SampleSchedulerTest, stepsOfOneTrainerAreLimited)
{
    for (std::uint64_t step = 1; step <= StepLimits().maxStepsPerTrainer; ++step) {
        ASSERT_TRUE(submit(step));
    }
    const Result<StepStatus> more = submit(99);
    ASSERT_FALSE(more);
    EXPECT_EQ(more.error().code, ErrorCode::Overloaded);
}

TEST_F(SampleSchedulerTest, aLoweredBoundCancelsSamplesThatWouldBeTooOld)
{
    ASSERT_TRUE(submit(1));
    collect();
    m_fleet.engines[0].version = 5;
    m_scheduler.setFleet(m_fleet, m_now);
    collect();
    EXPECT_TRUE(m_cancelled.empty());
    m_fleet.trainers[Trainer].stalenessBound = 0;
    m_scheduler.setFleet(m_fleet, m_now);
    collect();
    EXPECT_EQ(m_cancelled.size(), 4U);
    EXPECT_EQ(m_started.size(), 8U) << "cancelled samples are started again";
}

TEST_F(SampleSchedulerTest, noSampleAboveTheBoundIsDelivered)
{
    ASSERT_TRUE(submit(1));
    endAll(2); // two versions behind the version in the engine's last report
    ASSERT_TRUE(draw(1, 1, "", 4));
    collect();
    EXPECT_FALSE(m_answers.contains(1));
    EXPECT_EQ(m_scheduler.counters().discardedTooOld, 4U);
    endAll(4);
    ASSERT_TRUE(m_answers.contains(1));
    ASSERT_EQ(m_answers[1].samples.size(), 1U) << "a waiting draw is answered with the first one";
    EXPECT_EQ(m_answers[1].samples[0].staleness, 0U);
}

TEST_F(SampleSchedulerTest, anUnprovenSampleIsReplacedAndFinallyGivenUp)
{
    ASSERT_TRUE(submit(1));
    for (int i = 0; i < 8; ++i) {
        endAll(0);
    }
    EXPECT_EQ(m_scheduler.counters().discardedUnproven, 32U);
    ASSERT_TRUE(draw(1, 1, "", 4));
    collect();
    EXPECT_EQ(m_answers[1].failed.size(), 4U);
    EXPECT_TRUE(m_answers[1].done);
}

TEST_F(SampleSchedulerTest, aFailedExportIsNotRepeated)
{
    ASSERT_TRUE(submit(1));
    collect();
    m_fleet.engines[0].leaving = true;
    m_fleet.engines.push_back(m_fleet.engines[0]);
    m_fleet.engines[1].engine = EndpointId("e1");
    m_fleet.engines[1].leaving = false;
    m_scheduler.setFleet(m_fleet, m_now);
    collect();
    ASSERT_EQ(m_exported.size(), 4U);
    for (const std::string &request : m_exported) {
        m_scheduler.exportEnded(request, failure(ErrorCode::Unavailable, "no"), m_now);
    }
    m_scheduler.tick(m_now);
    collect();
    EXPECT_EQ(m_exported.size(), 4U);
}

TEST_F(SampleSchedulerTest, anEngineIsPausedAfterARejection)
{
    ASSERT_TRUE(submit(1));
    collect();
    for (const std::string &request : std::exchange(m_started, {})) {
        m_scheduler.generationEnded(request, failure(ErrorCode::Unavailable, "no"), m_now);
    }
    collect();
    EXPECT_TRUE(m_started.empty());
    m_scheduler.tick(m_now + seconds(1));
    collect();
    EXPECT_EQ(m_started.size(), 4U);
}

TEST_F(SampleSchedulerTest, aDrawIsAnsweredByItsDeadline)
{
    ASSERT_TRUE(submit(1));
    ASSERT_TRUE(draw(1, 1, ""));
    m_scheduler.tick(m_now + seconds(4));
    collect();
    EXPECT_FALSE(m_answers.contains(1));
    m_scheduler.tick(m_now + seconds(5));
    collect();
    ASSERT_TRUE(m_answers.contains(1));
    EXPECT_TRUE(m_answers[1].samples.empty());
}

} // namespace
} // namespace bergamot
