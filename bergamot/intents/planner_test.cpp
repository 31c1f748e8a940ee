#include "bergamot/intents/planner.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

const ModelId Desk("desk");
const TrainerId Quotes("quotes");

Configuration serving(WeightVersion version, std::uint32_t floorPercent)
{
    Configuration configuration;
    configuration.domains = {FailureDomainId("d0"), FailureDomainId("d1"), FailureDomainId("d2")};
    configuration.models[Desk] = {.model = Desk, .version = version, .capacityFloorPercent = floorPercent};
    configuration.trainers[Quotes].trainer = Quotes;
    configuration.trainers[Quotes].model = Desk;
    return configuration;
}

FleetSnapshot fleet(std::uint64_t fetches)
{
    FleetSnapshot snapshot;
    for (int i = 0; i < 9; ++i) {
        const std::string name = std::to_string(i);
        snapshot.engines.push_back({EndpointId("e" + name), Desk, FailureDomainId("d" + std::to_string(i % 3)), 4});
    }
    snapshot.published[Desk] = {.newest = 5, .concurrentFetches = fetches};
    return snapshot;
}

struct SwapCase
{
    std::uint32_t floorPercent;
    std::uint64_t fetches;
    std::uint32_t outAtOnce; // in each domain
    std::chrono::milliseconds duration;
};

class PlanSwap : public testing::TestWithParam<SwapCase>
{ };

TEST_P(PlanSwap, isPacedByTheFloorAndByTheStore)
{
    const SwapCase &row = GetParam();
    const PlannerOptions options{.engineLoadTime = 2s, .publicationInterval = 6min};
    const PlanForecast forecast =
        planChange(serving(4, row.floorPercent), serving(5, row.floorPercent), fleet(row.fetches), options);
    EXPECT_EQ(forecast.capacity.size(), 3U);
    EXPECT_EQ(forecast.capacity[0].outAtOnce, row.outAtOnce);
    EXPECT_EQ(forecast.duration, row.duration);
    EXPECT_EQ(forecast.storeFetches, row.outAtOnce == 0 ? 0U : 9U);
    EXPECT_EQ(forecast.warnings.empty(), row.outAtOnce > 0);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         PlanSwap,
                         testing::Values(SwapCase{66, 9, 1, 6s}, // 3 at once by the floor: 3 rounds
                                         SwapCase{33, 9, 2, 4s}, // 6 at once: 2 rounds
                                         SwapCase{0, 9, 3, 2s},
                                         SwapCase{0, 2, 3, 10s}, // 2 at once by the store: 5 rounds
                                         SwapCase{90, 9, 0, 0s}));

TEST(PlanChange, tellsTrainersOfStalenessAndShares)
{
    Configuration after = serving(5, 50);
    after.trainers[Quotes].stalenessBound = 0;
    after.trainers[Quotes].sharePercent = 50;
    const PlanForecast forecast = planChange(serving(4, 50), after, fleet(3), {});
    ASSERT_EQ(forecast.trainers.size(), 1U);
    EXPECT_EQ(forecast.trainers[0].predictedStaleness, 1U);
    EXPECT_EQ(forecast.trainers[0].predictedIdle, 3s); // each of 9 engines is out for 3 s
    EXPECT_EQ(forecast.trainers[0].stepTimeChangePercent, 100);
    ASSERT_EQ(forecast.warnings.size(), 1U);
    EXPECT_NE(forecast.warnings[0].find("generated again"), std::string::npos);
}

TEST(PlanChange, warnsOfWhatHasNoEffectYet)
{
    const Configuration unchanged = serving(4, 50);
    EXPECT_EQ(planChange(unchanged, unchanged, fleet(1), {}).warnings,
              std::vector<std::string>{"the intent changes nothing"});
    const PlanForecast forecast = planChange({}, serving(7, 50), {}, {});
    EXPECT_EQ(forecast.enginesTouched, 0U);
    ASSERT_EQ(forecast.warnings.size(), 2U);
    EXPECT_NE(forecast.warnings[0].find("not published yet"), std::string::npos);
    EXPECT_NE(forecast.warnings[1].find("no live engine"), std::string::npos);
}

} // namespace
} // namespace bergamot
