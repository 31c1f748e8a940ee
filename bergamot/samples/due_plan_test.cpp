#include "bergamot/samples/due_plan.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

using std::chrono::seconds;

constexpr TimePoint Now{std::chrono::hours(1)};
constexpr std::uint32_t Slots = 10;

StepDemand demand(seconds due, std::uint32_t samples, std::uint32_t guaranteed = 5)
{
    return {.due = Now + due, .samples = samples, .medianDuration = seconds(10), .guaranteedSlots = guaranteed};
}

struct DueCase
{
    std::string name;
    std::vector<StepDemand> demands;
    std::vector<bool> mayStart;
    std::vector<bool> claimsShare;
};

class DuePlan : public testing::TestWithParam<DueCase>
{ };

TEST_P(DuePlan, startsEachStepAsLateAsItCanFinishInTime)
{
    const std::vector<StepPlan> plans = planSteps(GetParam().demands, Slots, Now);
    for (std::size_t i = 0; i < plans.size(); ++i) {
        EXPECT_EQ(plans[i].mayStart, GetParam().mayStart[i]) << GetParam().name << ", step " << i;
        EXPECT_EQ(plans[i].claimsShare, GetParam().claimsShare[i]) << GetParam().name << ", step " << i;
    }
}

StepDemand atOnce()
{
    StepDemand result = demand(seconds(500), 20);
    result.leadFactor = 0;
    return result;
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    DuePlan,
    testing::Values(DueCase{"the trainer is waiting", {demand(seconds(0), 20)}, {true}, {true}},
                    DueCase{"due long after", {demand(seconds(31), 20)}, {false}, {false}},
                    DueCase{"just in time", {demand(seconds(30), 20)}, {true}, {false}},
                    DueCase{"late even on its guaranteed slots", {demand(seconds(29), 20)}, {true}, {true}},
                    DueCase{"the guaranteed slots are enough",
                            {demand(seconds(29), 20, 20)},
                            {true},
                            {false}}, // on 20 slots it takes 20 s
                    DueCase{"no lead", {atOnce()}, {true}, {false}},
                    DueCase{"work that is due earlier delays the step",
                            {demand(seconds(50), 20), demand(seconds(40), 20)},
                            {true, false},
                            {false, false}},
                    DueCase{"work that is due later does not delay the step",
                            {demand(seconds(40), 20), demand(seconds(50), 20)},
                            {false, true},
                            {false, false}}));

} // namespace
} // namespace bergamot
