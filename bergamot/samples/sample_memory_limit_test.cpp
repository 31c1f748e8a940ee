#include <gtest/gtest.h>

#include "bergamot/samples/internal/simulation_options.h"

namespace bergamot
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::minutes;

constexpr std::size_t TextBytes = 80; // the longest text of a trainer of these tests
constexpr std::size_t Slots = 18;

struct HoldingCase
{
    std::string name;
    std::size_t maxHeldBytes;
    std::vector<bool> away; // trainers that hand their first step in and never draw
};

SampleWorldOptions worldOptions(const HoldingCase &wanted)
{
    std::vector<TrainerModelOptions> trainers;
    for (std::size_t i = 0; i < wanted.away.size(); ++i) {
        const auto share = static_cast<std::uint32_t>(100 / wanted.away.size());
        trainers.push_back(trainerOptions("t" + std::to_string(i), share));
        trainers.back().config.stalenessBound = 8;
        trainers.back().groups = 16;
    }
    SampleWorldOptions options = worldOptions(std::move(trainers));
    options.scheduler.maxHeldBytes = wanted.maxHeldBytes;
    return options;
}

class HeldTexts : public testing::TestWithParam<HoldingCase>
{ };

TEST_P(HeldTexts, stayWithinTheBoundAndNoneIsLost)
{
    const HoldingCase &wanted = GetParam();
    SampleWorld world(worldOptions(wanted));
    std::uint64_t expected = 0;
    for (std::size_t i = 0; i < wanted.away.size(); ++i) {
        const TrainerModel &trainer = world.trainer(i);
        world.pause(i, wanted.away[i]);
        expected += wanted.away[i] ? 0 : 64 * trainer.options().steps;
        if (wanted.away[i]) {
            world.handIn(i);
        }
    }
    // On top: what runs, and what a draw has taken but its trainer has not confirmed.
    const std::size_t onTop = (Slots + 64 * wanted.away.size()) * (TextBytes + FinishedSampleBytes);
    for (const TimePoint end = world.now() + minutes(20); world.now() < end && world.received() < expected;) {
        world.run(milliseconds(200));
        ASSERT_LE(world.scheduler().heldBytes(), wanted.maxHeldBytes + onTop) << wanted.name;
    }
    EXPECT_EQ(world.received(), expected) << wanted.name;
    EXPECT_EQ(world.violations().sum(), 0U) << wanted.name;
}

INSTANTIATE_TEST_SUITE_P(Table,
                         HeldTexts,
                         testing::Values(HoldingCase{"room for all", 1U << 20U, {false, false, false}},
                                         HoldingCase{"room for a few", 20U << 10U, {false, false, false}},
                                         HoldingCase{"one trainer never draws", 20U << 10U, {true, false, false}},
                                         HoldingCase{"two never draw", 20U << 10U, {true, true, false}}));

TEST(HeldTexts, ofATrainerThatNeverDrawsStayWithinTheBound)
{
    SampleWorld world(worldOptions({"nobody draws", 20U << 10U, {true, true}}));
    for (std::size_t i = 0; i < 2; ++i) {
        world.pause(i, true);
        world.handIn(i);
    }
    world.run(minutes(10));
    EXPECT_LE(world.scheduler().heldBytes(), 20U << 10U);
    for (std::size_t i = 0; i < 2; ++i) {
        const TrainerId trainer("t" + std::to_string(i));
        const StepStatus status = world.scheduler().status(trainer).front().second;
        EXPECT_GT(status.ready, 0U);
        EXPECT_GT(status.waiting, 0U) << "there is no room for all of them";
        EXPECT_EQ(status.inFlight, 0U);
    }
}

TEST(HeldPrompts, areRefusedWithATimeToComeAgain)
{
    SampleWorldOptions options = worldOptions({"one", 3000, {true}});
    SampleWorld world(options);
    world.pause(0, true);
    const StepSpec large = makeStepSpec({{std::string(1600, 'p'), 1, 10}});
    const StepKey first{TrainerId("t0"), 1};
    const StepKey second{TrainerId("t0"), 2};
    EXPECT_FALSE(world.scheduler().handIn(first, large, "", world.now())) << "more than half of the bound";
    const StepSpec small = makeStepSpec({{std::string(1400, 'p'), 1, 10}});
    ASSERT_TRUE(world.scheduler().handIn(first, small, "", world.now()));
    ASSERT_TRUE(world.scheduler().handIn(first, small, "", world.now())) << "a step that is known takes no more room";
    const Result<StepStatus> refused = world.scheduler().handIn(second, small, "", world.now());
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().code, ErrorCode::Overloaded);
    EXPECT_TRUE(refused.error().retryAfter);
    EXPECT_EQ(world.scheduler().status(TrainerId("t0")).size(), 1U) << "nothing of the refused one stays";
    world.scheduler().drop(first, world.now());
    EXPECT_TRUE(world.scheduler().handIn(second, small, "", world.now()));
}

} // namespace
} // namespace bergamot
