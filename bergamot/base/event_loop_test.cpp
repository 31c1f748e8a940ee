#include "bergamot/base/event_loop.h"

#include <future>

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

/// Waits until all that was posted to `loop` before has run.
void settle(EventLoop &loop)
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

TEST(EventLoop, dropsWhatIsPostedAfterItsEnd)
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

TEST(EventLoopPoster, postsWhileTheLoopRunsAndDropsOnceItIsGone)
{
    auto loop = std::make_unique<EventLoop>();
    const EventLoop::Poster poster = loop->poster();
    int runs = 0;
    poster.post([&runs] {
        ++runs;
    });
    settle(*loop);
    loop.reset();
    poster.post([&runs] {
        ++runs;
    });
    EXPECT_EQ(runs, 1);
}

TEST(EventLoop, aTaskMayOwnWhatPostsWhenItIsDropped)
{
    struct PostsWhenDropped
    {
        explicit PostsWhenDropped(EventLoop &givenLoop)
            : loop(givenLoop)
        { }
        PostsWhenDropped(const PostsWhenDropped &) = delete;
        PostsWhenDropped &operator=(const PostsWhenDropped &) = delete;
        ~PostsWhenDropped()
        {
            loop.post([] {});
        }
        EventLoop &loop;
    };
    EventLoop loop;
    loop.postAfter(1h, [owned = std::make_shared<PostsWhenDropped>(loop)] {});
    loop.post([owned = std::make_shared<PostsWhenDropped>(loop)] {});
    settle(loop);
    loop.stop();
}

} // namespace
} // namespace bergamot
