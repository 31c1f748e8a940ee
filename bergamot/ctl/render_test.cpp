#include "bergamot/ctl/render.h"

#include <gtest/gtest.h>

#include "bergamot/base/json.h"

namespace bergamot
{
namespace
{

struct RenderCase
{
    std::string (*render)(const web::json::value &body);
    std::string body;
    std::string text;
};

class Render : public testing::TestWithParam<RenderCase>
{ };

TEST_P(Render, drawsTheAnswerForPeople)
{
    EXPECT_EQ(GetParam().render(*parseJson(GetParam().body)), GetParam().text);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    Render,
    testing::Values(
        RenderCase{&renderStatus,
                   R"({"version":4,"offset":17,"confirmed":true,"in_force":1,"of":2,
                        "missing":[{"instance":"instance-2","version":3}]})",
                   "Version 4 (offset 17).\nIn force on 1 of 2 instances.\n"
                   "MISSING     HAS VERSION\ninstance-2  3\n"},
        RenderCase{&renderStatus,
                   R"({"version":4,"offset":17,"confirmed":false,"in_force":2,"of":2,"missing":[]})",
                   "Version 4 (offset 17).\nUnconfirmed: this instance has not read the log lately.\n"
                   "In force on 2 of 2 instances.\n"},
        RenderCase{&renderHistory, R"({"plans":[]})", "No plans yet.\n"},
        RenderCase{&renderHistory,
                   R"({"plans":[{"offset":1,"plan":"plan-a","operator":"anna","base_version":0,"state":"confirmed",
                        "version":1,"superseded_by":""}]})",
                   "OFFSET  PLAN    OPERATOR  BASE  STATE      VERSION  SUPERSEDED BY\n"
                   "1       plan-a  anna      0     confirmed  1\n"},
        RenderCase{&renderConfirmation,
                   R"({"plan":"plan-a","state":"confirmed","version":2,"superseded":["b"],"collisions":["b"],
                        "in_force":0,"of":0})",
                   "Plan plan-a is confirmed as version 2.\nSuperseded intent: b\nCollided with intent: b\n"
                   "In force on 0 of 0 instances.\n"},
        RenderCase{&renderError, R"({"message":"no","superseded_by":"b"})", "no\nOther intent: b\n"},
        RenderCase{&renderError, R"("text")", "text\n"}));

TEST(RenderPlan, showsChangesCostAndWarnings)
{
    const std::string text = renderPlan(*parseJson(R"({"plan":"plan-a","state":"planned","base_version":3,
        "changes":[{"kind":"model","name":"desk","from":null,"to":{"version":2}}],"warnings":["careful"],
        "cost":{"engines_touched":9,"store_fetches":9,"duration_ms":6000,"capacity":[{"model":"desk"}]}})"));
    for (const char *part : {"changes version 3", "desk        {\"version\":2}", "9 engines", "Warning: careful"}) {
        EXPECT_NE(text.find(part), std::string::npos) << text;
    }
}

} // namespace
} // namespace bergamot
