// Tests answers that never end, at the operators' client.

#include <future>

#include <gtest/gtest.h>

#include "bergamot/base/clock.h"
#include "bergamot/http/client.h"
#include "bergamot/standins/endless_server.h"

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

constexpr std::size_t BodyBound = std::size_t{1} * 1024 * 1024;
constexpr std::chrono::milliseconds FastTimeout{10000}; // the bound in bytes is met long before
constexpr std::chrono::milliseconds DripTimeout{200};
constexpr std::chrono::seconds GiveUpTime{20}; // reached only by a client without a bound

struct EndlessCase
{
    const char *name;
    const char *start;
    std::string piece;
    Duration pause;
    bool timesOut;
};

class EndlessTest : public testing::TestWithParam<EndlessCase>
{ };

TEST_P(EndlessTest, TheCallFailsAndItsConnectionIsClosed)
{
    EndlessServer server({.start = GetParam().start, .piece = GetParam().piece, .pause = GetParam().pause});
    HttpClient client;
    std::promise<CallOutcome> ended;
    std::future<CallOutcome> end = ended.get_future();
    client.call(server.address(),
                {.path = "/work"},
                {.timeout = GetParam().timesOut ? DripTimeout : FastTimeout, .maxResponseBytes = BodyBound},
                [&ended](CallOutcome outcome) {
                    ended.set_value(std::move(outcome));
                });
    ASSERT_EQ(end.wait_for(GiveUpTime), std::future_status::ready);
    const CallOutcome outcome = end.get();
    ASSERT_FALSE(outcome);
    EXPECT_EQ(outcome.error().timedOut, GetParam().timesOut) << outcome.error().message;
    EXPECT_EQ(outcome.error().delivery, Delivery::MaybeRan);
    for (const TimePoint giveUpAt = BootClock::now() + GiveUpTime; server.closed() == 0
         && server.mostBytesSent() < 8 * EndlessServer::BufferBytes && BootClock::now() < giveUpAt;) {
        std::this_thread::yield();
    }
    EXPECT_EQ(server.closed(), 1U) << server.mostBytesSent() << " bytes accepted";
    EXPECT_LT(server.mostBytesSent(), BodyBound + 2 * EndlessServer::BufferBytes);
}

const std::string Block(1000, 'x');

INSTANTIATE_TEST_SUITE_P(
    Answers,
    EndlessTest,
    testing::Values(
        EndlessCase{"UntilClose", "HTTP/1.1 200 OK\r\n\r\n", Block, {}, false},
        EndlessCase{
            "ContentLength", "HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000000\r\n\r\n", Block, {}, false},
        EndlessCase{
            "Chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + Block + "\r\n", {}, false},
        EndlessCase{"HeadDripping", "HTTP/1.1 200 OK\r\n", "X-More: 1\r\n", 5ms, true},
        EndlessCase{"BodyDripping", "HTTP/1.1 200 OK\r\n\r\n", "x", 5ms, true}),
    [](const auto &test) {
        return test.param.name;
    });

} // namespace
} // namespace bergamot
