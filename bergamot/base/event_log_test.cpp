#include "bergamot/base/event_log.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

namespace bergamot
{
namespace
{

class EventLogTest : public testing::Test
{
protected:
    EventLogTest()
    {
        EXPECT_EQ(::pipe(m_pipe.data()), 0);
        ::fcntl(m_pipe[0], F_SETFL, O_NONBLOCK);
    }

    ~EventLogTest() override
    {
        ::close(m_pipe[0]);
        ::close(m_pipe[1]);
    }

    std::string read() const
    {
        std::string text(1 << 20, '\0');
        const ssize_t got = ::read(m_pipe[0], text.data(), text.size());
        text.resize(got < 0 ? 0 : static_cast<std::size_t>(got));
        return text;
    }

    std::array<int, 2> m_pipe{};
};

TEST_F(EventLogTest, QuotesAndEscapesValuesWithSpecialCharacters)
{
    EventLog log(m_pipe[1], {});
    log.write(EventKind::Request, "refused", {{"request", "a1"}, {"reason", "no \"free\" endpoint\n"}});
    log.flush();
    const std::string text = read();
    EXPECT_NE(text.find("kind=request event=refused request=a1 reason=\"no \\\"free\\\" endpoint \"\n"),
              std::string::npos)
        << text;
}

TEST_F(EventLogTest, LinesAreDroppedAndCountedWhenThePipeIsFull)
{
    EventLog log(m_pipe[1], {.linesPerSecond = {1e9, 1e9}, .burstSeconds = 1, .bufferBytes = 4096});
    for (int line = 0; line < 20000; ++line) {
        log.write(EventKind::State, "busy", {{"line", std::to_string(line)}});
        log.flush(); // would hang here if the descriptor were blocking
    }
    EXPECT_GT(log.dropped(), 0U);
    EXPECT_TRUE(log.hasUnwritten());
}

TEST_F(EventLogTest, ABurstOfRequestLinesDoesNotDisplaceStateLines)
{
    EventLog log(m_pipe[1], {.linesPerSecond = {10, 10}, .burstSeconds = 1});
    for (int line = 0; line < 1000; ++line) {
        log.write(EventKind::Request, "answered", {});
    }
    log.write(EventKind::State, "store-lost", {});
    log.flush();
    EXPECT_NE(read().find("event=store-lost"), std::string::npos);
    EXPECT_GT(log.dropped(), 900U);
}

} // namespace
} // namespace bergamot
