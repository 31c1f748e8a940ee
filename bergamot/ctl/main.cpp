// bergamotctl: the operators' tool.

#include <fstream>
#include <future>
#include <iostream>
#include <iterator>

#include "bergamot/base/event_loop.h"
#include "bergamot/base/settings.h"
#include "bergamot/ctl/command.h"
#include "bergamot/ctl/session.h"
#include "bergamot/http/threads.h"

namespace
{

using namespace bergamot;

Result<std::string> readFile(const std::string &path)
{
    if (path == "-") {
        return std::string(std::istreambuf_iterator<char>(std::cin), {});
    }
    std::ifstream file(path);
    if (!file) {
        return failure(ErrorCode::NotFound, "cannot read " + path);
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

std::string checkOutput(const std::string &output)
{
    return output == "table" || output == "json" ? "" : "must be table or json";
}

void addSettings(SettingsParser &parser)
{
    parser.require(
        "control-address", "IP:PORT of control processes, comma-separated; tried in order.", checkAddressList);
    parser.optional("operator", "unnamed", "Your name, for the log.");
    parser.optional("output", "table", "table for people, json for programs.", checkOutput);
    parser.optional("limit-ms", "20000", "Time for the whole command, in milliseconds.", checkUnsigned);
    parser.flag("wait", "Ask until the version is in force on every instance.");
    parser.positional("command", "plan FILE, confirm PLAN, status, history or explain PLAN.");
}

SessionOptions sessionOptions(const SettingsParser &parser)
{
    SessionOptions options;
    for (const std::string &address : splitList(parser.text("control-address"))) {
        options.control.push_back(*parseAddress(address));
    }
    options.limit = parser.milliseconds("limit-ms");
    options.waitInForce = parser.isSet("wait");
    options.json = parser.text("output") == "json";
    return options;
}

CallOutcome call(HttpClient &client, const Address &to, const HttpRequest &request, std::chrono::milliseconds timeout)
{
    auto outcome = std::make_shared<std::promise<CallOutcome>>();
    client.call(to, request, {.timeout = timeout, .repeatable = true}, [outcome](CallOutcome received) {
        outcome->set_value(std::move(received));
    });
    return outcome->get_future().get();
}

void pause(EventLoop &loop, std::chrono::milliseconds time)
{
    std::promise<void> over;
    loop.postAfter(time, [&over] {
        over.set_value();
    });
    over.get_future().wait();
}

} // namespace

int main(int argc, char **argv)
{
    initializeHttpThreads(2);
    SettingsParser parser("bergamotctl",
                          "Plans, confirms and explains changes of the configuration.\n" + commandHelp());
    addSettings(parser);
    const SettingsOutcome outcome = parser.parse(argc, argv);
    if (outcome.exitCode) {
        return *outcome.exitCode;
    }
    const Result<Command> command = parseCommand(parser.words("command"), parser.text("operator"), readFile);
    if (!command) {
        std::cerr << "bergamotctl: " << command.error().message << "\n";
        return static_cast<int>(ExitCode::BadUsage);
    }
    SystemClock clock;
    EventLoop loop;
    HttpClient client;
    const SessionWorld world{
        [&client](const Address &to, const HttpRequest &request, std::chrono::milliseconds timeout) {
            return call(client, to, request, timeout);
        },
        [&loop](std::chrono::milliseconds time) {
            pause(loop, time);
        },
        [](const std::string &text) {
            std::cout << text << std::flush;
        },
        [](const std::string &text) {
            std::cerr << "bergamotctl: " << text << "\n";
        },
        clock};
    return static_cast<int>(runCommand(*command, sessionOptions(parser), world));
}
