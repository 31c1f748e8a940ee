#include <gtest/gtest.h>

#include "bergamot/membership/internal/simulated_fleet.h"

// One instance is paused and resumed (SIGSTOP, SIGCONT) while an endpoint of its domain reports that it is leaving. The
// other instances must have that state in time, and the resumed one must not claim that its older state is current.

namespace bergamot
{
namespace
{

using internal::SimulatedFleet;
using namespace std::chrono_literals;

// A leaving endpoint must get no new work after 3 s. The rest of that time is left for the entry process, which polls
// its control process.
constexpr Duration PropagationLimit = 2250ms;
constexpr Duration Step = 50ms;
constexpr std::size_t Instances = 6;
constexpr std::size_t Engines = 4;

struct PauseCase
{
    Duration pause;
    Duration announcedAfter;
};

class PausedInstance : public testing::TestWithParam<PauseCase>
{
protected:
    static bool showsLeaving(SimulatedFleet &fleet, const std::string &instance, const std::string &endpoint)
    {
        const inner::ViewT view = fleet.node(instance).view(fleet.now());
        EXPECT_EQ(view.endpoints.size(), 3 * Engines) << instance << " lacks endpoints";
        return std::any_of(view.endpoints.begin(), view.endpoints.end(), [&endpoint](const auto &entry) {
            return entry->id == endpoint && entry->leaving;
        });
    }
};

TEST_P(PausedInstance, othersAreUpdatedInTimeAndTheResumedOneReportsTheAgeOfItsState)
{
    for (std::size_t index = 0; index < Instances; ++index) {
        SimulatedFleet fleet({.domains = 3, .instancesPerDomain = Instances, .enginesPerDomain = Engines, .seed = 1});
        fleet.run(15s);
        const std::string paused = SimulatedFleet::instanceName(0, index);
        const std::string engine = SimulatedFleet::engineName(0, index % Engines);
        const TimePoint resumesAt = fleet.now() + GetParam().pause;
        fleet.pause(paused, GetParam().pause);
        fleet.run(GetParam().announcedAfter);
        const TimePoint announced = fleet.now();
        fleet.setEngine(engine, EngineState{ModelId("model"), 1, 0, 0, 0, 8, 0ms, true, 0});
        while (fleet.now() < resumesAt + 12s) {
            fleet.run(Step);
            for (std::size_t other = 0; other < Instances; ++other) {
                const std::string instance = SimulatedFleet::instanceName(0, other);
                const bool isPaused = instance == paused && fleet.now() <= resumesAt;
                const TimePoint knownAt = instance == paused ? *fleet.node(instance).stateKnownAt() : fleet.now();
                if (!isPaused && knownAt >= announced + PropagationLimit) {
                    EXPECT_TRUE(showsLeaving(fleet, instance, engine))
                        << instance << " while " << paused << " is or was paused, " << (fleet.now() - announced) / 1ms
                        << " ms after";
                }
            }
        }
        EXPECT_GE(*fleet.node(paused).stateKnownAt(), fleet.now() - 1200ms) << paused << " does not catch up";
    }
}

INSTANTIATE_TEST_SUITE_P(Table,
                         PausedInstance,
                         testing::Values(PauseCase{4s, 50ms},
                                         PauseCase{4s, 1s},
                                         PauseCase{4s, 2s},
                                         PauseCase{4s, 3s},
                                         PauseCase{4s, 3900ms},
                                         PauseCase{8s, 50ms},
                                         PauseCase{8s, 3900ms},
                                         PauseCase{20s, 10s}),
                         [](const auto &testCase) {
                             return "paused" + std::to_string(testCase.param.pause / 1ms) + "announced"
                                 + std::to_string(testCase.param.announcedAfter / 1ms);
                         });

} // namespace
} // namespace bergamot
