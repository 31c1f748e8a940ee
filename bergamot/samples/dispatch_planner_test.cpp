#include "bergamot/samples/dispatch_planner.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

std::vector<EngineLoad> engines(std::uint32_t count, std::uint32_t slots)
{
    std::vector<EngineLoad> result;
    for (std::uint32_t i = 0; i < count; ++i) {
        result.push_back({.engine = EndpointId("e" + std::to_string(i)), .version = 1, .slots = slots});
    }
    return result;
}

EngineWish anyEngine()
{
    EngineWish wish;
    wish.permits = [](const EngineLoad &) {
        return true;
    };
    return wish;
}

std::vector<std::uint32_t> placeAll(DispatchPlanner &planner, std::size_t trainers)
{
    std::vector<std::uint32_t> placed(trainers);
    while (const std::optional<std::size_t> trainer = planner.nextTrainer()) {
        const std::optional<std::size_t> engine = planner.chooseEngine(*trainer, placed[*trainer], anyEngine());
        if (!engine) {
            planner.block(*trainer);
            continue;
        }
        planner.placed(*trainer, *engine);
        ++placed[*trainer];
    }
    return placed;
}

struct ShareCase
{
    std::string name;
    std::vector<TrainerDemand> trainers;
    std::vector<std::uint32_t> placed; // on 4 engines with 5 slots
};

class Shares : public testing::TestWithParam<ShareCase>
{ };

TEST_P(Shares, areKeptAndIdleOnesBorrowed)
{
    DispatchPlanner planner(engines(4, 5), GetParam().trainers);
    EXPECT_EQ(placeAll(planner, GetParam().trainers.size()), GetParam().placed) << GetParam().name;
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    Shares,
    testing::Values(
        ShareCase{"alone", {{.sharePercent = 50, .waiting = 99}}, {20}},
        ShareCase{
            "both want all", {{.sharePercent = 50, .waiting = 99}, {.sharePercent = 50, .waiting = 99}}, {10, 10}},
        ShareCase{"one to three", {{.sharePercent = 25, .waiting = 99}, {.sharePercent = 75, .waiting = 99}}, {5, 15}},
        ShareCase{
            "one wants little", {{.sharePercent = 50, .waiting = 99}, {.sharePercent = 50, .waiting = 3}}, {17, 3}},
        ShareCase{"shares above the whole",
                  {{.sharePercent = 100, .waiting = 99}, {.sharePercent = 100, .waiting = 99}},
                  {10, 10}},
        ShareCase{"due first, and no share claimed",
                  {{.sharePercent = 50, .waiting = 99, .due = std::chrono::seconds(9), .claimsShare = false},
                   {.sharePercent = 50, .waiting = 15, .due = std::chrono::seconds(5), .claimsShare = false}},
                  {5, 15}},
        ShareCase{"a claimed share goes before what is due first",
                  {{.sharePercent = 50, .waiting = 99, .due = std::chrono::seconds(9)},
                   {.sharePercent = 50, .waiting = 99, .due = std::chrono::seconds(5), .claimsShare = false}},
                  {10, 10}},
        ShareCase{"a split for good",
                  {{.sharePercent = 50, .waiting = 99, .strategy = &StaticSplit},
                   {.sharePercent = 50, .waiting = 3, .strategy = &StaticSplit}},
                  {10, 3}}));

TEST(GiveBack, asksBorrowersForWhatATrainerBelowItsShareLacks)
{
    std::vector<EngineLoad> full = engines(4, 5);
    for (EngineLoad &engine : full) {
        engine.own = 5;
    }
    const DispatchPlanner planner(
        full, {{.sharePercent = 50, .inFlight = 18, .waiting = 9}, {.sharePercent = 50, .inFlight = 2, .waiting = 5}});
    const std::vector<GiveBack> wanted = planner.giveBacks();
    ASSERT_EQ(wanted.size(), 1U);
    EXPECT_EQ(wanted[0].trainer, 0U);
    EXPECT_EQ(wanted[0].count, 5U);
}

struct ChoiceCase
{
    std::string name;
    std::function<void(std::vector<EngineLoad> &engines, EngineWish &wish)> change;
    std::optional<std::size_t> chosen;
};

class EngineChoice : public testing::TestWithParam<ChoiceCase>
{ };

TEST_P(EngineChoice, weighsLoadPrefixVersionAndSpeed)
{
    std::vector<EngineLoad> candidates = engines(3, 10);
    EngineWish wish = anyEngine();
    GetParam().change(candidates, wish);
    const DispatchPlanner planner(candidates, {{.sharePercent = 100, .waiting = 9}});
    EXPECT_EQ(planner.chooseEngine(0, 0, wish), GetParam().chosen) << GetParam().name;
}

using Engines = std::vector<EngineLoad>;

INSTANTIATE_TEST_SUITE_P(Table,
                         EngineChoice,
                         testing::Values(ChoiceCase{"least loaded",
                                                    [](Engines &all, EngineWish &) {
                                                        all[0].own = 3;
                                                        all[1].others = 2;
                                                    },
                                                    2},
                                         ChoiceCase{"prefix of the group",
                                                    [](Engines &all, EngineWish &wish) {
                                                        all[1].own = 2;
                                                        wish.groupEngine = EndpointId("e1");
                                                    },
                                                    1},
                                         ChoiceCase{"prefix, but much more load",
                                                    [](Engines &all, EngineWish &wish) {
                                                        all[1].own = 8;
                                                        wish.groupEngine = EndpointId("e1");
                                                    },
                                                    0},
                                         ChoiceCase{"newer weights",
                                                    [](Engines &all, EngineWish &) {
                                                        all[2].version = 3;
                                                        all[2].own = 1;
                                                    },
                                                    2},
                                         ChoiceCase{"slow",
                                                    [](Engines &all, EngineWish &) {
                                                        all[0].speed = 0.5;
                                                    },
                                                    1},
                                         ChoiceCase{"swap under way",
                                                    [](Engines &all, EngineWish &) {
                                                        all[0].loading = true;
                                                    },
                                                    1},
                                         ChoiceCase{"not where it was",
                                                    [](Engines &, EngineWish &wish) {
                                                        wish.avoid = EndpointId("e0");
                                                    },
                                                    1},
                                         ChoiceCase{"unusable ones",
                                                    [](Engines &all, EngineWish &) {
                                                        all[0].usable = all[1].usable = false;
                                                    },
                                                    2},
                                         ChoiceCase{"none permitted",
                                                    [](Engines &, EngineWish &wish) {
                                                        wish.permits = [](const EngineLoad &) {
                                                            return false;
                                                        };
                                                    },
                                                    std::nullopt}));

} // namespace
} // namespace bergamot
