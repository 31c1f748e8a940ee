#include "bergamot/entry/data_path_test_fixture.h"
#include "bergamot/standins/faulty_tcp_server.h"

namespace bergamot
{

namespace
{

using namespace std::chrono_literals;

/// A fault of one of two endpoints, and the bound on the attempts of repeatable requests.
struct RepeatCase
{
    std::string name;
    FaultyTcpServerOptions server;
    bool refuses;
    std::size_t maxAttempts; // maximum number of complete requests at both endpoints per caller request
};

class Repeatable : public DataPathTest, public testing::WithParamInterface<RepeatCase>
{ };

TEST_P(Repeatable, IsAnsweredByTheHealthyEndpoint)
{
    constexpr std::size_t Requests = 8;
    FaultyTcpServer faulty(GetParam().server);
    FaultyTcpServer healthy(FaultyTcpServerOptions{.body = R"({"from":"healthy"})"});
    if (GetParam().refuses) {
        faulty.refuseConnections();
    }
    publishView({{faulty.address()}, {healthy.address()}});
    for (std::size_t count = 0; count < Requests; ++count) {
        const auto caller = send(m_path, within(read("item-" + std::to_string(count)), 6s));
        EXPECT_EQ(caller->outcome(), "answered");
        EXPECT_EQ(caller->answer().status, 200);
    }
    EXPECT_LE(faulty.requestCount() + healthy.requestCount(), Requests * GetParam().maxAttempts);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    Repeatable,
    testing::Values(RepeatCase{"Refused", {}, true, 1},
                    RepeatCase{"ClosedBefore", {.fault = TcpFault::CloseBeforeRequest}, false, 1},
                    RepeatCase{"ClosedDuring", {.fault = TcpFault::CloseDuringRequest}, false, 1},
                    RepeatCase{"ClosedAfter", {.fault = TcpFault::CloseAfterRequest}, false, 2},
                    RepeatCase{
                        "ClosedAfterReused", {.fault = TcpFault::CloseAfterRequest, .answersBefore = 1}, false, 2},
                    RepeatCase{"HalfAnswerReused", {.fault = TcpFault::HalfAnswer, .answersBefore = 1}, false, 2},
                    RepeatCase{"NoAnswer", {.fault = TcpFault::Silent}, false, 2}),
    [](const auto &testCase) {
        return testCase.param.name;
    });

} // namespace

} // namespace bergamot
