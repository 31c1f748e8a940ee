#include "bergamot/ctl/session.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

CallOutcome answer(int status, const std::string &body = R"({"message":"m","in_force":1,"of":1})")
{
    HttpResponse response;
    response.status = status;
    response.body = body;
    return response;
}

CallOutcome lost(Delivery delivery)
{
    return tl::unexpected(CallFailure{.delivery = delivery, .timedOut = false, .message = "no answer"});
}

struct SessionCase
{
    std::vector<CallOutcome> answers; // to one call each; the last one repeats
    bool wait;
    ExitCode code;
    std::size_t calls; // 0: not counted
};

class RunCommand : public testing::TestWithParam<SessionCase>
{ };

TEST_P(RunCommand, asksAgainWithTheSameRequestUntilTheAnswerIsDefinite)
{
    ManualClock clock;
    std::vector<std::string> bodies;
    std::string printed;
    const SessionWorld world{[&](const Address &, const HttpRequest &request, std::chrono::milliseconds) {
                                 bodies.push_back(request.body);
                                 return GetParam().answers[std::min(bodies.size(), GetParam().answers.size()) - 1];
                             },
                             [&](std::chrono::milliseconds time) {
                                 clock.advance(time);
                             },
                             [&](const std::string &text) {
                                 printed += text;
                             },
                             [](const std::string &) {},
                             clock};
    Command command;
    command.request.body = R"({"id":"a"})";
    command.render = [](const web::json::value &) {
        return std::string("shown");
    };
    SessionOptions options;
    options.control = {{"127.0.0.1", 1}, {"127.0.0.1", 2}};
    options.limit = 5s;
    options.waitInForce = GetParam().wait;
    EXPECT_EQ(runCommand(command, options, world), GetParam().code);
    EXPECT_EQ(std::count(bodies.begin(), bodies.end(), command.request.body), bodies.size());
    if (GetParam().calls != 0) {
        EXPECT_EQ(bodies.size(), GetParam().calls);
    }
    EXPECT_EQ(printed == "shown", GetParam().code == ExitCode::Done || GetParam().code == ExitCode::NotInForce);
}

const CallOutcome Behind = answer(200, R"({"in_force":1,"of":2})");

INSTANTIATE_TEST_SUITE_P(
    Table,
    RunCommand,
    testing::Values(SessionCase{{answer(200)}, false, ExitCode::Done, 1},
                    SessionCase{{lost(Delivery::NotSent), answer(200)}, false, ExitCode::Done, 2},
                    SessionCase{{answer(409)}, false, ExitCode::Refused, 1},
                    SessionCase{{answer(502), answer(200)}, false, ExitCode::Done, 2},
                    SessionCase{{answer(503)}, false, ExitCode::NotAccepted, 5},
                    SessionCase{{answer(502), answer(503)}, false, ExitCode::Unknown, 5},
                    SessionCase{{lost(Delivery::NotSent)}, false, ExitCode::NotAccepted, 10},
                    SessionCase{{lost(Delivery::MaybeRan), lost(Delivery::NotSent)}, false, ExitCode::Unknown, 10},
                    SessionCase{{Behind}, false, ExitCode::Done, 1},
                    SessionCase{{Behind, Behind, answer(200)}, true, ExitCode::Done, 3},
                    SessionCase{{Behind}, true, ExitCode::NotInForce, 5}));

} // namespace
} // namespace bergamot
