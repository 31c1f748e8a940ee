#include "bergamot/dispatch/load_planner.h"

#include <algorithm>

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
    return {.engine = name, .versions = {{"m", version}}, .runs = runs, .slots = 4, .usable = true, .mayOrder = true};
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
    homes.update(GetParam().engines, {{"m", GetParam().demand}}, {});
    const std::vector<PlannedLoad> loads = nextLoads(GetParam().engines, {{"m", GetParam().demand}}, homes, {});
    EXPECT_EQ(loads.empty() ? "" : loads[0].engine, GetParam().engine);
    EXPECT_LE(loads.size(), 1U) << "more than a fifth of two engines at once";
    for (const PlannedLoad &load : loads) {
        EXPECT_EQ(load.version, GetParam().demand.named);
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
        PlanCase{"RunsContinue", {engine("a", 4, 3)}, {.named = 5, .needed = 4, .runsContinue = true}, "a"},
        PlanCase{"RunsContinueAndASlotIsAwaited",
                 {engine("a", 4, 3)},
                 {.named = 5, .needed = 4, .waiting = 9, .runsContinue = true},
                 ""},
        PlanCase{"RunsContinueAndNoSlotIsFree",
                 {engine("a", 4, 4)},
                 {.named = 5, .needed = 4, .waiting = 9, .runsContinue = true},
                 "a"},
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

struct ReadyCase
{
    const char *name;
    std::uint64_t oldest; // that the open step allows; 5 is the newest
    std::size_t newest; // engines of ten that have it; the others have 4
    std::size_t loads; // all may load at once
};

class ReadyTest : public testing::TestWithParam<ReadyCase>
{ };

TEST_P(ReadyTest, HalfOfTheEnginesAreReadyForTheNextStep)
{
    std::vector<LoadCandidate> engines;
    for (std::size_t number = 0; number < 10; ++number) {
        engines.push_back(engine(("e" + std::to_string(number)).c_str(), number < GetParam().newest ? 5 : 4));
    }
    const std::map<std::string, ModelDemand> demand{{"m", {.named = 5, .needed = GetParam().oldest}}};
    EngineHomes homes;
    homes.update(engines, demand, {});
    EXPECT_EQ(nextLoads(engines, demand, homes, {.shareAtOnce = 1}).size(), GetParam().loads);
}

INSTANTIATE_TEST_SUITE_P(Steps,
                         ReadyTest,
                         testing::Values(ReadyCase{"NoneReady", 4, 0, 5},
                                         ReadyCase{"SomeReady", 4, 3, 2},
                                         ReadyCase{"HalfReady", 4, 5, 0},
                                         ReadyCase{"HalfTooOld", 5, 5, 5}),
                         [](const auto &test) {
                             return test.param.name;
                         });

// Replays three trainers that go on at the same moment after an outage: each model has a new version, and the loads
// that may run at once are fewer than the engines.
struct RushCase
{
    const char *name;
    std::size_t waitingA; // samples whose engines are too old
    std::size_t waitingB; // the same of another model
    std::map<std::string, std::size_t> loads; // by model; c only has idle engines that still fit
};

class RushTest : public testing::TestWithParam<RushCase>
{ };

TEST_P(RushTest, LoadsGoWhereTheMostSamplesWaitForAnEngine)
{
    std::vector<LoadCandidate> engines;
    for (int number = 0; number < 30; ++number) {
        LoadCandidate candidate = engine(("e" + std::to_string(number)).c_str(), 1);
        candidate.versions = {{"a", 1}, {"b", 1}, {"c", 2}};
        engines.push_back(candidate);
    }
    const std::map<std::string, ModelDemand> demand{{"a", {.named = 3, .needed = 2, .waiting = GetParam().waitingA}},
                                                    {"b", {.named = 3, .needed = 2, .waiting = GetParam().waitingB}},
                                                    {"c", {.named = 3, .needed = 2}}};
    EngineHomes homes;
    homes.update(engines, demand, {});
    std::map<std::string, std::size_t> loads;
    for (const PlannedLoad &load : nextLoads(engines, demand, homes, {})) {
        EXPECT_EQ(homes.of(load.engine), load.model);
        ++loads[load.model];
    }
    EXPECT_EQ(loads, GetParam().loads);
}

INSTANTIATE_TEST_SUITE_P(Waiting,
                         RushTest,
                         testing::Values(RushCase{"One", 80, 0, {{"a", 6}}},
                                         RushCase{"Both", 80, 80, {{"a", 3}, {"b", 3}}},
                                         RushCase{"OneMore", 160, 80, {{"a", 4}, {"b", 2}}}),
                         [](const auto &test) {
                             return test.param.name;
                         });

std::vector<LoadCandidate> twelveEngines()
{
    constexpr std::size_t Count = 12;
    std::vector<LoadCandidate> engines;
    engines.reserve(Count);
    for (std::size_t number = 0; number < Count; ++number) {
        engines.push_back(engine(("e" + std::to_string(number)).c_str(), 1));
    }
    return engines;
}

struct HomeCase
{
    const char *name;
    std::map<std::string, double> work;
    std::map<std::string, std::size_t> engines; // of 12
};

class HomeTest : public testing::TestWithParam<HomeCase>
{ };

TEST_P(HomeTest, EachModelKeepsEnginesByItsWork)
{
    const std::vector<LoadCandidate> engines = twelveEngines();
    std::map<std::string, ModelDemand> demand;
    for (const auto &[model, work] : GetParam().work) {
        demand[model].work = work;
    }
    EngineHomes homes;
    homes.update(engines, demand, {});
    std::map<std::string, std::size_t> counted;
    for (const LoadCandidate &candidate : engines) {
        ++counted[homes.of(candidate.engine)];
    }
    EXPECT_EQ(counted, GetParam().engines);
}

INSTANTIATE_TEST_SUITE_P(Works,
                         HomeTest,
                         testing::Values(HomeCase{"One", {{"a", 5}}, {{"a", 12}}},
                                         HomeCase{"Unknown", {{"a", 0}, {"b", 0}}, {{"a", 6}, {"b", 6}}},
                                         HomeCase{"ByWork", {{"a", 10}, {"b", 20}}, {{"a", 4}, {"b", 8}}},
                                         HomeCase{"AtLeastOne", {{"a", 0.001}, {"b", 90}}, {{"a", 1}, {"b", 11}}}),
                         [](const auto &test) {
                             return test.param.name;
                         });

struct NeedCase
{
    const char *name;
    std::size_t engines;
    double peakSamples;
    std::size_t homes;
};

class NeedTest : public testing::TestWithParam<NeedCase>
{ };

// Replays a deployment with many more engines than its samples fill: each home costs a load for every version.
TEST_P(NeedTest, OnlyAsManyEnginesAsTheSamplesFillKeepAModelFresh)
{
    std::vector<LoadCandidate> engines;
    for (std::size_t number = 0; number < GetParam().engines; ++number) {
        engines.push_back(engine(("e" + std::to_string(number)).c_str(), 1));
    }
    EngineHomes homes;
    homes.update(engines, {{"m", {}}}, {});
    homes.update(engines, {{"m", {.peakSamples = GetParam().peakSamples}}}, {});
    const auto count = std::count_if(engines.begin(), engines.end(), [&](const LoadCandidate &candidate) {
        return !homes.of(candidate.engine).empty();
    });
    EXPECT_EQ(static_cast<std::size_t>(count), GetParam().homes);
}

INSTANTIATE_TEST_SUITE_P(Needs,
                         NeedTest,
                         testing::Values(NeedCase{"NotKnown", 1000, 0, 1000},
                                         NeedCase{"Few", 1000, 128, 61}, // 48 filled, and a quarter and one to spare
                                         NeedCase{"All", 40, 128, 40},
                                         NeedCase{"One", 10, 1, 2}),
                         [](const auto &test) {
                             return test.param.name;
                         });

TEST(EngineHomesTest, HomesThatDrainAreReplaced)
{
    std::vector<LoadCandidate> engines = twelveEngines();
    EngineHomes homes;
    const std::map<std::string, ModelDemand> demand{{"m", {.peakSamples = 16}}};
    homes.update(engines, demand, {});
    for (LoadCandidate &candidate : engines) {
        candidate.draining = !homes.of(candidate.engine).empty();
    }
    homes.update(engines, demand, {});
    const auto fresh = std::count_if(engines.begin(), engines.end(), [&](const LoadCandidate &candidate) {
        return !candidate.draining && homes.of(candidate.engine) == "m";
    });
    EXPECT_EQ(fresh, 6);
}

TEST(EngineHomesTest, ASmallDifferenceMovesNoEngine)
{
    const std::vector<LoadCandidate> engines = twelveEngines();
    EngineHomes homes;
    homes.update(engines, {{"a", {.work = 10}}, {"b", {.work = 10}}}, {});
    const std::string before = homes.of("e0");
    homes.update(engines, {{"a", {.work = 10}}, {"b", {.work = 12}}}, {});
    EXPECT_EQ(homes.of("e0"), before);
    std::size_t ofB = 0;
    homes.update(engines, {{"a", {.work = 10}}, {"b", {.work = 30}}}, {});
    for (const LoadCandidate &candidate : engines) {
        ofB += homes.of(candidate.engine) == "b" ? 1U : 0U;
    }
    EXPECT_GE(ofB, 8U);
}

} // namespace
} // namespace bergamot::dispatch
