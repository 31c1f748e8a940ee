#include "bergamot/intents/intent.h"

#include <gtest/gtest.h>

#include "bergamot/base/json.h"

namespace bergamot
{
namespace
{

Result<Intent> read(const std::string &text)
{
    return parseIntent(*parseJson(text));
}

TEST(Intent, readsWhatToJsonWrites)
{
    const Result<Intent> intent = read(R"({"id": "i", "operator": "o", "set": {"domains": ["b", "a"],
        "models": {"m": {"version": 2}}}, "remove": {"services": ["s", "s"]}})");
    ASSERT_TRUE(intent) << intent.error().message;
    EXPECT_EQ(intent->removedServices, std::vector<ServiceId>{ServiceId("s")});
    EXPECT_EQ(parseIntent(toJson(*intent)), *intent);
}

TEST(Intent, reportsEveryBadFieldAtOnce)
{
    const Result<Intent> intent = read(R"({"id": "a/b", "set": {"version": 9, "models": {"m": {"version": -1}}},
        "remove": {"domains": []}, "sett": 1})");
    ASSERT_FALSE(intent);
    for (const char *part : {"intent.id must",
                             "intent.operator must",
                             "intent.sett is not known",
                             "intent.set.version is not known",
                             "m.version must",
                             "intent.remove.domains is not"}) {
        EXPECT_NE(intent.error().message.find(part), std::string::npos) << intent.error().message;
    }
}

struct ApplyCase
{
    std::string intent;
    std::string problem; // "" if it is taken
};

class ApplyIntent : public testing::TestWithParam<ApplyCase>
{ };

TEST_P(ApplyIntent, takesItOrNamesWhatStandsAgainstIt)
{
    const Configuration base = *parseConfiguration(*parseJson(R"({"version": 3, "domains": ["a", "b"],
        "models": {"m": {"version": 5}}, "trainers": {"t": {"model": "m"}}})"));
    const Result<Configuration> after = applyIntent(base, *read(GetParam().intent));
    EXPECT_EQ(after.has_value(), GetParam().problem.empty());
    if (!after) {
        EXPECT_EQ(after.error().code, ErrorCode::Conflict);
        EXPECT_NE(after.error().message.find(GetParam().problem), std::string::npos) << after.error().message;
    }
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ApplyIntent,
    testing::Values(
        ApplyCase{R"({"id":"i","operator":"o","set":{"domains":["b","a"],"models":{"m":{"version":6}}}})", ""},
        ApplyCase{R"({"id":"i","operator":"o","set":{"models":{"m":{"version":0}}}})", ""},
        ApplyCase{R"({"id":"i","operator":"o","remove":{"models":["m"],"trainers":["t"]}})", ""},
        ApplyCase{R"({"id":"i","operator":"o","set":{"domains":["a"]}})", "were set before and stay"},
        ApplyCase{R"({"id":"i","operator":"o","set":{"models":{"m":{"version":4}}}})", "only rise"},
        ApplyCase{R"({"id":"i","operator":"o","remove":{"models":["m"]}})", "no model of the configuration"},
        ApplyCase{R"({"id":"i","operator":"o","remove":{"models":["x"]}})", "no model 'x' to remove"},
        ApplyCase{R"({"id":"i","operator":"o","set":{"trainers":{"u":{"model":"m"}}}})", "promised 200%"}));

} // namespace
} // namespace bergamot
