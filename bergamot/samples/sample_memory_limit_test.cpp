#include <gtest/gtest.h>

#include "bergamot/samples/internal/simulation_options.h"

namespace bergamot
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::minutes;

constexpr std::size_t TextBytes = 80; // longest text in these tests
constexpr std::size_t Slots = 18;

struct MemoryCase
{
    std::string name;
    std::size_t maxHeldBytes;
    std::vector<bool> neverDraws; // trainers that submit their first step and never draw
};

SampleSimulationOptions simulationOptions(const MemoryCase &memoryCase)
{
    std::vector<TrainerModelOptions> trainers;
    for (std::size_t i = 0; i < memoryCase.neverDraws.size(); ++i) {
        const auto share = static_cast<std::uint32_t>(100 / memoryCase.neverDraws.size());
        trainers.push_back(trainerOptions("t" + std::to_string(i), share));
        trainers.back().config.stalenessBound = 8;
        trainers.back().groups = 16;
    }
    SampleSimulationOptions options = simulationOptions(std::move(trainers));
    options.scheduler.maxHeldBytes = memoryCase.maxHeldBytes;
    return options;
}

class HeldTexts : public testing::TestWithParam<MemoryCase>
{ };

TEST_P(HeldTexts, stayWithinTheLimitAndNoSampleIsLost)
{
    const MemoryCase &memoryCase = GetParam();
    SampleSimulation simulation(simulationOptions(memoryCase));
    std::uint64_t expected = 0;
    for (std::size_t i = 0; i < memoryCase.neverDraws.size(); ++i) {
        const TrainerModel &trainer = simulation.trainer(i);
        simulation.pause(i, memoryCase.neverDraws[i]);
        expected += memoryCase.neverDraws[i] ? 0 : 64 * trainer.options().steps;
        if (memoryCase.neverDraws[i]) {
            simulation.submit(i);
        }
    }
    // In addition to the limit: samples in flight, and samples of a draw that the trainer has not confirmed.
    const std::size_t onTop = (Slots + 64 * memoryCase.neverDraws.size()) * (TextBytes + FinishedSampleBytes);
    for (const TimePoint end = simulation.now() + minutes(20);
         simulation.now() < end && simulation.received() < expected;) {
        simulation.run(milliseconds(200));
        ASSERT_LE(simulation.scheduler().heldBytes(), memoryCase.maxHeldBytes + onTop) << memoryCase.name;
    }
    EXPECT_EQ(simulation.received(), expected) << memoryCase.name;
    EXPECT_EQ(simulation.violations().sum(), 0U) << memoryCase.name;
}

INSTANTIATE_TEST_SUITE_P(Table,
                         HeldTexts,
                         testing::Values(MemoryCase{"all samples fit", 1U << 20U, {false, false, false}},
                                         MemoryCase{"only some samples fit", 20U << 10U, {false, false, false}},
                                         MemoryCase{"one trainer never draws", 20U << 10U, {true, false, false}},
                                         MemoryCase{"two never draw", 20U << 10U, {true, true, false}}));

TEST(HeldTexts, ofATrainerThatNeverDrawsStayWithinTheLimit)
{
    SampleSimulation simulation(simulationOptions({"nobody draws", 20U << 10U, {true, true}}));
    for (std::size_t i = 0; i < 2; ++i) {
        simulation.pause(i, true);
        simulation.submit(i);
    }
    simulation.run(minutes(10));
    EXPECT_LE(simulation.scheduler().heldBytes(), 20U << 10U);
    for (std::size_t i = 0; i < 2; ++i) {
        const TrainerId trainer("t" + std::to_string(i));
        const StepStatus status = simulation.scheduler().status(trainer).front().second;
        EXPECT_GT(status.ready, 0U);
        EXPECT_GT(status.waiting, 0U) << "the limit does not allow all of them";
        EXPECT_EQ(status.inFlight, 0U);
    }
}

TEST(HeldPrompts, areRejectedWithARetryDelay)
{
    SampleSimulationOptions options = simulationOptions({"one", 3000, {true}});
    SampleSimulation simulation(options);
    simulation.pause(0, true);
    const StepSpec large = makeStepSpec({{std::string(1600, 'p'), 1, 10}});
    const StepKey first{TrainerId("t0"), 1};
    const StepKey second{TrainerId("t0"), 2};
    EXPECT_FALSE(simulation.scheduler().submit(first, large, "", simulation.now())) << "more than half of the limit";
    const StepSpec small = makeStepSpec({{std::string(1400, 'p'), 1, 10}});
    ASSERT_TRUE(simulation.scheduler().submit(first, small, "", simulation.now()));
    ASSERT_TRUE(simulation.scheduler().submit(first, small, "", simulation.now()))
        << "a repeated submission needs no additional memory";
    const Result<StepStatus> refused = simulation.scheduler().submit(second, small, "", simulation.now());
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().code, ErrorCode::Overloaded);
    EXPECT_TRUE(refused.error().retryAfter);
    EXPECT_EQ(simulation.scheduler().status(TrainerId("t0")).size(), 1U) << "nothing of the rejected step is kept";
    simulation.scheduler().drop(first, simulation.now());
    EXPECT_TRUE(simulation.scheduler().submit(second, small, "", simulation.now()));
}

} // namespace
} // namespace bergamot
