#include "bergamot/base/event_loop.h"

#include <future>

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

/// Waits until all tasks that were posted to `loop` so far have run.
void waitForPostedTasks(EventLoop &loop)
{
    std::promise<void> ran;
    loop.post([&ran] {
        ran.set_value();
    });
    ran.get_future().wait();
}

TEST(EventLoop, runsTasksInTheOrderOfTheirTimes)
{
    EventLoop loop;
    std::string order;
    std::promise<void> last;
    loop.postAfter(20ms, [&] {
        order += "c";
        last.set_value();
    });
    loop.post([&] {
        order += "a";
    });
    loop.post([&] {
        order += "b";
    });
    last.get_future().wait();
    EXPECT_EQ(order, "abc");
}

TEST(EventLoop, dropsTasksPostedAfterStop)
{
    EventLoop loop;
    loop.stop();
    bool ran = false;
    loop.post([&ran] {
        ran = true;
    });
    loop.stop();
    EXPECT_FALSE(ran);
}

TEST(EventLoopPoster, postsWhileTheLoopRunsAndDropsAfterItsDestruction)
{
    auto loop = std::make_unique<EventLoop>();
    const EventLoop::Poster poster = loop->poster();
    int runs = 0;
    poster.post([&runs] {
        ++runs;
    });
    waitForPostedTasks(*loop);
    loop.reset();
    poster.post([&runs] {
        ++runs;
    });
    EXPECT_EQ(runs, 1);
}

TEST(EventLoop, theDestructorOfATaskMayPost)
{
    struct PostsOnDestruction
    {
        explicit PostsOnDestruction(EventLoop &givenLoop)
            : loop(givenLoop)
        { }
        PostsOnDestruction(const PostsOnDestruction &) = delete;
        PostsOnDestruction &operator=(const PostsOnDestruction &) = delete;
        ~PostsOnDestruction()
        {
            loop.post([] {});
        }
        EventLoop &loop;
    };
    EventLoop loop;
    loop.postAfter(1h, [owned = std::make_shared<PostsOnDestruction>(loop)] {});
    loop.post([owned = std::make_shared<PostsOnDestruction>(loop)] {});
    waitForPostedTasks(loop);
    loop.stop();
}

} // namespace
} // namespace bergamot
