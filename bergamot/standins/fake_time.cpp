#include "bergamot/standins/fake_time.h"

namespace bergamot
{

FakeTime::FakeTime(ManualClock &clock)
    : m_clock(clock)
{ }

TimePoint FakeTime::now() const
{
    return m_clock.now();
}

void FakeTime::at(TimePoint due, Task task)
{
    const std::lock_guard lock(m_mutex);
    m_tasks.emplace(due, std::move(task));
}

void FakeTime::advance(Duration step)
{
    const TimePoint until = m_clock.now() + step;
    for (Task task = takeDue(until); task; task = takeDue(until)) {
        task();
    }
    m_clock.advance(until - m_clock.now());
}

FakeTime::Task FakeTime::takeDue(TimePoint until)
{
    const std::lock_guard lock(m_mutex);
    if (m_tasks.empty() || m_tasks.begin()->first > until) {
        return nullptr;
    }
    const TimePoint due = m_tasks.begin()->first;
    if (due > m_clock.now()) {
        m_clock.advance(due - m_clock.now());
    }
    return std::move(m_tasks.extract(m_tasks.begin()).mapped());
}

} // namespace bergamot
