#pragma once

// Hands the answer of a core to the callback of a fake's call, as the network would.

#include <chrono>
#include <string>

#include "bergamot/standins/fake_time.h"
#include "bergamot/standins/faults.h"

namespace bergamot
{

/// What the caller learns of `answer` when it does not come too late.
template<typename T>
Result<T> deliveredOutcome(Answer<T> answer)
{
    if (answer.fate != AnswerFate::Whole) {
        return failure(ErrorCode::Unknown, "the connection closed before the whole answer came");
    }
    return std::move(answer.result);
}

/// Calls `done` at once if `answer` needs no time, else from `time`.
template<typename T>
void deliver(FakeTime &time, Answer<T> answer, std::chrono::milliseconds timeout, Callback<T> done)
{
    if (answer.fate == AnswerFate::Silent || answer.delay > timeout) {
        time.at(time.now() + timeout, [done = std::move(done)] {
            done(failure(ErrorCode::DeadlineExceeded, "no answer in time"));
        });
        return;
    }
    const Duration delay = answer.delay;
    Result<T> outcome = deliveredOutcome(std::move(answer));
    if (delay == Duration::zero()) {
        done(std::move(outcome));
        return;
    }
    time.at(time.now() + delay, [done = std::move(done), outcome = std::move(outcome)] {
        done(outcome);
    });
}

} // namespace bergamot
