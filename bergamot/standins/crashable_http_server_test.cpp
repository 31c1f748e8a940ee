#include "bergamot/standins/crashable_http_server.h"

#include <future>

#include <gtest/gtest.h>

#include "bergamot/http/client.h"

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

constexpr std::chrono::seconds Patience{20};
const Address AnyPort{"127.0.0.1", 0};

CallOutcome callAndWait(HttpClient &client, const Address &to, HttpRequest request)
{
    std::promise<CallOutcome> outcome;
    client.call(to, std::move(request), {.timeout = Patience, .repeatable = false}, [&](CallOutcome result) {
        outcome.set_value(std::move(result));
    });
    return outcome.get_future().get();
}

struct AnswerCase
{
    std::string name;
    void (*answer)(DroppableResponder &responder);
    std::optional<std::string> body; // none: the client must see a failure
};

class Answers : public testing::TestWithParam<AnswerCase>
{ };

TEST_P(Answers, areSeenAsTheyWereGiven)
{
    IoThreads threads(2);
    CrashableHttpServer server(threads, AnyPort, [](const HttpRequest &, const DroppableResponderPtr &responder) {
        GetParam().answer(*responder);
    });
    ASSERT_TRUE(server.start());
    HttpClient client;
    const CallOutcome outcome = callAndWait(client, server.address(), {.method = "POST", .body = "x"});
    ASSERT_EQ(outcome.has_value(), GetParam().body.has_value());
    if (outcome) {
        EXPECT_EQ(outcome->body, *GetParam().body);
    } else {
        EXPECT_EQ(outcome.error().delivery, Delivery::MaybeRan);
    }
}

INSTANTIATE_TEST_SUITE_P(Table,
                         Answers,
                         testing::Values(AnswerCase{"whole",
                                                    [](DroppableResponder &responder) {
                                                        responder.reply({.body = "whole"});
                                                        responder.reply({.body = "second"});
                                                    },
                                                    "whole"},
                                         AnswerCase{"stream",
                                                    [](DroppableResponder &responder) {
                                                        responder.beginStream({});
                                                        EXPECT_TRUE(responder.write("a"));
                                                        EXPECT_TRUE(responder.write("b"));
                                                        responder.endStream();
                                                        EXPECT_FALSE(responder.write("c"));
                                                    },
                                                    "ab"},
                                         AnswerCase{"half",
                                                    [](DroppableResponder &responder) {
                                                        responder.beginStream({});
                                                        responder.write("a");
                                                        responder.abortStream();
                                                    },
                                                    std::nullopt},
                                         AnswerCase{"dropped",
                                                    [](DroppableResponder &responder) {
                                                        responder.drop();
                                                    },
                                                    std::nullopt},
                                         AnswerCase{"forgotten", [](DroppableResponder &) {}, std::nullopt}),
                         [](const testing::TestParamInfo<AnswerCase> &test) {
                             return test.param.name;
                         });

TEST(CrashableHttpServer, carriesEveryPartOfARequest)
{
    IoThreads threads(1);
    std::promise<HttpRequest> received;
    CrashableHttpServer server(threads, AnyPort, [&](HttpRequest request, const DroppableResponderPtr &responder) {
        received.set_value(std::move(request));
        responder->reply({.headers = {{"X-Leaving", "true"}}, .body = "{}"});
    });
    ASSERT_TRUE(server.start());
    HttpClient client;
    const HttpRequest sent{.method = "PUT",
                           .path = "/a b/c",
                           .query = {{"q", "x y&z=1"}},
                           .headers = {{"X-Tenant", "kigali"}},
                           .body = std::string(1U << 20U, 'x')};
    const CallOutcome outcome = callAndWait(client, server.address(), sent);
    ASSERT_TRUE(outcome) << outcome.error().message;
    EXPECT_EQ(headerOr(outcome->headers, "x-leaving", ""), "true");
    const HttpRequest request = received.get_future().get();
    EXPECT_EQ(request.method + request.path, sent.method + sent.path);
    EXPECT_EQ(request.query, sent.query);
    EXPECT_EQ(headerOr(request.headers, "x-tenant", ""), "kigali");
    EXPECT_EQ(request.body, sent.body);
}

TEST(CrashableHttpServer, refusesAndBreaksConnectionsWhileStoppedBesideAnOpenOne)
{
    IoThreads threads(2);
    std::promise<DroppableResponderPtr> held;
    const auto hold = [&held](const HttpRequest &, const DroppableResponderPtr &responder) {
        held.set_value(responder);
    };
    const auto answer = [](const HttpRequest &, const DroppableResponderPtr &responder) {
        responder->reply({});
    };
    CrashableHttpServer crashing(threads, AnyPort, hold);
    CrashableHttpServer another(threads, AnyPort, answer);
    ASSERT_TRUE(crashing.start());
    ASSERT_TRUE(another.start());
    HttpClient client;
    std::promise<CallOutcome> inFlight;
    client.call(crashing.address(), {}, {.timeout = Patience, .repeatable = false}, [&](CallOutcome outcome) {
        inFlight.set_value(std::move(outcome));
    });
    const DroppableResponderPtr responder = held.get_future().get();
    crashing.stop();
    const CallOutcome broken = inFlight.get_future().get();
    ASSERT_FALSE(broken);
    EXPECT_EQ(broken.error().delivery, Delivery::MaybeRan);
    const CallOutcome refused = callAndWait(client, crashing.address(), {});
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().delivery, Delivery::NotSent) << refused.error().message;
    EXPECT_TRUE(callAndWait(client, another.address(), {}));
    responder->reply({});
    held = {};
    ASSERT_TRUE(crashing.start());
    std::promise<CallOutcome> again;
    client.call(crashing.address(), {}, {.timeout = Patience, .repeatable = false}, [&](CallOutcome outcome) {
        again.set_value(std::move(outcome));
    });
    held.get_future().get()->reply({});
    EXPECT_TRUE(again.get_future().get());
}

} // namespace
} // namespace bergamot
