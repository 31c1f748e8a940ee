#pragma once

// Clocks. Decision classes receive the time as an argument (`TimePoint now`); only I/O layers own a `Clock`. It counts
// CLOCK_BOOTTIME, which includes suspend, so a lease holder on a machine that resumes sees that its lease has expired.
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

/// Wall-clock time (UTC) for records that people and auditors read; never the input of a decision.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// Source of the current time. Thread-safe.
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

/// A clock for tests that moves only when `advance` is called. Starts one hour after its epoch.
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
