#include "bergamot/samples/fleet_view.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

TEST(FleetView, containsTheSuspectReportsOfTheDomain)
{
    inner::ViewT view;
    auto suspect = std::make_unique<inner::SuspectT>();
    suspect->fingerprint = 7;
    suspect->endpoints = {"e1", "e2"};
    suspect->ran_alone = true;
    view.suspects.push_back(std::move(suspect));
    const Result<FleetState> fleetState = readFleetState(view);
    ASSERT_TRUE(fleetState);
    const std::vector<SuspectReport> expected{
        {.fingerprint = 7, .endpoints = {EndpointId("e1"), EndpointId("e2")}, .ranAlone = true, .cleared = false}};
    EXPECT_EQ(fleetState->suspects, expected);
}

} // namespace
} // namespace bergamot
