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

struct ReaddCase
{
    const char *name;
    std::vector<std::vector<std::string>> views; // endpoints of successive views
};

class EndpointReaddTest : public testing::TestWithParam<ReaddCase>
{ };

// Endpoints are removed and added again in another order while a request is in flight at one of them. Guards against a
// slot being reused for another endpoint while that request still counts on it.
TEST_P(EndpointReaddTest, AnEndpointThatIsAddedAgainKeepsItsRequestsInFlight)
{
    EndpointPool pool({.instance = "me", .domain = FailureDomainId("a")}, std::make_unique<SampledChoice>());
    std::mt19937_64 random(1);
    TimePoint now{1h};
    std::optional<std::size_t> slot;
    for (const std::vector<std::string> &view : GetParam().views) {
        std::vector<RoutedEndpoint> endpoints;
        endpoints.reserve(view.size());
        for (const std::string &id : view) {
            endpoints.push_back(endpoint(id));
        }
        now += 1s;
        pool.update(endpoints, now);
        if (!slot && &view == &GetParam().views[GetParam().views.size() - 3]) {
            slot = pool.pick({}, now, random);
            ASSERT_TRUE(slot);
            pool.dispatched(*slot, now);
        }
        EXPECT_EQ(pool.usedEndpoints(), view.size());
    }
    ASSERT_TRUE(slot);
    EXPECT_EQ(pool.inFlight(*slot), 1U);
    pool.answered(*slot, 10ms, 1, now, random);
    EXPECT_EQ(pool.inFlight(), 0U);
}

INSTANTIATE_TEST_SUITE_P(Lists,
                         EndpointReaddTest,
                         testing::Values(ReaddCase{"Steady", {{"x", "y"}, {"x", "y"}, {"x", "y"}}},
                                         ReaddCase{"AddedAgain", {{"x", "y"}, {}, {"x"}, {"x", "y"}, {"x", "y"}}},
                                         ReaddCase{"AddedAgainInAnotherOrder",
                                                   {{"x", "y"}, {}, {"x"}, {"x", "z"}, {"x", "z", "w"}}},
                                         ReaddCase{"OnlyTheFirst", {{"x", "y"}, {}, {"x"}, {"x"}, {"x"}}}),
                         [](const auto &test) {
                             return test.param.name;
                         });

} // namespace
} // namespace bergamot
