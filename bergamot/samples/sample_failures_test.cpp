#include <gtest/gtest.h>

#include "bergamot/samples/internal/simulation_options.h"

namespace bergamot
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

SampleSimulationOptions oneTrainer()
{
    return simulationOptions({trainerOptions("quotes", 100)});
}

struct FailureCase
{
    std::string name;
    std::function<void(SampleSimulationOptions &options)> prepare;
    std::function<void(SampleSimulation &simulation)>
        inject; // runs after three seconds, in the middle of the first step
};

void keepOptions(SampleSimulationOptions &)
{ }

class SampleFailure : public testing::TestWithParam<FailureCase>
{ };

/// With each fault, every step completes, and every sample is received once, with correct versions and within its
/// bound.
TEST_P(SampleFailure, violatesNoGuarantee)
{
    SampleSimulationOptions options = oneTrainer();
    GetParam().prepare(options);
    SampleSimulation simulation(options);
    simulation.run(seconds(3));
    ASSERT_GT(simulation.received(), 0U);
    ASSERT_FALSE(simulation.trainer(0).isFinished());
    GetParam().inject(simulation);
    EXPECT_TRUE(simulation.runUntilFinished(minutes(10)));
    EXPECT_EQ(simulation.violations().duplicates, 0U);
    EXPECT_EQ(simulation.violations().tooOld, 0U);
    EXPECT_EQ(simulation.violations().wrongLabels, 0U);
    EXPECT_EQ(simulation.violations().wrongSample, 0U);
    EXPECT_TRUE(simulation.trainer(0).failures().empty());
}

void fault(SampleSimulation &simulation, std::uint16_t engine, const FaultCommand &command)
{
    ASSERT_TRUE(simulation.engines().apply(SampleSimulation::address(engine), command));
}

void applyToAllEngines(SampleSimulation &simulation, const FaultCommand &command)
{
    for (std::uint16_t engine = 0; engine < 9; ++engine) {
        fault(simulation, engine, command);
    }
}

void disconnectDomain(SampleSimulation &simulation)
{
    for (const std::uint16_t engine : {0, 3, 6}) {
        simulation.setDisconnected(engine, true);
    }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    SampleFailure,
    testing::Values(FailureCase{"nothing fails", keepOptions, [](SampleSimulation &) {}},
                    FailureCase{"an engine crashes in the middle of a group",
                                keepOptions,
                                [](SampleSimulation &simulation) {
                                    fault(simulation, 0, {.fault = "crash", .duration = seconds(3)});
                                }},
                    FailureCase{"every engine crashes",
                                keepOptions,
                                [](SampleSimulation &simulation) {
                                    applyToAllEngines(simulation, {.fault = "crash", .duration = seconds(3)});
                                }},
                    FailureCase{"weight swaps happen during samples",
                                [](SampleSimulationOptions &options) {
                                    options.trainers[0].trainTime = milliseconds(500);
                                    options.trainers[0].steps = 12;
                                },
                                [](SampleSimulation &) {}},
                    FailureCase{"swaps fail half-way",
                                keepOptions,
                                [](SampleSimulation &simulation) {
                                    applyToAllEngines(simulation, {.fault = "fail-swap", .count = 1});
                                }},
                    FailureCase{"swaps fail half-way and leave no usable weights",
                                keepOptions,
                                [](SampleSimulation &simulation) {
                                    applyToAllEngines(simulation,
                                                      {.fault = "fail-swap", .count = 1, .text = "unusable"});
                                }},
                    FailureCase{"the owner is killed and replaced",
                                keepOptions,
                                [](SampleSimulation &simulation) {
                                    simulation.replaceOwner();
                                }},
                    FailureCase{"the owner is replaced each second",
                                keepOptions,
                                [](SampleSimulation &simulation) {
                                    for (int i = 0; i < 5; ++i) {
                                        simulation.replaceOwner();
                                        simulation.run(seconds(1));
                                    }
                                }},
                    FailureCase{"replies to draws are lost",
                                keepOptions,
                                [](SampleSimulation &simulation) {
                                    simulation.dropReplies(3);
                                }},
                    FailureCase{"a reply is lost and the owner replaced",
                                keepOptions,
                                [](SampleSimulation &simulation) {
                                    simulation.dropReplies(1);
                                    simulation.run(milliseconds(300));
                                    simulation.replaceOwner();
                                }},
                    FailureCase{"each draw is sent twice",
                                keepOptions,
                                [](SampleSimulation &simulation) {
                                    simulation.duplicateDraws();
                                }},
                    FailureCase{"the trainer restarts in the middle of a step",
                                keepOptions,
                                [](SampleSimulation &simulation) {
                                    simulation.trainer(0).checkpoint();
                                    simulation.run(milliseconds(700));
                                    simulation.trainer(0).restart();
                                }},
                    FailureCase{"the trainer restarts without a checkpoint",
                                keepOptions,
                                [](SampleSimulation &simulation) {
                                    simulation.trainer(0).restart();
                                }},
                    FailureCase{"a failure domain is disconnected with half a step in it",
                                [](SampleSimulationOptions &options) {
                                    options.scheduler.sampleTimeout = seconds(20);
                                },
                                disconnectDomain},
                    FailureCase{"replies of an engine are lost",
                                keepOptions,
                                [](SampleSimulation &simulation) {
                                    fault(simulation, 4, {.fault = "close", .call = "generate", .count = 5});
                                }},
                    FailureCase{"an engine rejects requests",
                                keepOptions,
                                [](SampleSimulation &simulation) {
                                    fault(simulation, 4, {.fault = "out", .call = "generate"});
                                }},
                    FailureCase{"exports fail",
                                keepOptions,
                                [](SampleSimulation &simulation) {
                                    applyToAllEngines(simulation, {.fault = "out", .call = "export"});
                                    fault(simulation, 2, {.fault = "slow-slots", .count = 2, .duration = seconds(1)});
                                }},
                    FailureCase{"an engine becomes slow",
                                keepOptions,
                                [](SampleSimulation &simulation) {
                                    fault(simulation, 2, {.fault = "slow-slots", .count = 2, .duration = seconds(1)});
                                }},
                    FailureCase{"the bound is tightened in flight",
                                keepOptions,
                                [](SampleSimulation &simulation) {
                                    simulation.run(seconds(12));
                                    simulation.setBound(0, 0);
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
