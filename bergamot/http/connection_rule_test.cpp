#include "bergamot/http/connection_rule.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

using Verdict = ConnectionVerdict;

struct RuleCase
{
    std::string name;
    std::vector<ConnectionState> connections;
    std::vector<Verdict> verdicts;
};

class ConnectionRule : public testing::TestWithParam<RuleCase>
{ };

TEST_P(ConnectionRule, closesWhatBreaksALimit)
{
    const ConnectionLimits limits{.most = 3, .idle = 60s, .stalled = 10s, .unansweredBytes = 100};
    EXPECT_EQ(judgeConnections(GetParam().connections, limits), GetParam().verdicts);
}

const ConnectionState Busy{.sinceReceived = 1s, .sinceSent = 2s};

INSTANTIATE_TEST_SUITE_P(
    Table,
    ConnectionRule,
    testing::Values(
        RuleCase{"none", {}, {}},
        RuleCase{"busy", {Busy}, {Verdict::Keep}},
        RuleCase{"idle", {{.sinceReceived = 60s, .sinceSent = 60s}}, {Verdict::StopReading}},
        RuleCase{"longAnswer", {{.sinceReceived = 300s, .sinceSent = 0s}}, {Verdict::StopReading}},
        RuleCase{"stalled", {{.sinceReceived = 20s, .sinceSent = 10s, .unsentBytes = 1}}, {Verdict::Cut}},
        RuleCase{"slowButMoving", {{.sinceReceived = 20s, .sinceSent = 9s, .unsentBytes = 1}}, {Verdict::Keep}},
        RuleCase{"longestRequest", {{.unansweredBytes = 100}}, {Verdict::Keep}},
        RuleCase{"endlessRequest", {{.unansweredBytes = 101}}, {Verdict::Cut}},
        RuleCase{"tooMany",
                 {Busy, {.sinceReceived = 30s, .sinceSent = 1s}, Busy, Busy},
                 {Verdict::Keep, Verdict::StopReading, Verdict::Keep, Verdict::Keep}},
        RuleCase{"tooManyAndStalled",
                 {Busy, {.sinceReceived = 30s, .sinceSent = 30s, .unsentBytes = 5}, Busy, Busy},
                 {Verdict::Keep, Verdict::Cut, Verdict::Keep, Verdict::Keep}},
        RuleCase{"allAlike",
                 {Busy, Busy, Busy, Busy, Busy},
                 {Verdict::StopReading, Verdict::StopReading, Verdict::Keep, Verdict::Keep, Verdict::Keep}}),
    [](const testing::TestParamInfo<RuleCase> &test) {
        return test.param.name;
    });

} // namespace
} // namespace bergamot
