#include "bergamot/base/event_loop.h"

namespace bergamot
{

EventLoop::EventLoop()
    : m_thread([this] {
        run();
    })
{ }

EventLoop::~EventLoop()
{
    stop();
}

void EventLoop::post(Task task)
{
    postAfter(Duration::zero(), std::move(task));
}

void EventLoop::postAfter(Duration delay, Task task)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopping) {
            return;
        }
        m_tasks.emplace(BootClock::now() + delay, std::move(task));
    }
    m_wake.notify_one();
}

void EventLoop::every(Duration period, Task task)
{
    postAfter(period, [this, period, task = std::move(task)] {
        task();
        every(period, task);
    });
}

void EventLoop::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_tasks.clear();
    }
    m_wake.notify_one();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void EventLoop::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        if (m_tasks.empty()) {
            m_wake.wait(lock);
            continue;
        }
        const Duration delay = m_tasks.begin()->first - BootClock::now();
        if (delay > Duration::zero()) {
            m_wake.wait_for(lock, delay);
            continue;
        }
        const Task task = std::move(m_tasks.extract(m_tasks.begin()).mapped());
        lock.unlock();
        task();
        lock.lock();
    }
}

} // namespace bergamot
