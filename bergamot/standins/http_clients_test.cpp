// What the real clients make of answers that no stand-in would give, and how often a request arrives.

#include <future>

#include <gtest/gtest.h>

#include "bergamot/platform/http_engine_client.h"
#include "bergamot/platform/http_instance_list.h"
#include "bergamot/platform/http_log.h"
#include "bergamot/platform/http_scoring.h"
#include "bergamot/platform/http_weight_store.h"
#include "bergamot/standins/faulty_tcp_server.h"

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

constexpr std::chrono::seconds Patience{20};
const ModelId Model{"order-agent"};

/// Makes one call of a client and hands over its error, if there is one.
using Call = void (*)(HttpClient &http, const Address &to, Callback<void> done);

template<typename T>
Callback<T> errorOnly(Callback<void> done)
{
    return [done = std::move(done)](const Result<T> &result) {
        done(result ? Result<void>() : tl::unexpected(result.error()));
    };
}

void append(HttpClient &http, const Address &to, Callback<void> done)
{
    HttpLog(http, to).append("a", {{{"w", 1, 1}, "k", ""}}, Patience, errorOnly<Offset>(std::move(done)));
}

void read(HttpClient &http, const Address &to, Callback<void> done)
{
    HttpLog(http, to).read("a", 3, 10, Patience, errorOnly<LogPage>(std::move(done)));
}

void fetch(HttpClient &http, const Address &to, Callback<void> done)
{
    HttpInstanceList(http, to).fetch(Patience, errorOnly<std::vector<ListedMember>>(std::move(done)));
}

void published(HttpClient &http, const Address &to, Callback<void> done)
{
    HttpWeightStore(http, to).published(Model, Patience, errorOnly<PublishedWeights>(std::move(done)));
}

void score(HttpClient &http, const Address &to, Callback<void> done)
{
    HttpScoring(http, to).score("p", "t", Patience, errorOnly<double>(std::move(done)));
}

void generate(HttpClient &http, const Address &to, Callback<void> done)
{
    HttpEngineClient(http).generate(to, {"1", Model, "p", 3, 0, ""}, Patience, errorOnly<Generation>(std::move(done)));
}

void order(HttpClient &http, const Address &to, Callback<void> done)
{
    HttpEngineClient(http).order(to, {1, Model, 1, EngineRole::Serving}, Patience, std::move(done));
}

void state(HttpClient &http, const Address &to, Callback<void> done)
{
    HttpEngineClient(http).state(to, Patience, errorOnly<EngineState>(std::move(done)));
}

void exportCache(HttpClient &http, const Address &to, Callback<void> done)
{
    HttpEngineClient(http).exportCache(to, "1", Patience, errorOnly<std::string>(std::move(done)));
}

Result<void> outcomeOf(Call call, HttpClient &http, const Address &to)
{
    std::promise<Result<void>> outcome;
    call(http, to, [&outcome](Result<void> result) {
        outcome.set_value(std::move(result));
    });
    return outcome.get_future().get();
}

struct AnswerCase
{
    Call call;
    int status;
    std::string body;
    ErrorCode code;
    std::string named; // what the message must contain
};

class OddAnswer : public testing::TestWithParam<AnswerCase>
{ };

TEST_P(OddAnswer, isAnErrorThatSaysWhatIsWrong)
{
    FaultyTcpServer server({.status = GetParam().status, .body = GetParam().body});
    HttpClient http;
    const Result<void> outcome = outcomeOf(GetParam().call, http, server.address());
    ASSERT_FALSE(outcome);
    EXPECT_EQ(errorCodeName(outcome.error().code), errorCodeName(GetParam().code));
    EXPECT_NE(outcome.error().message.find(GetParam().named), std::string::npos) << outcome.error().message;
}

INSTANTIATE_TEST_SUITE_P(
    Malformed,
    OddAnswer,
    testing::Values(AnswerCase{append, 200, "{}", ErrorCode::Internal, "answer.offset"},
                    AnswerCase{append, 200, "{\"offset\":", ErrorCode::Internal, "not valid JSON"},
                    AnswerCase{append, 200, "[]", ErrorCode::Internal, "answer must be a JSON object"},
                    AnswerCase{append, 200, std::string(100'000, '['), ErrorCode::Internal, "answer"},
                    AnswerCase{read, 200, "{}", ErrorCode::Internal, "answer.first_retained"},
                    AnswerCase{read,
                               200,
                               R"({"first_retained":1,"end":9,"records":[{"offset":4,"writer":"w","incarnation":1,
                                   "sequence":1,"kind":"k","payload":""}]})",
                               ErrorCode::Internal,
                               "answer.records[0].offset must be 3"},
                    AnswerCase{fetch, 200, R"({"members":7})", ErrorCode::Internal, "answer.members"},
                    AnswerCase{published, 200, R"({"newest":"7"})", ErrorCode::Internal, "answer.newest"},
                    AnswerCase{score, 200, R"({"score":null})", ErrorCode::Internal, "answer.score"},
                    AnswerCase{generate, 200, R"({"text":"t"})", ErrorCode::Internal, "answer.finish"},
                    AnswerCase{order, 200, "ok", ErrorCode::Internal, "not valid JSON"},
                    AnswerCase{state, 200, "{}", ErrorCode::Internal, "answer.model"},
                    AnswerCase{exportCache, 200, "{}", ErrorCode::Internal, "answer.handle"}));

INSTANTIATE_TEST_SUITE_P(
    Statuses,
    OddAnswer,
    testing::Values(AnswerCase{append, 400, R"({"message":"bad field"})", ErrorCode::InvalidArgument, "bad field"},
                    AnswerCase{append, 413, "", ErrorCode::InvalidArgument, "413"},
                    AnswerCase{exportCache, 404, "{}", ErrorCode::NotFound, "404"},
                    AnswerCase{order, 409, "{}", ErrorCode::Conflict, "409"},
                    AnswerCase{read, 410, "{}", ErrorCode::Expired, "410"},
                    AnswerCase{append, 429, "<html>", ErrorCode::Overloaded, "429"},
                    AnswerCase{generate, 503, "{}", ErrorCode::Unavailable, "503"},
                    AnswerCase{generate, 504, "{}", ErrorCode::DeadlineExceeded, "504"},
                    AnswerCase{generate, 500, "{}", ErrorCode::Unknown, "500"},
                    AnswerCase{generate, 502, "{}", ErrorCode::Unknown, "502"},
                    AnswerCase{generate, 302, "{}", ErrorCode::Unknown, "302"},
                    AnswerCase{generate, 201, "{}", ErrorCode::Unknown, "201"}));

struct BrokenCase
{
    Call call;
    TcpFault fault;
    std::size_t requests; // whole ones that arrive
};

class Broken : public testing::TestWithParam<BrokenCase>
{ };

TEST_P(Broken, leavesOpenWhatRan)
{
    FaultyTcpServer server({.fault = GetParam().fault, .body = R"({"whole":true})"});
    HttpClient http;
    const Result<void> outcome = outcomeOf(GetParam().call, http, server.address());
    ASSERT_FALSE(outcome);
    EXPECT_EQ(errorCodeName(outcome.error().code), errorCodeName(ErrorCode::Unknown)) << outcome.error().message;
    EXPECT_EQ(server.requestCount(), GetParam().requests);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         Broken,
                         testing::Values(BrokenCase{append, TcpFault::CloseBeforeRequest, 0},
                                         BrokenCase{append, TcpFault::CloseDuringRequest, 0},
                                         BrokenCase{append, TcpFault::CloseAfterRequest, 1},
                                         BrokenCase{append, TcpFault::HalfAnswer, 1},
                                         BrokenCase{generate, TcpFault::CloseBeforeRequest, 0},
                                         BrokenCase{generate, TcpFault::CloseDuringRequest, 0},
                                         BrokenCase{generate, TcpFault::CloseAfterRequest, 1},
                                         BrokenCase{generate, TcpFault::HalfAnswer, 1},
                                         BrokenCase{order, TcpFault::CloseAfterRequest, 1},
                                         BrokenCase{exportCache, TcpFault::CloseAfterRequest, 1}));

struct OnceCase
{
    Call call;
    std::string body;
};

class Once : public testing::TestWithParam<OnceCase>
{ };

TEST_P(Once, isEachCallSentThatMayNotBeRepeated)
{
    constexpr std::size_t Calls = 30;
    FaultyTcpServer server({.fault = TcpFault::CloseAfterRequest, .answersBefore = 1, .body = GetParam().body});
    HttpClient http;
    for (std::size_t i = 0; i < Calls; ++i) {
        EXPECT_TRUE(outcomeOf(GetParam().call, http, server.address()));
    }
    EXPECT_EQ(server.requestCount(), Calls);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         Once,
                         testing::Values(OnceCase{generate, R"({"text":"","spans":[],"finish":"stop"})"},
                                         OnceCase{exportCache, R"({"handle":"kv:"})"}));

TEST(HttpClients, takeARefusedConnectionAsProof)
{
    FaultyTcpServer server({});
    server.refuseConnections();
    HttpClient http;
    for (const Call call : {append, read, fetch, published, score, generate, order, state, exportCache}) {
        EXPECT_EQ(outcomeOf(call, http, server.address()).error().code, ErrorCode::Unavailable);
    }
}

} // namespace
} // namespace bergamot
