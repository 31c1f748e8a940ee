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

} // namespace
} // namespace bergamot::fleet
