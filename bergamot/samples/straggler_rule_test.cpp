#include "bergamot/samples/straggler_rule.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

using std::chrono::seconds;

struct DecisionCase
{
    std::string name;
    StragglerView view;
    StragglerAction action;
};

class StragglerDecision : public testing::TestWithParam<DecisionCase>
{ };

TEST_P(StragglerDecision, movesFromSlowEnginesAndCopiesLateSamples)
{
    EXPECT_EQ(decideStraggler(GetParam().view, IdleTimeFirst), GetParam().action) << GetParam().name;
    EXPECT_EQ(decideStraggler(GetParam().view, StaticSplit), StragglerAction::Leave);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    StragglerDecision,
    testing::Values(
        DecisionCase{"in time", {.elapsed = seconds(10), .medianDuration = seconds(10)}, StragglerAction::Leave},
        DecisionCase{"late", {.elapsed = seconds(16), .medianDuration = seconds(10)}, StragglerAction::SpeculativeCopy},
        DecisionCase{"late, a copy is running",
                     {.elapsed = seconds(16), .medianDuration = seconds(10), .attempts = 2},
                     StragglerAction::Leave},
        DecisionCase{"median unknown", {.elapsed = seconds(16)}, StragglerAction::Leave},
        DecisionCase{"slow engine",
                     {.elapsed = seconds(1), .medianDuration = seconds(10), .engineSpeed = 0.3},
                     StragglerAction::Move},
        DecisionCase{"leaving engine",
                     {.elapsed = seconds(1), .medianDuration = seconds(10), .engineLeaving = true},
                     StragglerAction::Move},
        DecisionCase{"slow engine that cannot export",
                     {.elapsed = seconds(1), .medianDuration = seconds(10), .engineSpeed = 0.3, .movable = false},
                     StragglerAction::Leave},
        DecisionCase{"late on a slow engine that cannot export",
                     {.elapsed = seconds(16), .medianDuration = seconds(10), .engineSpeed = 0.3, .movable = false},
                     StragglerAction::SpeculativeCopy}));

TEST(SpeculationBudget, allowsOnlyAPercentageOfTheRequiredTokens)
{
    SpeculationBudget budget;
    EXPECT_FALSE(budget.tryTake(1));
    budget.addRequired(1000, 10);
    EXPECT_TRUE(budget.tryTake(60));
    EXPECT_FALSE(budget.tryTake(41));
    EXPECT_TRUE(budget.tryTake(40));
    EXPECT_EQ(budget.spent(), 100U);
}

TEST(StragglerUrgency, putsTheLastMissingSampleOfAGroupFirst)
{
    const StragglerView last{.elapsed = seconds(16), .medianDuration = seconds(10), .missingInGroup = 1};
    const StragglerView one{.elapsed = seconds(16), .medianDuration = seconds(10), .missingInGroup = 6};
    EXPECT_GT(stragglerUrgency(last), stragglerUrgency(one));
}

} // namespace
} // namespace bergamot
