#include "bergamot/node/service_choice.h"

#include <gtest/gtest.h>

#include "bergamot/node/item_policy.h"

namespace bergamot::node
{
namespace
{

struct WeightsCase
{
    const char *name;
    std::vector<fleet::WeightedService> services;
    std::vector<std::string> active; // services that take traffic
    std::vector<double> shares; // of the calls, in the order of `services`
};

class WeightsTest : public testing::TestWithParam<WeightsCase>
{
protected:
    const fleet::Route m_route{.name = "r", .services = GetParam().services};
};

// Guards against calls and items that go to a service whose weight is 0.
TEST_P(WeightsTest, CallsAndItemsGoOnlyToServicesThatTakeTraffic)
{
    constexpr int Calls = 20000;
    constexpr double Tolerance = 0.02; // more than five standard deviations of a share
    std::mt19937_64 random(7);
    std::map<std::string, int> calls;
    for (int call = 0; call < Calls; ++call) {
        ++calls[chooseService(m_route, random)];
    }
    for (std::size_t index = 0; index < GetParam().services.size(); ++index) {
        const int count = calls[GetParam().services[index].service];
        EXPECT_NEAR(static_cast<double>(count) / Calls, GetParam().shares[index], Tolerance);
        EXPECT_EQ(count == 0, GetParam().shares[index] == 0);
    }
    EXPECT_EQ(itemPolicy(m_route, nullptr).services, GetParam().active);
}

INSTANTIATE_TEST_SUITE_P(
    Weights,
    WeightsTest,
    testing::Values(WeightsCase{"One", {{"a"}}, {"a"}, {1}},
                    WeightsCase{"OldAtZero", {{"a", 0}, {"b", 100}}, {"b"}, {0, 1}},
                    WeightsCase{"NewAtZero", {{"a", 100}, {"b", 0}}, {"a"}, {1, 0}},
                    WeightsCase{"MiddleAtZero", {{"a", 1}, {"b", 0}, {"c", 3}}, {"a", "c"}, {0.25, 0, 0.75}},
                    WeightsCase{"Split", {{"a", 90}, {"b", 10}}, {"a", "b"}, {0.9, 0.1}},
                    WeightsCase{"SharesOfOne", {{"a", 0.3}, {"b", 0.7}}, {"a", "b"}, {0.3, 0.7}},
                    WeightsCase{"SmallShares", {{"a", 0.4}, {"b", 0.4}}, {"a", "b"}, {0.5, 0.5}},
                    WeightsCase{"AllAtZero", {{"a", 0}, {"b", 0}}, {}, {0, 0}},
                    WeightsCase{"NoService", {}, {}, {}}),
    [](const auto &test) {
        return test.param.name;
    });

} // namespace
} // namespace bergamot::node
