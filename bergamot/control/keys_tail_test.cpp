#include "bergamot/control/keys_tail.h"

#include <future>

#include <gtest/gtest.h>

#include "bergamot/standins/fakes.h"

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

constexpr Offset Records = 1200; // more than one read brings

class NoAppender final : public Appender
{
public:
    RecordId append(const std::string &, std::string, std::string, Callback<Offset>) override
    {
        return {};
    }
};

/// What happens before the tail is looked at.
enum class Event {
    Activate,
    Deactivate,
    LogOut,
    LogBack,
    Wait, // 5 s with a tick every 100 ms: longer than a read of the log vouches for
    ReadSoon,
    OneMore, // record on the log
};

struct TailCase
{
    std::string name;
    std::vector<Event> events;
    Offset applied;
    bool isCaughtUp;
};

class KeysTailTable : public testing::TestWithParam<TailCase>
{
protected:
    void SetUp() override
    {
        for (Offset count = 0; count < Records; ++count) {
            appendOne();
        }
    }

    ~KeysTailTable() override
    {
        m_loop.stop();
    }

    void appendOne()
    {
        const RecordId id{"writer", 1, ++m_sequence};
        m_log.append("keys", {{id, "other", "{}"}}, 1s, [](const Result<Offset> &) {});
        m_time.advance(10ms);
    }

    /// Runs `task` on the loop and everything that it had posted.
    void onLoop(const std::function<void()> &task)
    {
        std::promise<void> done;
        m_loop.post([&] {
            task();
            done.set_value();
        });
        done.get_future().wait();
    }

    void wait(Duration span)
    {
        constexpr Duration Step = 100ms;
        for (; span > Duration{}; span -= Step) {
            onLoop([this] {
                m_tail.tick();
            });
            m_time.advance(Step);
            settle();
        }
    }

    /// Until neither the log nor the loop has anything left to do.
    void settle()
    {
        constexpr int Rounds = 8; // a page and its answer each
        for (int round = 0; round < Rounds; ++round) {
            onLoop([] {});
            m_time.advance(Duration{});
        }
    }

    void happen(Event event)
    {
        switch (event) {
        case Event::Activate:
        case Event::Deactivate:
            onLoop([this, event] {
                m_tail.setActive(event == Event::Activate);
            });
            return;
        case Event::LogOut:
            ASSERT_TRUE(m_log.apply({.fault = "out"}));
            return;
        case Event::LogBack:
            ASSERT_TRUE(m_log.apply({.fault = "clear"}));
            return;
        case Event::Wait:
            wait(5s);
            return;
        case Event::ReadSoon:
            onLoop([this] {
                m_tail.readSoon();
            });
            settle();
            return;
        case Event::OneMore:
            appendOne();
            return;
        }
    }

    ManualClock m_clock;
    FakeTime m_time{m_clock};
    FakeLog m_log{m_time, {.appendsPerSecond = 1'000'000}};
    NoAppender m_appender;
    EventLoop m_loop;
    KeyFold m_fold;
    Offset m_told = 0; // by the event, the last time
    std::uint64_t m_sequence = 0;
    KeysTail m_tail{{.stream = "keys", .logTail = {}}, m_fold, {m_loop, m_clock, m_log, m_appender}, [this] {
                        m_told = m_fold.applied();
                    }};
};

TEST_P(KeysTailTable, readsWhileItIsActiveAndSaysWhetherItHasAll)
{
    for (const Event event : GetParam().events) {
        happen(event);
    }
    onLoop([this] {
        EXPECT_EQ(m_fold.applied(), GetParam().applied);
        EXPECT_EQ(m_told, GetParam().applied);
        EXPECT_EQ(m_tail.isCaughtUp(), GetParam().isCaughtUp);
    });
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    KeysTailTable,
    testing::Values(
        TailCase{"inactive", {Event::Wait}, 0, false},
        TailCase{"active", {Event::Activate, Event::Wait}, Records, true},
        TailCase{"logOut", {Event::LogOut, Event::Activate, Event::Wait}, 0, false},
        TailCase{"logBack", {Event::LogOut, Event::Activate, Event::Wait, Event::LogBack, Event::Wait}, Records, true},
        TailCase{
            "logOutForLongAfterAllWasRead", {Event::Activate, Event::Wait, Event::LogOut, Event::Wait}, Records, false},
        TailCase{"handedOn", {Event::Activate, Event::Wait, Event::Deactivate}, Records, false},
        TailCase{"takenAgain",
                 {Event::Activate,
                  Event::Wait,
                  Event::Deactivate,
                  Event::OneMore,
                  Event::Wait,
                  Event::Activate,
                  Event::Wait},
                 Records + 1,
                 true},
        TailCase{"ownRecord", {Event::Activate, Event::Wait, Event::OneMore, Event::ReadSoon}, Records + 1, true}),
    [](const auto &testCase) {
        return testCase.param.name;
    });

} // namespace
} // namespace bergamot
