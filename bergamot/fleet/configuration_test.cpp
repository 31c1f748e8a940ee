#include "bergamot/fleet/configuration.h"

#include <gtest/gtest.h>

namespace bergamot::fleet
{
namespace
{

struct MatchCase
{
    const char *name;
    const char *host;
    const char *path;
    const char *route; // empty: none
};

class MatchTest : public testing::TestWithParam<MatchCase>
{
protected:
    Configuration m_configuration{7,
                                  {{.name = "short", .host = "a.example", .pathPrefix = "/q/"},
                                   {.name = "long", .host = "a.example", .pathPrefix = "/q/deep/"},
                                   {.name = "other", .host = "b.example", .pathPrefix = "/q/"}},
                                  {{.name = "desk"}},
                                  {}};
};

TEST_P(MatchTest, LongestPrefixOfTheHostWins)
{
    const Route *route = m_configuration.findRoute(GetParam().host, GetParam().path);
    EXPECT_EQ(route == nullptr ? "" : route->name, GetParam().route);
}

INSTANTIATE_TEST_SUITE_P(Routes,
                         MatchTest,
                         testing::Values(MatchCase{"Plain", "a.example", "/q/1", "short"},
                                         MatchCase{"Longer", "a.example", "/q/deep/1", "long"},
                                         MatchCase{"OtherHost", "b.example", "/q/deep/1", "other"},
                                         MatchCase{"UnknownHost", "c.example", "/q/1", ""},
                                         MatchCase{"UnknownPath", "a.example", "/r/1", ""},
                                         MatchCase{"PrefixWithoutSlash", "a.example", "/q", ""}),
                         [](const auto &test) {
                             return test.param.name;
                         });

struct MemoryCase
{
    const char *name;
    std::vector<WeightedService> services;
    std::optional<std::uint64_t> largest;
};

class LargestMemoryTest : public testing::TestWithParam<MemoryCase>
{ };

TEST_P(LargestMemoryTest, IsThatOfTheServicesThatTakeTraffic)
{
    const Configuration configuration{7,
                                      {},
                                      {{.name = "small", .engine = EngineTraits{.memoryTokens = 1000}},
                                       {.name = "large", .engine = EngineTraits{.memoryTokens = 5000}},
                                       {.name = "unsized", .engine = EngineTraits{}},
                                       {.name = "desk"}},
                                      {}};
    EXPECT_EQ(configuration.largestMemory({.name = "r", .services = GetParam().services}), GetParam().largest);
}

INSTANTIATE_TEST_SUITE_P(Services,
                         LargestMemoryTest,
                         testing::Values(MemoryCase{"One", {{"small"}}, 1000},
                                         MemoryCase{"Two", {{"small"}, {"large"}}, 5000},
                                         MemoryCase{"LargeTakesNoTraffic", {{"small"}, {"large", 0}}, 1000},
                                         MemoryCase{"NotKnown", {{"small"}, {"unsized"}}, std::nullopt},
                                         MemoryCase{"NoEngines", {{"desk"}}, std::nullopt},
                                         MemoryCase{"NotConfigured", {{"gone"}}, std::nullopt}),
                         [](const auto &test) {
                             return test.param.name;
                         });

} // namespace
} // namespace bergamot::fleet
