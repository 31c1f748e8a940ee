#include "bergamot/base/event_loop.h"

#include <condition_variable>
#include <map>
#include <mutex>

namespace bergamot
{

struct EventLoop::Queue
{
    void add(Duration delay, Task task)
    {
        {
            const std::lock_guard lock(mutex);
            if (stopping) {
                return;
            }
            tasks.emplace(BootClock::now() + delay, std::move(task));
        }
        wake.notify_one();
    }

    void stop()
    {
        std::multimap<TimePoint, Task> dropped; // destroyed without the lock: the destructor of a task may post
        {
            const std::lock_guard lock(mutex);
            stopping = true;
            dropped.swap(tasks);
        }
        wake.notify_one();
    }

    void run()
    {
        std::unique_lock lock(mutex);
        while (!stopping) {
            if (tasks.empty()) {
                wake.wait(lock);
                continue;
            }
            const Duration delay = tasks.begin()->first - BootClock::now();
            if (delay > Duration::zero()) {
                wake.wait_for(lock, delay);
                continue;
            }
            Task task = std::move(tasks.extract(tasks.begin()).mapped());
            lock.unlock();
            task();
            task = nullptr; // destroyed before locking: its destructor may post
            lock.lock();
        }
    }

    std::mutex mutex;
    std::condition_variable wake;
    std::multimap<TimePoint, Task> tasks;
    bool stopping = false;
};

EventLoop::EventLoop()
    : m_queue(std::make_shared<Queue>())
    , m_thread([queue = m_queue] {
        queue->run();
    })
{ }

EventLoop::~EventLoop()
{
    stop();
}

void EventLoop::post(Task task)
{
    m_queue->add(Duration::zero(), std::move(task));
}

void EventLoop::postAfter(Duration delay, Task task)
{
    m_queue->add(delay, std::move(task));
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
    m_queue->stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

EventLoop::Poster EventLoop::poster() const
{
    return Poster(m_queue);
}

EventLoop::Poster::Poster(std::shared_ptr<Queue> queue)
    : m_queue(std::move(queue))
{ }

void EventLoop::Poster::post(Task task) const
{
    m_queue->add(Duration::zero(), std::move(task));
}

} // namespace bergamot
