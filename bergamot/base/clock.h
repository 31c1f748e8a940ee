#pragma once

// Time as an argument. Decisions receive `TimePoint now`; only shells own a `Clock`. The clock runs on while the
// machine is suspended (CLOCK_BOOTTIME), so that a paused lease holder sees its lease as lapsed when it wakes.
//
//     ManualClock clock;
//     clock.advance(std::chrono::seconds(3));

#include <atomic>
#include <chrono>

namespace bergamot
{

/// A `std::chrono` clock over CLOCK_BOOTTIME.
struct BootClock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock, duration>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

using TimePoint = BootClock::time_point;
using Duration = BootClock::duration;

/// A point of civil time, for records that people and auditors read; never used to decide.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// Thread-safe.
class Clock
{
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const = 0;
    virtual WallTime wallTime() const = 0;
};

class SystemClock final : public Clock
{
public:
    TimePoint now() const override;
    WallTime wallTime() const override;
};

/// Stands still until it is told to advance; for tests. Starts one hour after its epoch.
class ManualClock final : public Clock
{
public:
    TimePoint now() const override;
    WallTime wallTime() const override;
    void advance(Duration step);

private:
    std::atomic<Duration::rep> m_sinceEpoch{Duration(std::chrono::hours(1)).count()};
};

} // namespace bergamot
