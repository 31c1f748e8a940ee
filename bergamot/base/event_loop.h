#pragma once

// One thread that runs tasks in the order of their due times. An I/O layer owns a loop and posts every event to it,
// which keeps its decision code single-threaded.
//
//     EventLoop loop;
//     loop.post([&] { node.handle(event); });
//     loop.every(std::chrono::seconds(1), [&] { node.tick(); });
//     loop.stop(); // drops the queued tasks and joins the thread
//
// A callback that may run after the loop's owner was destroyed captures a poster instead of the loop:
//
//     client.call(request, [poster = loop.poster(), this](Answer answer) {
//         poster.post([this, answer] { answered(answer); });
//     });

#include <functional>
#include <memory>
#include <thread>

#include "bergamot/base/clock.h"

namespace bergamot
{

/// Thread-safe, except that `stop` and the destructor may not be called from a task.
class EventLoop
{
public:
    using Task = std::function<void()>;

    class Poster;

    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    void post(Task task);
    void postAfter(Duration delay, Task task);
    /// Runs `task` every `period`, the first time after one `period`, until the loop stops.
    void every(Duration period, Task task);
    /// Drops the queued tasks and joins the thread after the current task. Tasks posted later are dropped.
    void stop();
    Poster poster() const;

private:
    struct Queue;

    std::shared_ptr<Queue> m_queue;
    std::thread m_thread;
};

/// Posts to a loop, or drops the task if the loop has stopped or was destroyed. Thread-safe; does not extend the
/// lifetime of the loop's owner.
class EventLoop::Poster
{
public:
    void post(Task task) const;

private:
    friend class EventLoop;

    explicit Poster(std::shared_ptr<Queue> queue);

    std::shared_ptr<Queue> m_queue;
};

} // namespace bergamot
