#include "bergamot/dispatch/load_planner.h"

#include <gtest/gtest.h>

namespace bergamot::dispatch
{
namespace
{

struct PlanCase
{
    const char *name;
    std::vector<LoadCandidate> engines;
    ModelDemand demand;
    const char *engine; // empty: none
};

LoadCandidate engine(const char *name, std::uint64_t version, std::uint32_t runs = 0)
{
    return {.engine = name, .versions = {{"m", version}}, .runs = runs, .usable = true, .mayOrder = true};
}

LoadCandidate changed(LoadCandidate candidate, bool LoadCandidate::*field, bool value)
{
    candidate.*field = value;
    return candidate;
}

class PlanTest : public testing::TestWithParam<PlanCase>
{ };

TEST_P(PlanTest, UselessEnginesLoadFirstAndUsefulOnesOnlyWhenNothingWaits)
{
    EngineHomes homes;
    homes.update(GetParam().engines, {{"m", GetParam().demand}});
    const std::optional<PlannedLoad> load = nextLoad(GetParam().engines, {{"m", GetParam().demand}}, homes, {});
    EXPECT_EQ(load ? load->engine : "", GetParam().engine);
    if (load) {
        EXPECT_EQ(load->version, GetParam().demand.named);
    }
}

INSTANTIATE_TEST_SUITE_P(
    Moments,
    PlanTest,
    testing::Values(
        PlanCase{"Idle", {engine("a", 4)}, {.named = 5, .needed = 4}, "a"},
        PlanCase{"Newest", {engine("a", 5)}, {.named = 5, .needed = 4}, ""},
        PlanCase{"StillUsefulAndBusy", {engine("a", 4, 3)}, {.named = 5, .needed = 4}, ""},
        PlanCase{"StillUsefulAndAwaited", {engine("a", 4)}, {.named = 5, .needed = 4, .waiting = 9}, ""},
        PlanCase{"TooOldAndBusy", {engine("a", 3, 3)}, {.named = 5, .needed = 4, .waiting = 9}, "a"},
        PlanCase{"OldestFirst", {engine("a", 4), engine("b", 2, 5)}, {.named = 5, .needed = 4}, "b"},
        PlanCase{"LeastToFinish", {engine("a", 3, 5), engine("b", 3, 1)}, {.named = 5, .needed = 4}, "b"},
        PlanCase{"ShareIsLoading",
                 {changed(engine("a", 3), &LoadCandidate::loading, true), engine("b", 3)},
                 {.named = 5, .needed = 4},
                 ""},
        PlanCase{"OrderOfAnEarlierOwner",
                 {changed(engine("a", 3), &LoadCandidate::mayOrder, false)},
                 {.named = 5, .needed = 4},
                 ""},
        PlanCase{"Unusable", {changed(engine("a", 3), &LoadCandidate::usable, false)}, {.named = 5, .needed = 4}, ""}),
    [](const auto &test) {
        return test.param.name;
    });

} // namespace
} // namespace bergamot::dispatch
