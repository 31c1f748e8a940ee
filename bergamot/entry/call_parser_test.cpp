#include "bergamot/entry/call_parser.h"

#include <gtest/gtest.h>

#include "bergamot/base/prompt_fingerprint.h"

namespace bergamot
{

namespace
{

using namespace std::chrono_literals;

const TimePoint Now(1h);

RoutingTable exampleTable()
{
    RoutingTable table;
    table.targets["service/stock"].repeatablePaths = {"/search"};
    table.targets["service/stock"].defaultTimeout = 2s;
    table.targets["model/agent"].defaultTimeout = 60s;
    return table;
}

struct RejectedCase
{
    std::string name;
    HttpRequest request;
    ErrorCode code;
};

class RejectedCalls : public testing::TestWithParam<RejectedCase>
{ };

TEST_P(RejectedCalls, ReturnACodeAndAMessage)
{
    const Result<CallerCall> call = parseCall(GetParam().request, exampleTable(), Now);
    ASSERT_FALSE(call);
    EXPECT_EQ(call.error().code, GetParam().code);
    EXPECT_FALSE(call.error().message.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    RejectedCalls,
    testing::Values(RejectedCase{"OtherPath", {.path = "/v2/x"}, ErrorCode::NotFound},
                    RejectedCase{"UnknownService", {.path = "/v1/services/none/x"}, ErrorCode::NotFound},
                    RejectedCase{"UnknownModel",
                                 {.method = "POST", .path = "/v1/models/none/generate", .body = R"({"prompt":"a"})"},
                                 ErrorCode::NotFound},
                    RejectedCase{
                        "ModelPathWithoutName", {.method = "POST", .path = "/v1/models/generate"}, ErrorCode::NotFound},
                    RejectedCase{"GenerateNeedsPost", {.path = "/v1/models/agent/generate"}, ErrorCode::NotFound},
                    RejectedCase{"BodyIsNoJson",
                                 {.method = "POST", .path = "/v1/models/agent/generate", .body = "{"},
                                 ErrorCode::InvalidArgument},
                    RejectedCase{"NoPrompt",
                                 {.method = "POST", .path = "/v1/models/agent/generate", .body = "{}"},
                                 ErrorCode::InvalidArgument},
                    RejectedCase{"BadClass",
                                 {.path = "/v1/services/stock/x", .headers = {{"X-Class", "urgent"}}},
                                 ErrorCode::InvalidArgument},
                    RejectedCase{"ZeroDeadline",
                                 {.path = "/v1/services/stock/x", .headers = {{"X-Deadline-Ms", "0"}}},
                                 ErrorCode::InvalidArgument},
                    RejectedCase{"DeadlineWithUnit",
                                 {.path = "/v1/services/stock/x", .headers = {{"X-Deadline-Ms", "5s"}}},
                                 ErrorCode::InvalidArgument},
                    RejectedCase{"LongKey",
                                 {.method = "POST",
                                  .path = "/v1/services/stock/confirm",
                                  .headers = {{"Idempotency-Key", std::string(257, 'k')}}},
                                 ErrorCode::InvalidArgument}),
    [](const auto &testCase) {
        return testCase.param.name;
    });

struct RepeatableCase
{
    std::string name;
    std::string method;
    std::string path;
    bool repeatable;
};

class RepeatableCalls : public testing::TestWithParam<RepeatableCase>
{ };

TEST_P(RepeatableCalls, FollowMethodAndConfiguration)
{
    const HttpRequest request{.method = GetParam().method,
                              .path = "/v1/services/stock" + GetParam().path,
                              .query = {},
                              .headers = {{"Idempotency-Key", "k"}, {"X-Tenant", "buyer"}},
                              .body = {}};
    const Result<CallerCall> call = parseCall(request, exampleTable(), Now);
    ASSERT_TRUE(call);
    EXPECT_EQ(call->facts.repeatable, GetParam().repeatable);
    EXPECT_EQ(call->facts.key, GetParam().repeatable ? "" : "buyer/k");
    EXPECT_EQ(call->toEndpoint.path, GetParam().path);
    EXPECT_EQ(call->facts.deadline, Now + 2s);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         RepeatableCalls,
                         testing::Values(RepeatableCase{"Get", "GET", "/stock/fettuccine", true},
                                         RepeatableCase{"Put", "PUT", "/stock/fettuccine", true},
                                         RepeatableCase{"Post", "POST", "/confirm", false},
                                         RepeatableCase{"Patch", "PATCH", "/confirm", false},
                                         RepeatableCase{"NamedPost", "POST", "/search/lots", true}),
                         [](const auto &testCase) {
                             return testCase.param.name;
                         });

TEST(ModelCalls, ContainTheEngineRequest)
{
    const HttpRequest request{.method = "POST",
                              .path = "/v1/models/agent/generate",
                              .query = {},
                              .headers = {{"X-Class", "batch"}, {"X-Deadline-Ms", "1500"}},
                              .body = R"({"prompt":"quote","max_tokens":64,"stream":true})"};
    const Result<CallerCall> call = parseCall(request, exampleTable(), Now);
    ASSERT_TRUE(call);
    EXPECT_TRUE(call->facts.repeatable);
    EXPECT_TRUE(call->facts.streaming);
    EXPECT_EQ(call->facts.fingerprint, promptFingerprint("agent", "quote"))
        << "the same fingerprint as for a trainer's prompt";
    EXPECT_EQ(call->facts.deadline, Now + 1500ms);
    EXPECT_DOUBLE_EQ(call->facts.work, 4.0);
    ASSERT_TRUE(call->generation);
    EXPECT_EQ(call->generation->at("priority").as_integer(), 2);
    EXPECT_EQ(call->generation->at("max_tokens").as_integer(), 64);
    EXPECT_EQ(call->toEndpoint.path, "/generate");
}

} // namespace

} // namespace bergamot
