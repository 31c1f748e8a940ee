#pragma once

// Timers on a clock that stands still until a test advances it.
//
//     ManualClock clock;
//     FakeTime time(clock);
//     time.at(time.now() + 5ms, [] { ... });
//     time.advance(10ms); // runs the task at its time, then stands 10 ms later

#include <functional>
#include <map>
#include <mutex>

#include "bergamot/base/clock.h"

namespace bergamot
{

/// Thread-safe; tasks run on the thread that calls `advance`.
class FakeTime
{
public:
    using Task = std::function<void()>;

    /// `clock` outlives this; only `advance` moves it.
    explicit FakeTime(ManualClock &clock);

    TimePoint now() const;
    void at(TimePoint due, Task task);
    /// Moves the clock by `step`, stopping at each task that is due on the way, those added on the way included.
    void advance(Duration step);

private:
    Task takeDue(TimePoint until);

    ManualClock &m_clock;
    std::mutex m_mutex;
    std::multimap<TimePoint, Task> m_tasks;
};

} // namespace bergamot
