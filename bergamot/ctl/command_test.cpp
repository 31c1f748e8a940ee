#include "bergamot/ctl/command.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

Result<std::string> readFile(const std::string &path)
{
    if (path == "intent.json") {
        return std::string(R"({"id": "a", "set": {}})");
    }
    if (path == "nameless.json") {
        return std::string("{}");
    }
    return failure(ErrorCode::NotFound, "cannot read " + path);
}

struct CommandCase
{
    std::vector<std::string> words;
    std::string line; // method, path and body; or a part of the error
    bool valid = true;
};

class ParseCommand : public testing::TestWithParam<CommandCase>
{ };

TEST_P(ParseCommand, makesARequestOrNamesTheRemedy)
{
    const Result<Command> command = parseCommand(GetParam().words, "anna", readFile);
    ASSERT_EQ(command.has_value(), GetParam().valid);
    if (!command) {
        EXPECT_NE(command.error().message.find(GetParam().line), std::string::npos) << command.error().message;
        return;
    }
    const HttpRequest &request = command->request;
    EXPECT_EQ(request.method + " " + request.path + " " + request.body, GetParam().line);
    EXPECT_NE(command->render, nullptr);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    ParseCommand,
    testing::Values(CommandCase{{"plan", "intent.json"}, R"(POST /v1/intents {"id":"a","operator":"anna","set":{}})"},
                    CommandCase{{"confirm", "plan-a"}, R"(POST /v1/plans/plan-a/confirm {"operator":"anna"})"},
                    CommandCase{{"status"}, "GET /v1/status "},
                    CommandCase{{"history"}, "GET /v1/history "},
                    CommandCase{{"explain", "plan-a"}, "GET /v1/explain/plan/plan-a "},
                    CommandCase{{}, "is no command; use one of", false},
                    CommandCase{{"reboot"}, "'reboot' is no command", false},
                    CommandCase{{"status", "x"}, "status takes no argument", false},
                    CommandCase{{"confirm"}, "confirm takes one argument, PLAN", false},
                    CommandCase{{"plan", "none.json"}, "cannot read none.json", false},
                    CommandCase{{"plan", "nameless.json"}, "needs an \"id\"", false}));

} // namespace
} // namespace bergamot
