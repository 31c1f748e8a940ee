// Tests answers that are none in the protocol, or cut off, at the operators' client.

#include <future>
#include <thread>

#include <gtest/gtest.h>

#include "bergamot/http/client.h"
#include "bergamot/standins/early_server.h"

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

struct AnswerCase
{
    const char *name;
    std::string answer;
    std::size_t uploadBytes;
    EarlyEnding ending;
    bool succeeds;
};

class AnswerTest : public testing::TestWithParam<AnswerCase>
{ };

TEST_P(AnswerTest, OnlyAWholeAnswerOfTheProtocolSucceeds)
{
    boost::asio::io_context loop;
    constexpr std::size_t ReadWhole = 1000; // smaller requests are read
    EarlyServer server(
        loop,
        {.answer = GetParam().answer, .ending = GetParam().ending, .readsAll = GetParam().uploadBytes <= ReadWhole});
    std::thread serving([&loop] {
        loop.run();
    });
    std::promise<CallOutcome> ended;
    std::future<CallOutcome> end = ended.get_future();
    {
        HttpClient client;
        client.call(server.address(),
                    {.method = "POST", .path = "/work", .body = std::string(GetParam().uploadBytes, 'x')},
                    {.timeout = 5000ms},
                    [&ended](CallOutcome outcome) {
                        ended.set_value(std::move(outcome));
                    });
        const CallOutcome outcome = end.get();
        EXPECT_EQ(outcome.has_value(), GetParam().succeeds);
    }
    loop.stop();
    serving.join();
}

constexpr std::size_t LongUpload = std::size_t{24} * 1024 * 1024; // exceeds the buffers of a connection

AnswerCase withField(const char *name, const std::string &field)
{
    return {name, "HTTP/1.1 200 OK\r\n" + field + "\r\nContent-Length: 2\r\n\r\nok", 1, EarlyEnding::ShutDown, false};
}

AnswerCase withStatus(const char *name, const std::string &status, bool succeeds)
{
    return {name, "HTTP/1.1 " + status + " Status\r\nContent-Length: 2\r\n\r\nok", 1, EarlyEnding::ShutDown, succeeds};
}

const std::string Partial = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npartial";

INSTANTIATE_TEST_SUITE_P(Answers,
                         AnswerTest,
                         testing::Values(withStatus("Status200", "200", true),
                                         withStatus("Status599", "599", true),
                                         withStatus("Status000", "000", false),
                                         withStatus("Status099", "099", false),
                                         withStatus("Status600", "600", false),
                                         withStatus("Status999", "999", false),
                                         withField("BlankInName", "Name with blank: x"),
                                         withField("ControlByteInName", "Control\x01Byte: x"),
                                         withField("TabInName", "Tab\tInside: x"),
                                         withField("ControlByteInValue", "Value: a\x01b"),
                                         AnswerCase{"ClosedInOrder", Partial, 1, EarlyEnding::Close, true},
                                         AnswerCase{"ResetBehindRequest", Partial, 1, EarlyEnding::Reset, false},
                                         AnswerCase{"ResetAmidRequest", Partial, LongUpload, EarlyEnding::Reset, false},
                                         AnswerCase{
                                             "ClosedAmidRequest", Partial, LongUpload, EarlyEnding::Close, false}),
                         [](const auto &test) {
                             return test.param.name;
                         });

} // namespace
} // namespace bergamot
