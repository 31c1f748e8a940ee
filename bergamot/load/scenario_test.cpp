#include "bergamot/load/scenario.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

struct ScenarioCase
{
    std::string text;
    std::vector<std::string> errors; // none: accepted
};

class ParseScenario : public testing::TestWithParam<ScenarioCase>
{ };

TEST_P(ParseScenario, acceptsOrNamesTheField)
{
    const Result<Scenario> scenario = parseScenario(GetParam().text);
    ASSERT_EQ(scenario.has_value(), GetParam().errors.empty());
    for (const std::string &error : GetParam().errors) {
        EXPECT_NE(scenario.error().message.find(error), std::string::npos) << scenario.error().message;
    }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ParseScenario,
    testing::Values(
        ScenarioCase{R"({})", {}},
        ScenarioCase{R"({"entries":["127.0.0.1:1"],"callers":[{"tenant":"t","kind":"stock","target":"s"}]})", {}},
        ScenarioCase{R"({"callers":[{"tenant":"t","kind":"stock","target":"s"}]})", {"scenario.entries must name"}},
        ScenarioCase{R"({"entries":["nowhere"],"seed":-1})", {"scenario.entries", "scenario.seed"}},
        ScenarioCase{R"({"entries":["127.0.0.1:1"],"callers":[{"tenant":"t","kind":"x","target":"s"}]})",
                     {"callers[0].kind must be"}},
        ScenarioCase{R"({"entries":["127.0.0.1:1"],"callers":[{"tenant":"t","kind":"stock","target":"s",
                         "rate_per_second":0}]})",
                     {"rate_per_second must be above 0"}},
        ScenarioCase{R"({"controls":["127.0.0.1:1"],"trainers":[{"trainer":"t","model":"m","groups":0}]})",
                     {"trainers[0].groups must be between"}},
        ScenarioCase{R"({"trainers":[{"trainer":"t","model":"m"}]})", {"scenario.controls must name"}},
        ScenarioCase{"[", {"not valid JSON"}}));

} // namespace
} // namespace bergamot
