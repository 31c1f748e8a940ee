#include "bergamot/audit/explain.h"

#include <gtest/gtest.h>

#include "bergamot/base/json.h"

namespace bergamot
{
namespace
{

ExportedStream evidence()
{
    const std::string payload = R"({"instance":"i1","incarnation":7,"first":1,"previous_hash":"a","hash":"b","records":[
        {"sequence":1,"kind":"step-handed-in","step":"quotes/12","samples":8,"at_ms":100},
        {"sequence":2,"kind":"sample-moved","sample":"quotes/12/3/0","from":"e2","reason":"slow engine","at_ms":200},
        {"sequence":3,"kind":"spare-started","sample":"quotes/12/3/1","engine":"e4","for":"i1/7/9","at_ms":250},
        {"sequence":4,"kind":"samples-handed-over","step":"quotes/12","bound":2,"newest":5,"at_ms":300,"samples":[
            {"sample":"quotes/12/3/0","spans":"4:120,5:8","staleness":1,"engine":"e5","request":"i1/7/12","text_digest":"d"},
            {"sample":"quotes/12/3/1","spans":"5:90","staleness":0,"engine":"e4","request":"i1/7/13","text_digest":"d"}]},
        {"sequence":5,"kind":"order-sent","engine":"e5","model":"agent","version":6,"role":"serving","fencing":41,
            "duty":"rollout/agent/north","reason":"new-version","at_ms":400}]})";
    ExportedStream stream{.stream = "evidence", .first = 1, .end = 3, .records = {}};
    for (Offset offset : {1, 2}) { // the second is a copy
        stream.records.push_back({.offset = offset, .record = {{"i1", 7, offset}, "evidence", payload}});
    }
    return stream;
}

struct ExplainCase
{
    Question question;
    std::vector<std::vector<std::string>> sentences; // what each must contain
};

class Explain : public testing::TestWithParam<ExplainCase>
{ };

TEST_P(Explain, tellsFromTheRecordsAlone)
{
    const std::vector<std::string> sentences = explain({evidence()}, GetParam().question);
    ASSERT_EQ(sentences.size(), GetParam().sentences.size());
    for (std::size_t i = 0; i < sentences.size(); ++i) {
        for (const std::string &part : GetParam().sentences[i]) {
            EXPECT_NE(sentences[i].find(part), std::string::npos) << sentences[i] << " lacks " << part;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    Explain,
    testing::Values(ExplainCase{{Subject::Sample, "quotes/12/3/0"},
                                {{"handed in with 8 samples"},
                                 {"moved away from engine e2", "slow engine"},
                                 {"Engine e5 made it", "4:120,5:8", "1 versions behind", "bound was 2"}}},
                    ExplainCase{{Subject::Request, "i1/7/13"}, {{"quotes/12/3/1", "Engine e4 made it"}}},
                    ExplainCase{{Subject::Request, "i1/7/9"}, {{"spare copy", "e4"}}},
                    ExplainCase{{Subject::Order, "e5"}, {{"version 6", "fencing number 41", "rollout/agent/north"}}},
                    ExplainCase{{Subject::Sample, "quotes/12/9/9"}, {{"handed in"}}},
                    ExplainCase{{Subject::Sample, "other/1/0/0"}, {{"do not mention other/1/0/0"}}},
                    ExplainCase{{Subject::Plan, "plan-x"}, {{"do not mention plan-x"}}}));

} // namespace
} // namespace bergamot
