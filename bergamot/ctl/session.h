#pragma once

// Runs a command against the control processes: asks the next one when one cannot be reached, and asks again with the
// same ids while the outcome is unknown or nothing was accepted.

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "bergamot/base/clock.h"
#include "bergamot/ctl/command.h"
#include "bergamot/http/client.h"

namespace bergamot
{

/// Exit codes of bergamotctl.
enum class ExitCode {
    Done = 0,
    Refused = 1, // the answer is definite: it does not fit or collided
    BadUsage = 2,
    NotAccepted = 3, // nothing has changed; try later
    Unknown = 4, // it may have changed; run the same command again
    NotInForce = 5, // confirmed, but not in force everywhere before the time was over
};

struct SessionOptions
{
    std::vector<Address> control; // tried in this order
    std::chrono::milliseconds limit{20'000}; // for the whole command
    std::chrono::milliseconds callTimeout{6000};
    std::chrono::milliseconds pause{1000}; // before the command is asked again
    bool waitInForce = false; // ask until the version is in force everywhere
    bool json = false; // print the answer as it came
};

/// The world outside a session.
struct SessionWorld
{
    std::function<CallOutcome(const Address &to, const HttpRequest &request, std::chrono::milliseconds timeout)> call;
    std::function<void(std::chrono::milliseconds)> pause;
    std::function<void(const std::string &)> print; // the answer
    std::function<void(const std::string &)> report; // progress and errors
    Clock &clock;
};

ExitCode runCommand(const Command &command, const SessionOptions &options, const SessionWorld &world);

} // namespace bergamot
