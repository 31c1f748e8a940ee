#include "bergamot/routing/endpoint_pool.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

RoutedEndpoint endpoint(const std::string &id)
{
    return {.id = EndpointId(id), .domain = FailureDomainId("a"), .address = {"10.0.0.1", 80}};
}

struct FlapCase
{
    const char *name;
    std::vector<std::vector<std::string>> lists; // one after the other
};

class FlapTest : public testing::TestWithParam<FlapCase>
{ };

// Replays endpoints that leave the list and come back in another order while a request runs at one of them.
TEST_P(FlapTest, AnEndpointThatComesBackKeepsItsRequestsInFlight)
{
    EndpointPool pool({.instance = "me", .domain = FailureDomainId("a")}, std::make_unique<SampledChoice>());
    std::mt19937_64 random(1);
    TimePoint now{1h};
    std::optional<std::size_t> slot;
    for (const std::vector<std::string> &list : GetParam().lists) {
        std::vector<RoutedEndpoint> endpoints;
        endpoints.reserve(list.size());
        for (const std::string &id : list) {
            endpoints.push_back(endpoint(id));
        }
        now += 1s;
        pool.update(endpoints, now);
        if (!slot && &list == &GetParam().lists[GetParam().lists.size() - 3]) {
            slot = pool.pick({}, now, random);
            ASSERT_TRUE(slot);
            pool.dispatched(*slot, now);
        }
        EXPECT_EQ(pool.listed(), list.size());
    }
    ASSERT_TRUE(slot);
    EXPECT_EQ(pool.inFlight(*slot), 1U);
    pool.answered(*slot, 10ms, 1, now, random);
    EXPECT_EQ(pool.inFlight(), 0U);
}

INSTANTIATE_TEST_SUITE_P(Lists,
                         FlapTest,
                         testing::Values(FlapCase{"Steady", {{"x", "y"}, {"x", "y"}, {"x", "y"}}},
                                         FlapCase{"Back", {{"x", "y"}, {}, {"x"}, {"x", "y"}, {"x", "y"}}},
                                         FlapCase{"BackInAnotherOrder",
                                                  {{"x", "y"}, {}, {"x"}, {"x", "z"}, {"x", "z", "w"}}},
                                         FlapCase{"OnlyTheFirst", {{"x", "y"}, {}, {"x"}, {"x"}, {"x"}}}),
                         [](const auto &test) {
                             return test.param.name;
                         });

} // namespace
} // namespace bergamot
