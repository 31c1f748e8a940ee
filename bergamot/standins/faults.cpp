#include "bergamot/standins/faults.h"

namespace bergamot
{

namespace
{

struct CountedFault
{
    std::string_view name;
    std::uint64_t CallFaults::*count;
};

struct AnswerFault
{
    AnswerFate fate;
    std::uint64_t CallFaults::*count;
};

constexpr CountedFault CountedFaults[] = {
    {"refuse", &CallFaults::refuse},
    {"half", &CallFaults::half},
    {"close", &CallFaults::close},
    {"silent", &CallFaults::silent},
};

constexpr AnswerFault AnswerFaults[] = {
    {AnswerFate::Half, &CallFaults::half},
    {AnswerFate::Closed, &CallFaults::close},
    {AnswerFate::Silent, &CallFaults::silent},
};

bool take(std::uint64_t &count)
{
    if (count == 0) {
        return false;
    }
    --count;
    return true;
}

} // namespace

FaultTable::FaultTable(std::vector<std::string> calls)
{
    for (std::string &call : calls) {
        m_calls.emplace(std::move(call), CallFaults());
    }
}

Result<void> FaultTable::apply(const FaultCommand &command)
{
    std::string names;
    bool known = false;
    for (auto &[call, faults] : m_calls) {
        names += " " + call;
        if (!command.call.empty() && command.call != call) {
            continue;
        }
        known = true;
        if (!set(faults, command)) {
            return failure(ErrorCode::InvalidArgument,
                           "fault '" + command.fault
                               + "' is not known here; write out, delay, refuse, half, close, silent or clear");
        }
    }
    if (!known) {
        return failure(ErrorCode::InvalidArgument, "call '" + command.call + "' is not known here; there are" + names);
    }
    return {};
}

bool FaultTable::set(CallFaults &faults, const FaultCommand &command)
{
    if (command.fault == "clear") {
        faults = CallFaults();
        return true;
    }
    if (command.fault == "out") {
        faults.out = command.count > 0;
        return true;
    }
    if (command.fault == "delay") {
        faults.delay = command.duration;
        return true;
    }
    for (const CountedFault &counted : CountedFaults) {
        if (command.fault == counted.name) {
            faults.*counted.count = command.count;
            return true;
        }
    }
    return false;
}

std::optional<Error> FaultTable::refusal(const std::string &call)
{
    constexpr std::chrono::milliseconds RetryAfter{1000};
    CallFaults &faults = m_calls.at(call);
    if (faults.out || take(faults.refuse)) {
        return Error{ErrorCode::Unavailable, call + " is out of service", RetryAfter};
    }
    return std::nullopt;
}

AnswerFate FaultTable::takeFate(CallFaults &faults)
{
    for (const AnswerFault &answer : AnswerFaults) {
        if (take(faults.*answer.count)) {
            return answer.fate;
        }
    }
    return AnswerFate::Whole;
}

} // namespace bergamot
