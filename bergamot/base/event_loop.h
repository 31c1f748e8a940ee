#pragma once

// One thread that runs tasks in order. A shell owns a loop, posts every event to it and so keeps its decisions
// single-threaded.
//
//     EventLoop loop;
//     loop.post([&] { node.handle(event); });
//     loop.every(std::chrono::seconds(1), [&] { node.tick(); });
//     loop.stop(); // drops what is still queued and joins
//
// A callback that may come after the loop's owner has gone keeps a poster instead of the loop:
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
    /// Runs `task` each `period`, the first time after one `period`, until the loop stops.
    void every(Duration period, Task task);
    /// Ends the thread after the task that is running; tasks posted later are dropped.
    void stop();
    Poster poster() const;

private:
    struct Queue;

    std::shared_ptr<Queue> m_queue;
    std::thread m_thread;
};

/// Posts to a loop, or drops the task if the loop has stopped or is gone. Thread-safe; keeps nothing of the loop's
/// owner alive.
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
