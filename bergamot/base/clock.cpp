#include "bergamot/base/clock.h"

#include <ctime>

namespace bergamot
{

BootClock::time_point BootClock::now() noexcept
{
    timespec spec{};
    clock_gettime(CLOCK_BOOTTIME, &spec);
    return time_point(std::chrono::seconds(spec.tv_sec) + std::chrono::nanoseconds(spec.tv_nsec));
}

TimePoint SystemClock::now() const
{
    return BootClock::now();
}

WallTime SystemClock::wallTime() const
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

TimePoint ManualClock::now() const
{
    return TimePoint(Duration(m_sinceEpoch.load()));
}

WallTime ManualClock::wallTime() const
{
    return WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(now().time_since_epoch()));
}

void ManualClock::advance(Duration step)
{
    m_sinceEpoch += step.count();
}

} // namespace bergamot
