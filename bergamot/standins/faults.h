#pragma once

// Fault switches that every stand-in shares: a table of faults by call, changed by one small command each.
//
//     FaultTable faults({"append", "read"});
//     faults.apply({.fault = "close", .call = "append", .count = 3}); // three answers are lost after the effect

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bergamot/base/clock.h"
#include "bergamot/base/error.h"

namespace bergamot
{

/// How an answer travels back, once the call has taken effect.
enum class AnswerFate {
    Whole,
    Half, // a part of it, then the connection closes
    Closed, // the connection closes without an answer
    Silent, // the connection stays open without an answer
};

/// The outcome of a call to a core, and how the shell has to deliver it.
template<typename T>
struct Answer
{
    Result<T> result;
    Duration delay{0}; // after the effect
    AnswerFate fate = AnswerFate::Whole;
};

/// The faults of one kind of call. Counts fall by one with each call that they hit.
struct CallFaults
{
    bool out = false; // every call is refused, proved without effect
    std::chrono::milliseconds delay{0}; // each answer comes this much later
    std::uint64_t refuse = 0; // calls refused, proved without effect
    std::uint64_t half = 0;
    std::uint64_t close = 0;
    std::uint64_t silent = 0;
};

/// A command to switch a fault. Each stand-in names its own faults in its header.
struct FaultCommand
{
    std::string fault = {};
    std::string call = {}; // empty: every call of the stand-in
    std::uint64_t count = 1; // how many calls it hits; 0 switches it off
    std::chrono::milliseconds duration{0};
    std::string text = {};
};

/// Deterministic, single-threaded. Faults: "out", "delay" (`duration`), "refuse", "half", "close", "silent" (`count`)
/// and "clear".
class FaultTable
{
public:
    explicit FaultTable(std::vector<std::string> calls);

    /// `InvalidArgument` names the faults and calls that there are.
    Result<void> apply(const FaultCommand &command);
    /// Uses up one refusal of `call`: the error to answer with, if one was due.
    std::optional<Error> refusal(const std::string &call);
    /// Wraps the outcome of an effect, using up one fault of the answer of `call`.
    template<typename T>
    Answer<T> answer(const std::string &call, Result<T> result)
    {
        CallFaults &faults = m_calls.at(call);
        return {std::move(result), faults.delay, takeFate(faults)};
    }

private:
    static AnswerFate takeFate(CallFaults &faults);
    static bool set(CallFaults &faults, const FaultCommand &command);

    std::map<std::string, CallFaults> m_calls;
};

} // namespace bergamot
