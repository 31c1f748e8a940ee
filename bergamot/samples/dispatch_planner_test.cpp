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

EnginePreferences anyEngine()
{
    EnginePreferences preferences;
    preferences.permits = [](const EngineLoad &) {
        return true;
    };
    return preferences;
}

std::vector<std::uint32_t> assignAll(DispatchPlanner &planner, std::size_t trainers)
{
    std::vector<std::uint32_t> assigned(trainers);
    while (const std::optional<std::size_t> trainer = planner.nextTrainer()) {
        const std::optional<std::size_t> engine = planner.chooseEngine(*trainer, assigned[*trainer], anyEngine());
        if (!engine) {
            planner.block(*trainer);
            continue;
        }
        planner.recordAssignment(*trainer, *engine);
        ++assigned[*trainer];
    }
    return assigned;
}

struct ShareCase
{
    std::string name;
    std::vector<TrainerDemand> trainers;
    std::vector<std::uint32_t> assigned; // expected samples by trainer, on 4 engines with 5 slots
};

class Shares : public testing::TestWithParam<ShareCase>
{ };

TEST_P(Shares, areGuaranteedAndIdleSlotsAreBorrowed)
{
    DispatchPlanner planner(engines(4, 5), GetParam().trainers);
    EXPECT_EQ(assignAll(planner, GetParam().trainers.size()), GetParam().assigned) << GetParam().name;
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    Shares,
    testing::Values(
        ShareCase{"alone", {{.sharePercent = 50, .waiting = 99}}, {20}},
        ShareCase{"both trainers want all slots",
                  {{.sharePercent = 50, .waiting = 99}, {.sharePercent = 50, .waiting = 99}},
                  {10, 10}},
        ShareCase{"one to three", {{.sharePercent = 25, .waiting = 99}, {.sharePercent = 75, .waiting = 99}}, {5, 15}},
        ShareCase{"one trainer wants few slots",
                  {{.sharePercent = 50, .waiting = 99}, {.sharePercent = 50, .waiting = 3}},
                  {17, 3}},
        ShareCase{"shares above 100 percent",
                  {{.sharePercent = 100, .waiting = 99}, {.sharePercent = 100, .waiting = 99}},
                  {10, 10}},
        ShareCase{"earliest due first if no share is claimed",
                  {{.sharePercent = 50, .waiting = 99, .due = std::chrono::seconds(9), .claimsShare = false},
                   {.sharePercent = 50, .waiting = 15, .due = std::chrono::seconds(5), .claimsShare = false}},
                  {5, 15}},
        ShareCase{"a claimed share precedes the earliest due step",
                  {{.sharePercent = 50, .waiting = 99, .due = std::chrono::seconds(9)},
                   {.sharePercent = 50, .waiting = 99, .due = std::chrono::seconds(5), .claimsShare = false}},
                  {10, 10}},
        ShareCase{"static split",
                  {{.sharePercent = 50, .waiting = 99, .strategy = &StaticSplit},
                   {.sharePercent = 50, .waiting = 3, .strategy = &StaticSplit}},
                  {10, 3}}));

TEST(SlotRelease, releasesBorrowedSlotsForATrainerBelowItsShare)
{
    std::vector<EngineLoad> full = engines(4, 5);
    for (EngineLoad &engine : full) {
        engine.ownSamples = 5;
    }
    const DispatchPlanner planner(
        full, {{.sharePercent = 50, .inFlight = 18, .waiting = 9}, {.sharePercent = 50, .inFlight = 2, .waiting = 5}});
    const std::vector<SlotRelease> wanted = planner.slotReleases();
    ASSERT_EQ(wanted.size(), 1U);
    EXPECT_EQ(wanted[0].trainer, 0U);
    EXPECT_EQ(wanted[0].count, 5U);
}

struct ChoiceCase
{
    std::string name;
    std::function<void(std::vector<EngineLoad> &engines, EnginePreferences &preferences)> change;
    std::optional<std::size_t> chosen;
};

class EngineChoice : public testing::TestWithParam<ChoiceCase>
{ };

TEST_P(EngineChoice, weighsLoadPrefixVersionAndSpeed)
{
    std::vector<EngineLoad> candidates = engines(3, 10);
    EnginePreferences preferences = anyEngine();
    GetParam().change(candidates, preferences);
    const DispatchPlanner planner(candidates, {{.sharePercent = 100, .waiting = 9}});
    EXPECT_EQ(planner.chooseEngine(0, 0, preferences), GetParam().chosen) << GetParam().name;
}

using Engines = std::vector<EngineLoad>;

INSTANTIATE_TEST_SUITE_P(Table,
                         EngineChoice,
                         testing::Values(ChoiceCase{"least loaded",
                                                    [](Engines &all, EnginePreferences &) {
                                                        all[0].ownSamples = 3;
                                                        all[1].otherRequests = 2;
                                                    },
                                                    2},
                                         ChoiceCase{"prefix of the group",
                                                    [](Engines &all, EnginePreferences &preferences) {
                                                        all[1].ownSamples = 2;
                                                        preferences.groupEngine = EndpointId("e1");
                                                    },
                                                    1},
                                         ChoiceCase{"prefix of the group, but much more load",
                                                    [](Engines &all, EnginePreferences &preferences) {
                                                        all[1].ownSamples = 8;
                                                        preferences.groupEngine = EndpointId("e1");
                                                    },
                                                    0},
                                         ChoiceCase{"newer weights",
                                                    [](Engines &all, EnginePreferences &) {
                                                        all[2].version = 3;
                                                        all[2].ownSamples = 1;
                                                    },
                                                    2},
                                         ChoiceCase{"slow",
                                                    [](Engines &all, EnginePreferences &) {
                                                        all[0].speed = 0.5;
                                                    },
                                                    1},
                                         ChoiceCase{"swap in progress",
                                                    [](Engines &all, EnginePreferences &) {
                                                        all[0].loading = true;
                                                    },
                                                    1},
                                         ChoiceCase{"excluded engine",
                                                    [](Engines &, EnginePreferences &preferences) {
                                                        preferences.excludedEngine = EndpointId("e0");
                                                    },
                                                    1},
                                         ChoiceCase{"unusable engines",
                                                    [](Engines &all, EnginePreferences &) {
                                                        all[0].usable = all[1].usable = false;
                                                    },
                                                    2},
                                         ChoiceCase{"none permitted",
                                                    [](Engines &, EnginePreferences &preferences) {
                                                        preferences.permits = [](const EngineLoad &) {
                                                            return false;
                                                        };
                                                    },
                                                    std::nullopt}));

} // namespace
} // namespace bergamot
