#pragma once

// Decides which calls an instance still takes after it was asked to stop, and when it ends. Pure: the time comes in as
// an argument.
//
//     StopPolicy policy({.grace = std::chrono::seconds(8)});
//     policy.recordCall("quotes", duration, now);
//     policy.stopRequested(now);
//     if (!policy.mayTake("quotes", budget, now)) { ... refuse as not run ... }
//
// Load pattern: instances are stopped in turn, some seconds apart. The platform goes on sending callers here for two
// readiness checks, and for good while fewer than half of the instances of the failure domain are ready. A call that
// does not end before the process does is cut off, so one that may not end in time is refused at once, and its caller
// sends it to another instance. While the platform has not seen yet that this instance stops, every caller comes here
// by no fault of its own, and a call is taken unless calls of its route have lasted longer than the time that is left.

#include <map>
#include <optional>
#include <string>

#include "bergamot/base/clock.h"

namespace bergamot::node
{

struct StopPolicyOptions
{
    Duration grace = std::chrono::seconds(8); // from the stop request until the process is killed
    Duration killMargin = std::chrono::milliseconds(700); // from the last answers until the process is killed
    Duration flushTime = std::chrono::milliseconds(300); // in which the last answers are written
    Duration answerMargin = std::chrono::milliseconds(200); // an answer at its deadline is written within this time
    Duration minDrain = std::chrono::milliseconds(2600); // the platform reacts to two failed checks, a second apart
    Duration durationWindow = std::chrono::seconds(30); // for which the longest call of a route counts
};

/// Not thread-safe.
class StopPolicy
{
public:
    explicit StopPolicy(StopPolicyOptions options);

    void stopRequested(TimePoint now);
    bool stopping() const
    {
        return m_stopRequestedAt.has_value();
    }
    /// Zero before the stop request.
    Duration elapsed(TimePoint now) const;
    /// A call of the route has ended after `duration`.
    void recordCall(const std::string &route, Duration duration, TimePoint now);
    /// Whether a call that ends within `budget` is taken; always, before the stop request.
    bool mayTake(const std::string &route, Duration budget, TimePoint now) const;
    /// Time in which a call that begins now has to end; the longest duration before the stop request.
    Duration timeLeft(TimePoint now) const;
    /// The platform has had time to send callers elsewhere, so idle connections may be closed.
    bool mayCloseIdle(TimePoint now) const;
    /// The calls that still wait get their last answers.
    bool mustEndCalls(TimePoint now) const;
    /// The process ends, also if answers are not written completely.
    bool mustEnd(TimePoint now) const;

private:
    /// The longest calls of a route in the current window and the one before.
    struct Longest
    {
        TimePoint windowBegan{};
        Duration current{};
        Duration previous{};
    };

    StopPolicyOptions m_options;
    std::optional<TimePoint> m_stopRequestedAt;
    std::map<std::string, Longest> m_longest; // by route
};

} // namespace bergamot::node
