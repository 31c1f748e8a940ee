#include <gtest/gtest.h>

#include "bergamot/samples/internal/simulation_options.h"

namespace bergamot
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

SampleWorldOptions oneTrainer()
{
    return worldOptions({trainerOptions("quotes", 100)});
}

struct FailureCase
{
    std::string name;
    std::function<void(SampleWorldOptions &options)> prepare;
    std::function<void(SampleWorld &world)> inject; // after three seconds, in the middle of the first step
};

void noPreparation(SampleWorldOptions &)
{ }

class SampleFailure : public testing::TestWithParam<FailureCase>
{ };

/// Whatever fails, every step completes, every sample arrives once, rightly labelled and within its bound.
TEST_P(SampleFailure, breaksNoPromise)
{
    SampleWorldOptions options = oneTrainer();
    GetParam().prepare(options);
    SampleWorld world(options);
    world.run(seconds(3));
    ASSERT_GT(world.received(), 0U);
    ASSERT_FALSE(world.trainer(0).isFinished());
    GetParam().inject(world);
    EXPECT_TRUE(world.runUntilFinished(minutes(10)));
    EXPECT_EQ(world.violations().twice, 0U);
    EXPECT_EQ(world.violations().tooOld, 0U);
    EXPECT_EQ(world.violations().wrongLabels, 0U);
    EXPECT_EQ(world.violations().wrongSample, 0U);
    EXPECT_TRUE(world.trainer(0).failures().empty());
}

void fault(SampleWorld &world, std::uint16_t engine, const FaultCommand &command)
{
    ASSERT_TRUE(world.engines().apply(SampleWorld::address(engine), command));
}

void everyEngine(SampleWorld &world, const FaultCommand &command)
{
    for (std::uint16_t engine = 0; engine < 9; ++engine) {
        fault(world, engine, command);
    }
}

void cutDomain(SampleWorld &world)
{
    for (const std::uint16_t engine : {0, 3, 6}) {
        world.cutOff(engine, true);
    }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    SampleFailure,
    testing::Values(FailureCase{"nothing fails", noPreparation, [](SampleWorld &) {}},
                    FailureCase{"an engine crashes in the middle of a group",
                                noPreparation,
                                [](SampleWorld &world) {
                                    fault(world, 0, {.fault = "crash", .duration = seconds(3)});
                                }},
                    FailureCase{"every engine crashes",
                                noPreparation,
                                [](SampleWorld &world) {
                                    everyEngine(world, {.fault = "crash", .duration = seconds(3)});
                                }},
                    FailureCase{"swaps come in the middle of samples",
                                [](SampleWorldOptions &options) {
                                    options.trainers[0].trainTime = milliseconds(500);
                                    options.trainers[0].steps = 12;
                                },
                                [](SampleWorld &) {}},
                    FailureCase{"swaps fail half-way",
                                noPreparation,
                                [](SampleWorld &world) {
                                    everyEngine(world, {.fault = "fail-swap", .count = 1});
                                }},
                    FailureCase{"swaps fail half-way and leave no weights",
                                noPreparation,
                                [](SampleWorld &world) {
                                    everyEngine(world, {.fault = "fail-swap", .count = 1, .text = "unusable"});
                                }},
                    FailureCase{"the owner is killed and replaced",
                                noPreparation,
                                [](SampleWorld &world) {
                                    world.replaceOwner();
                                }},
                    FailureCase{"the owner is replaced each second",
                                noPreparation,
                                [](SampleWorld &world) {
                                    for (int i = 0; i < 5; ++i) {
                                        world.replaceOwner();
                                        world.run(seconds(1));
                                    }
                                }},
                    FailureCase{"replies to draws are lost",
                                noPreparation,
                                [](SampleWorld &world) {
                                    world.loseAnswers(3);
                                }},
                    FailureCase{"a reply is lost and the owner replaced",
                                noPreparation,
                                [](SampleWorld &world) {
                                    world.loseAnswers(1);
                                    world.run(milliseconds(300));
                                    world.replaceOwner();
                                }},
                    FailureCase{"each draw is sent twice",
                                noPreparation,
                                [](SampleWorld &world) {
                                    world.doubleDraws();
                                }},
                    FailureCase{"the trainer restarts in the middle of a step",
                                noPreparation,
                                [](SampleWorld &world) {
                                    world.trainer(0).checkpoint();
                                    world.run(milliseconds(700));
                                    world.trainer(0).restart();
                                }},
                    FailureCase{"the trainer restarts and has nothing",
                                noPreparation,
                                [](SampleWorld &world) {
                                    world.trainer(0).restart();
                                }},
                    FailureCase{"a failure domain is cut off with half a step in it",
                                [](SampleWorldOptions &options) {
                                    options.scheduler.sampleTimeout = seconds(20);
                                },
                                cutDomain},
                    FailureCase{"answers of an engine are lost",
                                noPreparation,
                                [](SampleWorld &world) {
                                    fault(world, 4, {.fault = "close", .call = "generate", .count = 5});
                                }},
                    FailureCase{"an engine refuses work",
                                noPreparation,
                                [](SampleWorld &world) {
                                    fault(world, 4, {.fault = "out", .call = "generate"});
                                }},
                    FailureCase{"exports fail",
                                noPreparation,
                                [](SampleWorld &world) {
                                    everyEngine(world, {.fault = "out", .call = "export"});
                                    fault(world, 2, {.fault = "slow-slots", .count = 2, .duration = seconds(1)});
                                }},
                    FailureCase{"an engine becomes slow",
                                noPreparation,
                                [](SampleWorld &world) {
                                    fault(world, 2, {.fault = "slow-slots", .count = 2, .duration = seconds(1)});
                                }},
                    FailureCase{"the bound is tightened in flight",
                                noPreparation,
                                [](SampleWorld &world) {
                                    world.run(seconds(12));
                                    world.setBound(0, 0);
                                }}),
    [](const testing::TestParamInfo<FailureCase> &failureCase) {
        std::string name = failureCase.param.name;
        std::replace_if(
            name.begin(),
            name.end(),
            [](char letter) {
                return std::isalnum(static_cast<unsigned char>(letter)) == 0;
            },
            '_');
        return name;
    });

} // namespace
} // namespace bergamot
