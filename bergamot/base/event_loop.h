#pragma once

// One thread that runs tasks in order. A shell owns a loop, posts every event to it and so keeps its decisions
// single-threaded.
//
//     EventLoop loop;
//     loop.post([&] { node.handle(event); });
//     loop.every(std::chrono::seconds(1), [&] { node.tick(); });
//     loop.stop(); // drops what is still queued and joins

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include "bergamot/base/clock.h"

namespace bergamot
{

/// Thread-safe, except that `stop` may not be called from a task.
class EventLoop
{
public:
    using Task = std::function<void()>;

    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    void post(Task task);
    void postAfter(Duration delay, Task task);
    /// Runs `task` each `period`, the first time after one `period`, until the loop stops.
    void every(Duration period, Task task);
    /// Ends the thread after the task that is running; tasks posted later are dropped.
    void stop();

private:
    void run();

    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::multimap<TimePoint, Task> m_tasks;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace bergamot
