#include "bergamot/ctl/command.h"

#include "bergamot/base/json.h"
#include "bergamot/ctl/render.h"

namespace bergamot
{

namespace
{

using web::json::value;

/// What the commands need besides their own word.
struct Arguments
{
    std::vector<std::string> words;
    std::string operatorName;
    const FileReader &readFile;
};

struct CommandKind
{
    std::string_view name;
    std::string_view argument; // empty if it takes none
    std::string_view help;
    Result<HttpRequest> (*request)(const Arguments &arguments);
    std::string (*render)(const value &body);
};

HttpRequest request(std::string method, std::string path, std::string body = "")
{
    HttpRequest made;
    made.method = std::move(method);
    made.path = std::move(path);
    made.body = std::move(body);
    return made;
}

Result<HttpRequest> planRequest(const Arguments &arguments)
{
    const Result<std::string> text = arguments.readFile(arguments.words.front());
    if (!text) {
        return tl::unexpected(text.error());
    }
    Result<value> intent = parseJson(*text);
    if (!intent || !intent->is_object()) {
        return failure(ErrorCode::InvalidArgument, arguments.words.front() + " must hold one JSON object, the intent");
    }
    if (!intent->has_field("operator")) {
        (*intent)["operator"] = value(arguments.operatorName);
    }
    if (!intent->has_field("id")) {
        return failure(ErrorCode::InvalidArgument,
                       "the intent needs an \"id\"; with the same id it can be asked again when an answer is lost");
    }
    return request("POST", "/v1/intents", intent->serialize());
}

Result<HttpRequest> confirmRequest(const Arguments &arguments)
{
    value body = value::object();
    body["operator"] = value(arguments.operatorName);
    return request("POST", "/v1/plans/" + arguments.words.front() + "/confirm", body.serialize());
}

Result<HttpRequest> explainRequest(const Arguments &arguments)
{
    return request("GET", "/v1/explain/plan/" + arguments.words.front());
}

Result<HttpRequest> statusRequest(const Arguments &)
{
    return request("GET", "/v1/status");
}

Result<HttpRequest> historyRequest(const Arguments &)
{
    return request("GET", "/v1/history");
}

constexpr std::array Commands{
    CommandKind{
        "plan", "FILE", "post the intent in FILE (- for standard input), show its plan", &planRequest, &renderPlan},
    CommandKind{"confirm", "PLAN", "put a plan in force", &confirmRequest, &renderConfirmation},
    CommandKind{"status", "", "show which version is in force where", &statusRequest, &renderStatus},
    CommandKind{"history", "", "list the plans and what became of them", &historyRequest, &renderHistory},
    CommandKind{"explain", "PLAN", "say what happened to a plan", &explainRequest, &renderExplanation},
};

} // namespace

std::string commandHelp()
{
    std::string text;
    for (const CommandKind &kind : Commands) {
        std::string usage(kind.name);
        usage += kind.argument.empty() ? "" : " " + std::string(kind.argument);
        usage.resize(std::max<std::size_t>(usage.size() + 1, 14), ' ');
        text += "  " + usage + std::string(kind.help) + "\n";
    }
    return text;
}

Result<Command>
parseCommand(const std::vector<std::string> &words, const std::string &operatorName, const FileReader &readFile)
{
    const std::string name = words.empty() ? "" : words.front();
    const auto *const kind = std::find_if(Commands.begin(), Commands.end(), [&name](const CommandKind &known) {
        return known.name == name;
    });
    if (kind == Commands.end()) {
        return failure(ErrorCode::InvalidArgument, "'" + name + "' is no command; use one of:\n" + commandHelp());
    }
    const std::size_t wanted = kind->argument.empty() ? 0 : 1;
    if (words.size() - 1 != wanted) {
        const std::string argument =
            kind->argument.empty() ? "no argument" : "one argument, " + std::string(kind->argument);
        return failure(ErrorCode::InvalidArgument, name + " takes " + argument);
    }
    const Result<HttpRequest> made = kind->request({{words.begin() + 1, words.end()}, operatorName, readFile});
    if (!made) {
        return tl::unexpected(made.error());
    }
    return Command{*made, kind->render};
}

} // namespace bergamot
