#include "bergamot/fleet/route_absence.h"

#include <gtest/gtest.h>

namespace bergamot::fleet
{
namespace
{

using namespace std::chrono_literals;

struct Observation
{
    Duration at{};
    Duration confirmedAt{};
    bool present = false;
};

struct AbsenceCase
{
    const char *name;
    std::vector<Observation> observations;
    bool removed; // after the last observation
};

class RouteAbsenceTest : public testing::TestWithParam<AbsenceCase>
{ };

TEST_P(RouteAbsenceTest, CountsOnlyTheTimeThatIsConfirmed)
{
    constexpr TimePoint Start{1h};
    RouteAbsence absence;
    bool removed = false;
    for (const Observation &observation : GetParam().observations) {
        removed = absence.removed(observation.present, Start + observation.at, Start + observation.confirmedAt);
    }
    EXPECT_EQ(removed, GetParam().removed);
}

INSTANTIATE_TEST_SUITE_P(
    Views,
    RouteAbsenceTest,
    testing::Values(
        AbsenceCase{"Present", {{0s, 0s, true}, {10s, 10s, true}}, false},
        AbsenceCase{"AbsentForLong", {{0s, 0s, false}, {5s, 5s, false}}, true},
        AbsenceCase{"AbsentForLongInAnOldView", {{0s, 0s, false}, {60s, 3s, false}}, false},
        AbsenceCase{"BackInBetween", {{0s, 0s, false}, {4s, 4s, true}, {5s, 5s, false}, {9s, 9s, false}}, false},
        // Late responses: the view is older than two seconds most of the time.
        AbsenceCase{"LateResponses", {{0s, -3s, false}, {3s, 1s, false}, {6s, 3s, false}, {8s, 5s, false}}, true},
        AbsenceCase{"NeverConfirmed", {{0s, -1h, false}, {60s, -1h, false}}, false}),
    [](const auto &test) {
        return test.param.name;
    });

} // namespace
} // namespace bergamot::fleet
