#include "bergamot/platform/platform_json.h"

#include <gtest/gtest.h>

#include "bergamot/base/json.h"

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

const StoredRecord First{4, {{"instance-1", 9, 1}, "intent", R"({"a":"ä"})"}};
const StoredRecord Second{5, {{"instance-2", 8, 7}, "confirm", ""}};

TEST(PlatformJson, comesBackAsItWas)
{
    const std::vector<Record> batch{First.record, Second.record};
    EXPECT_EQ(parseAppend(toJson(batch), "body"), batch);
    EXPECT_EQ(parseOffset(offsetToJson(7), "answer"), 7U);
    const LogPage page = parseLogPage(toJson(LogPage{{First, Second}, 2, 9}), "answer").value();
    EXPECT_EQ(page.records, (std::vector<StoredRecord>{First, Second}));
    EXPECT_EQ(page.firstRetained, 2U);
    EXPECT_EQ(page.end, 9U);
    const std::vector<ListedMember> members{
        {ListedKind::Instance, "i1", FailureDomainId("a"), {"127.0.0.1", 1}, ListedState::Live, ""},
        {ListedKind::Engine, "e1", FailureDomainId("a"), {"127.0.0.1", 2}, ListedState::Leaving, "order-agent"},
        {ListedKind::Endpoint, "s1", FailureDomainId("b"), {"127.0.0.1", 3}, ListedState::Live, "stock"}};
    EXPECT_EQ(parseMembers(toJson(members), "answer"), members);
    const PublishedWeights published{7, 4};
    EXPECT_EQ(parsePublishedWeights(toJson(published), "answer"), published);
    const EngineOrder order{9, ModelId("m"), 3, EngineRole::Idle};
    EXPECT_EQ(parseEngineOrder(toJson(order), "body"), order);
    const EngineState state{ModelId("m"), 3, 4, 5, 6, 8, 700ms, true, 2};
    EXPECT_EQ(parseEngineState(toJson(state), "answer"), state);
    const ServiceState service{4, 5, 16, 700ms, true};
    EXPECT_EQ(parseServiceState(toJson(service), "answer"), service);
    EXPECT_EQ(parseServiceState(web::json::value::object(), "answer"), ServiceState()) << "no report is no error";
    const Generation generation = parseGeneration(toJson(Generation{"text", {{1, 2}, {2, 1}}, "stop"}), "a").value();
    EXPECT_EQ(generation.text, "text");
    EXPECT_EQ(generation.spans, (std::vector<TokenSpan>{{1, 2}, {2, 1}}));
    EXPECT_EQ(generation.finish, "stop");
    const GenerateRequest request =
        parseGenerateRequest(toJson(GenerateRequest{"1", ModelId("m"), "p", 5, 2, "kv:"}), "body").value();
    EXPECT_EQ(request.requestId + request.model.value() + request.prompt + request.resumeFrom, "1mpkv:");
    EXPECT_EQ(request.maxTokens, 5U);
    EXPECT_EQ(request.priority, 2U);
}

using Parse = std::string (*)(const web::json::value &json);

/// The error of `parse`, or nothing.
template<auto parse>
std::string errorOf(const web::json::value &json)
{
    const auto parsed = parse(json, "answer");
    return parsed ? std::string() : parsed.error().message;
}

struct MalformedCase
{
    Parse parse;
    std::string text;
    std::string named; // what the error must contain
};

class Malformed : public testing::TestWithParam<MalformedCase>
{ };

TEST_P(Malformed, namesTheField)
{
    const Result<web::json::value> json = parseJson(GetParam().text);
    ASSERT_TRUE(json) << GetParam().text;
    const std::string error = GetParam().parse(*json);
    EXPECT_NE(error.find(GetParam().named), std::string::npos) << error;
    EXPECT_FALSE(error.empty());
}

constexpr std::string_view RecordFields = R"("writer":"w","incarnation":1,"sequence":1,"kind":"k","payload":"{}")";

std::string pageOf(const std::string &offsets, const std::string &bounds)
{
    std::string records;
    for (const char offset : offsets) {
        records +=
            (records.empty() ? "" : ",") + std::string("{\"offset\":") + offset + "," + std::string(RecordFields) + "}";
    }
    return R"({"records":[)" + records + "]," + bounds + "}";
}

const std::string Bounds = R"("first_retained":2,"end":6)";

INSTANTIATE_TEST_SUITE_P(
    Log,
    Malformed,
    testing::Values(
        MalformedCase{errorOf<parseOffset>, "{}", "answer.offset must be"},
        MalformedCase{errorOf<parseOffset>, R"({"offset":0})", "answer.offset must be 1"},
        MalformedCase{errorOf<parseOffset>, R"({"offset":"7"})", "answer.offset must be"},
        MalformedCase{errorOf<parseOffset>, "[]", "answer must be a JSON object"},
        MalformedCase{errorOf<parseLogPage>, "{" + Bounds + "}", "answer.records must be an array"},
        MalformedCase{errorOf<parseLogPage>, R"({"records":{},)" + Bounds + "}", "answer.records must be an array"},
        MalformedCase{errorOf<parseLogPage>, R"({"records":[],"end":6})", "answer.first_retained"},
        MalformedCase{errorOf<parseLogPage>, pageOf("", R"("first_retained":0,"end":6)"), "answer.first_retained"},
        MalformedCase{errorOf<parseLogPage>, pageOf("", R"("first_retained":7,"end":6)"), "answer.first_retained"},
        MalformedCase{errorOf<parseLogPage>, pageOf("35", Bounds), "answer.records[1].offset"},
        MalformedCase{errorOf<parseLogPage>, pageOf("33", Bounds), "answer.records[1].offset"},
        MalformedCase{errorOf<parseLogPage>, pageOf("1", Bounds), "answer.records[0].offset"},
        MalformedCase{errorOf<parseLogPage>, pageOf("56", Bounds), "answer.records[1].offset"},
        MalformedCase{errorOf<parseLogPage>, R"({"records":[{"offset":3}],)" + Bounds + "}", "records[0].writer"},
        MalformedCase{errorOf<parseAppend>, R"({"records":[7]})", "answer.records[0] must be a JSON object"}));

INSTANTIATE_TEST_SUITE_P(
    Others,
    Malformed,
    testing::Values(
        MalformedCase{errorOf<parseMembers>, R"({"members":[{"id":"e1"}]})", "answer.members[0].kind must be"},
        MalformedCase{errorOf<parseListedMember>, R"({"kind":"engine","id":"e","domain":"a"})", "answer.serves"},
        MalformedCase{errorOf<parseListedMember>, R"({"address":"host:1"})", "answer.address must be IP:PORT"},
        MalformedCase{errorOf<parseListedMember>, R"({"state":"gone"})", "answer.state must be live or leaving"},
        MalformedCase{errorOf<parsePublishedWeights>, R"({"newest":1})", "answer.concurrent_fetches"},
        MalformedCase{errorOf<parsePublishedWeights>, R"({"newest":-1,"concurrent_fetches":1})", "answer.newest"},
        MalformedCase{errorOf<parsePublishedWeights>, R"({"newest":1,"concurrent_fetches":0})", "must be 1 or more"},
        MalformedCase{errorOf<parseScore>, R"({"score":"high"})", "answer.score must be"},
        MalformedCase{errorOf<parseScore>, "{}", "answer.score must be"},
        MalformedCase{errorOf<parseEngineState>, R"({"model":"m","version":1})", "answer.slots must be 1"},
        MalformedCase{errorOf<parseEngineState>, R"({"model":"m","slots":4294967296})", "answer.slots must be below"},
        MalformedCase{errorOf<parseServiceState>, R"({"slots":-1})", "answer.slots must be"},
        MalformedCase{errorOf<parseEngineOrder>, R"({"role":"king"})", "answer.role must be serving or idle"},
        MalformedCase{errorOf<parseGenerateRequest>, R"({"request_id":"1"})", "answer.max_tokens must be 1"},
        MalformedCase{errorOf<parseHandle>, R"({"handle":7})", "answer.handle"},
        MalformedCase{errorOf<parseGeneration>, R"({"text":"t","finish":"stop"})", "answer.spans must be an array"},
        MalformedCase{errorOf<parseGeneration>, R"({"spans":[],"finish":"stop"})", "answer.text must be"},
        MalformedCase{errorOf<parseGeneration>,
                      R"({"text":"","finish":"stop","spans":[{"version":0,"tokens":1}]})",
                      "answer.spans[0].version"},
        MalformedCase{errorOf<parseGeneration>,
                      R"({"text":"","finish":"stop","spans":[{"version":1,"tokens":1},{"version":1,"tokens":2}]})",
                      "answer.spans[1].version must differ"}));

} // namespace
} // namespace bergamot
