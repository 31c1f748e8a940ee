#include "bergamot/control/forwarded_http.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

TEST(ForwardedHttp, keepsARequestWhole)
{
    HttpRequest request;
    request.method = "PUT";
    request.path = "/v1/trainers/desk/steps/7";
    request.query = {{"wait", "1"}};
    request.headers = {{"Content-Type", "application/json"}, {"X-Deadline-Ms", "500"}};
    request.body = std::string("{\0}", 3);
    const HttpRequest again = fromForwardRequest(toForwardRequest(request, 1));
    EXPECT_EQ(again.method, request.method);
    EXPECT_EQ(again.path, request.path);
    EXPECT_EQ(again.query, request.query);
    EXPECT_EQ(again.headers, request.headers);
    EXPECT_EQ(again.body, request.body);
}

struct AnswerCase
{
    std::string name;
    std::function<void(Responder &responder)> answer;
    int status;
    std::string body;
};

class ForwardedAnswer : public testing::TestWithParam<AnswerCase>
{ };

TEST_P(ForwardedAnswer, isSentExactlyOnce)
{
    std::vector<HttpResponse> answers;
    ResponderPtr responder = makeForwardResponder([&answers](const inner::BodyUnion &body) {
        answers.push_back(fromForwardReply(*const_cast<inner::BodyUnion &>(body).AsForwardReply()));
    });
    GetParam().answer(*responder);
    responder.reset();
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().status, GetParam().status);
    if (!GetParam().body.empty()) {
        EXPECT_EQ(answers.front().body, GetParam().body);
    }
}

INSTANTIATE_TEST_SUITE_P(Table,
                         ForwardedAnswer,
                         testing::Values(AnswerCase{"once",
                                                    [](Responder &responder) {
                                                        responder.reply({.status = 201, .body = "a"});
                                                    },
                                                    201,
                                                    "a"},
                                         AnswerCase{"twice",
                                                    [](Responder &responder) {
                                                        responder.reply({.body = "a"});
                                                        responder.reply({.body = "b"});
                                                    },
                                                    200,
                                                    "a"},
                                         AnswerCase{"streamed",
                                                    [](Responder &responder) {
                                                        responder.beginStream({.status = 200});
                                                        responder.write("a");
                                                        responder.write("b");
                                                        responder.endStream();
                                                    },
                                                    200,
                                                    "ab"},
                                         AnswerCase{"brokenOff",
                                                    [](Responder &responder) {
                                                        responder.beginStream({.status = 200});
                                                        responder.write("a");
                                                        responder.abortStream();
                                                    },
                                                    502,
                                                    ""},
                                         AnswerCase{"dropped", [](Responder &) {}, 500, ""}),
                         [](const auto &testCase) {
                             return testCase.param.name;
                         });

} // namespace
} // namespace bergamot
