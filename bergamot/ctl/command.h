#pragma once

// What an operator typed, as a request to bergamot-control.
//
//     const Result<Command> command = parseCommand({"confirm", "plan-7"}, "anna", readFile);

#include <functional>
#include <string>
#include <vector>

#include "bergamot/base/error.h"
#include "bergamot/http/message.h"

namespace bergamot
{

struct Command
{
    HttpRequest request;
    std::string (*render)(const web::json::value &body) = nullptr; // the answer, for people
};

/// Reads a file, or standard input for "-".
using FileReader = std::function<Result<std::string>(const std::string &path)>;

/// One line for each command.
std::string commandHelp();

/// `InvalidArgument` names the remedy.
Result<Command>
parseCommand(const std::vector<std::string> &words, const std::string &operatorName, const FileReader &readFile);

} // namespace bergamot
