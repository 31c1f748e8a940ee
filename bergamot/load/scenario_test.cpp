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
        ScenarioCase{"[", {"not valid JSON"}},
        ScenarioCase{
            R"({"duration":5,"callers":[{"kind":"x"},{"tenant":"t","kind":"confirm","target":"s","item":"i","shortest_percent":101}],
                         "trainers":[{"trainer":"t","model":"m","lost_draws_percent":95,"step":1}]})",
            {"scenario.duration is not known",
             "callers[0].tenant must be",
             "callers[0].target must be",
             "callers[0].kind must be",
             "callers[1].item must be left out",
             "callers[1].shortest_percent must be",
             "trainers[0].step is not known",
             "trainers[0].lost_draws_percent must be",
             "scenario.entries must name",
             "scenario.controls must name"}}));

std::string withFaults(const std::string &faults)
{
    return R"({"fleet":{"domains":["a"],"instances":2,"engines":1,"service_endpoints":1,"model":"m","service":"s"},
               "faults":[)"
        + faults + "]}";
}

INSTANTIATE_TEST_SUITE_P(
    Fleet,
    ParseScenario,
    testing::Values(
        ScenarioCase{withFaults(R"({"at_ms":1,"fault":"kill","target":"instance-2"},
                                   {"at_ms":2,"fault":"close","target":"log","call":"append","count":3},
                                   {"at_ms":3,"fault":"change","target":"service"},
                                   {"at_ms":4,"fault":"fail-swap","target":"engine-1"})"),
                     {}},
        ScenarioCase{R"({"faults":[{"at_ms":1,"fault":"kill","target":"instance-1"}]})", {"scenario.fleet must say"}},
        ScenarioCase{R"({"fleet":{"domains":[""],"instances":0,"engines":1001,"standin":{"slots":8},"spare":1}})",
                     {"fleet.domains must hold",
                      "fleet.domains must name",
                      "fleet.instances must be between",
                      "fleet.engines must be between",
                      "fleet.standin.slots must be a string",
                      "fleet.model must be",
                      "fleet.service must be",
                      "fleet.spare is not known"}},
        ScenarioCase{withFaults(R"({"fault":"kill"},{"at_ms":1,"fault":"pause-control","target":"instance-1","x":1})"),
                     {"faults[0].at_ms must be",
                      "faults[0].target must be",
                      "faults[1].lasts_ms must say",
                      "faults[1].x is not known"}},
        ScenarioCase{withFaults(R"({"at_ms":1,"fault":"kill","target":"instance-3"},
                                   {"at_ms":2,"fault":"kill","target":"instance"},
                                   {"at_ms":3,"fault":"out","target":"log-1"},
                                   {"at_ms":4,"fault":"crash","target":"log"},
                                   {"at_ms":5,"fault":"crash","target":"engine-0"},
                                   {"at_ms":6,"fault":"crash","target":"moon"},
                                   {"at_ms":10000,"fault":"crash","target":"engine-1"})"),
                     {"faults at 1 ms has target 'instance-3'; there are 2",
                      "faults at 2 ms has target 'instance'; add its number",
                      "faults at 3 ms has target 'log-1'; there is one",
                      "faults at 4 ms has fault 'crash' for log; write one of",
                      "faults at 5 ms has target 'engine-0'",
                      "faults at 6 ms has target 'moon'; write log",
                      "faults at 10000 ms must come before"}}));

} // namespace
} // namespace bergamot
