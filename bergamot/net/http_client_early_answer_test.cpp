// Tests responses that arrive while their request is still being sent, and whose connection then ends.

#include "bergamot/net/http_client.h"

#include <gtest/gtest.h>

#include "bergamot/standins/early_server.h"

namespace bergamot::net
{
namespace
{

using namespace std::chrono_literals;

constexpr std::size_t LongUpload = std::size_t{24} * 1024 * 1024; // exceeds the buffers of a connection

CallEnd callEnd(const std::string &answer, EarlyEnding ending, bool readsAll, std::size_t uploadBytes)
{
    boost::asio::io_context loop;
    EarlyServer peer(loop, {.answer = answer, .ending = ending, .readsAll = readsAll});
    HttpClient client(loop, {});
    std::optional<CallEnd> end;
    client.start({.to = peer.address(),
                  .method = "POST",
                  .target = "/",
                  .body = std::string(uploadBytes, 'x'),
                  .acceptsStream =
                      [](const ResponseHead &) {
                          return true;
                      }},
                 {.onEnd = [&end](const CallEnd &ended) {
                     end = ended;
                 }});
    constexpr int MostTurns = 5000; // reached only if the client hangs
    for (int turn = 0; turn < MostTurns && !end; ++turn) {
        loop.run_one_for(20ms);
    }
    return end.value_or(CallEnd{.failure = CallFailure::TimedOut, .detail = "no end"});
}

struct AnswerCase
{
    const char *name;
    std::string answer;
};

const std::string EventHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

auto answersWithoutLength()
{
    return testing::Values(AnswerCase{"Success", "HTTP/1.1 200 OK\r\n\r\npartial"},
                           AnswerCase{"OldVersion", "HTTP/1.0 200 OK\r\n\r\npartial"},
                           AnswerCase{"NotFound", "HTTP/1.1 404 Not Found\r\n\r\npartial"},
                           AnswerCase{"Failure", "HTTP/1.1 500 Internal Server Error\r\n\r\npartial"},
                           AnswerCase{"Empty", "HTTP/1.1 200 OK\r\n\r\n"},
                           AnswerCase{"Events", EventHead + "id: 1\ndata: x\n\n"});
}

using EarlyParam = std::tuple<AnswerCase, EarlyEnding, std::size_t>;

class EarlyAnswerTest : public testing::TestWithParam<EarlyParam>
{ };

TEST_P(EarlyAnswerTest, AnAnswerWithoutLengthIsIncompleteIfItsRequestWasNotSent)
{
    const auto &[shape, ending, uploadBytes] = GetParam();
    const CallEnd end = callEnd(shape.answer, ending, false, uploadBytes);
    EXPECT_EQ(end.failure, CallFailure::Lost) << end.detail;
}

std::string endingName(EarlyEnding ending)
{
    constexpr std::array<const char *, 3> Names{"Reset", "Close", "ShutDown"};
    return Names.at(static_cast<std::size_t>(ending));
}

INSTANTIATE_TEST_SUITE_P(
    Answers,
    EarlyAnswerTest,
    testing::Combine(answersWithoutLength(),
                     testing::Values(EarlyEnding::Reset, EarlyEnding::Close, EarlyEnding::ShutDown),
                     testing::Values(LongUpload, LongUpload / 2)),
    [](const auto &test) {
        return std::get<0>(test.param).name + endingName(std::get<1>(test.param))
            + std::to_string(std::get<2>(test.param));
    });

using SentParam = std::tuple<AnswerCase, EarlyEnding>;

class SentRequestTest : public testing::TestWithParam<SentParam>
{ };

TEST_P(SentRequestTest, AnAnswerWithoutLengthIsCompleteIfItsConnectionEndsInOrder)
{
    constexpr std::size_t ShortUpload = 1000;
    const auto &[shape, ending] = GetParam();
    const CallEnd end = callEnd(shape.answer, ending, true, ShortUpload);
    EXPECT_EQ(end.failure, ending == EarlyEnding::Reset ? CallFailure::Lost : CallFailure::None) << end.detail;
}

INSTANTIATE_TEST_SUITE_P(
    Answers,
    SentRequestTest,
    testing::Combine(answersWithoutLength(),
                     testing::Values(EarlyEnding::Reset, EarlyEnding::Close, EarlyEnding::ShutDown)),
    [](const auto &test) {
        return std::get<0>(test.param).name + endingName(std::get<1>(test.param));
    });

struct StatusCase
{
    const char *status;
    bool valid;
};

class StatusTest : public testing::TestWithParam<StatusCase>
{ };

TEST_P(StatusTest, AnAnswerHasAStatusOfTheProtocol)
{
    const std::string answer = "HTTP/1.1 " + std::string(GetParam().status) + " Status\r\nContent-Length: 2\r\n\r\nok";
    const CallEnd end = callEnd(answer, EarlyEnding::ShutDown, true, 1);
    EXPECT_EQ(end.failure, GetParam().valid ? CallFailure::None : CallFailure::Malformed) << end.detail;
}

INSTANTIATE_TEST_SUITE_P(Statuses,
                         StatusTest,
                         testing::Values(StatusCase{"000", false},
                                         StatusCase{"001", false},
                                         StatusCase{"099", false},
                                         StatusCase{"200", true},
                                         StatusCase{"299", true},
                                         StatusCase{"599", true},
                                         StatusCase{"600", false},
                                         StatusCase{"999", false}),
                         [](const auto &test) {
                             return std::string("Status") + test.param.status;
                         });

class StatusBeforeAnswerTest : public testing::TestWithParam<const char *>
{ };

TEST_P(StatusBeforeAnswerTest, AnInvalidAnswerIsNoInterimOne)
{
    const std::string answer = std::string(GetParam()) + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    EXPECT_EQ(callEnd(answer, EarlyEnding::ShutDown, true, 1).failure, CallFailure::Malformed);
}

INSTANTIATE_TEST_SUITE_P(Answers,
                         StatusBeforeAnswerTest,
                         testing::Values("HTTP/1.1 000 Status\r\n\r\n",
                                         "HTTP/1.1 000 Status\r\nContent-Length: 0\r\n\r\n",
                                         "HTTP/1.1 000 Status\r\nContent-Length: 2\r\n\r\nno",
                                         "HTTP/1.1 099 Status\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));

class FieldTest : public testing::TestWithParam<const char *>
{ };

TEST_P(FieldTest, AMalformedFieldMakesTheAnswerMalformed)
{
    const std::string answer = "HTTP/1.1 200 OK\r\n" + std::string(GetParam()) + "\r\nContent-Length: 2\r\n\r\nok";
    EXPECT_EQ(callEnd(answer, EarlyEnding::ShutDown, true, 1).failure, CallFailure::Malformed);
}

INSTANTIATE_TEST_SUITE_P(Fields,
                         FieldTest,
                         testing::Values("Name with blank: x",
                                         "Blank-Before-Colon : x",
                                         "Control\x01Byte: x",
                                         "Tab\tInside: x",
                                         "Delete\x7f: x",
                                         ": no name",
                                         "no colon",
                                         "Control-In-Value: a\x01b",
                                         "Return-In-Value: a\rb"));

} // namespace
} // namespace bergamot::net
