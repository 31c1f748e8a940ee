#include "bergamot/logstore/topic_tail.h"

#include <gtest/gtest.h>

#include "bergamot/logstore/fake_log_store.h"

namespace bergamot::logstore
{
namespace
{

using namespace std::chrono_literals;

class TopicTailTest : public testing::Test
{
protected:
    template<typename Done>
    void runUntil(Done done)
    {
        for (int turn = 0; turn < 5000 && !done(); ++turn) {
            m_loop.run_one_for(20ms);
        }
        ASSERT_TRUE(done());
    }

    TopicTailEvents events()
    {
        return {.onRecord =
                    [this](std::uint64_t offset, const std::string &record) {
                        m_records.emplace_back(offset, record);
                    },
                .onGap =
                    [this](std::uint64_t first) {
                        m_gaps.push_back(first);
                    },
                .onLost =
                    [this] {
                        ++m_lost;
                    },
                .onReturned =
                    [this](Duration) {
                        ++m_returned;
                    }};
    }

    boost::asio::io_context m_loop;
    MemoryLog m_log;
    FakeLogStore m_store{m_loop, m_log};
    TopicTail m_tail{m_loop, m_store, {.topic = "t", .pace = 1ms, .retryPause = 5ms, .lostAfter = 30ms}, events()};
    std::vector<std::pair<std::uint64_t, std::string>> m_records;
    std::vector<std::uint64_t> m_gaps;
    int m_lost = 0;
    int m_returned = 0;
};

TEST_F(TopicTailTest, RecordsComeOnceAndInOrder)
{
    m_log.append({.topic = "t", .records = {"a", "b"}});
    m_tail.start(0);
    runUntil([this] {
        return m_tail.caughtUp();
    });
    m_log.append({.topic = "t", .records = {"c"}});
    runUntil([this] {
        return m_records.size() == 3;
    });
    m_loop.run_for(30ms);
    EXPECT_EQ(m_records, (std::vector<std::pair<std::uint64_t, std::string>>{{0, "a"}, {1, "b"}, {2, "c"}}));
}

TEST_F(TopicTailTest, AnOutageIsToldAndNothingIsMissed)
{
    m_tail.start(0);
    m_store.faults.down = true;
    runUntil([this] {
        return m_lost == 1;
    });
    EXPECT_TRUE(m_tail.lost());
    m_log.append({.topic = "t", .records = {"a"}});
    m_store.faults.down = false;
    runUntil([this] {
        return m_records.size() == 1;
    });
    EXPECT_EQ(m_returned, 1);
    EXPECT_FALSE(m_tail.lost());
}

TEST_F(TopicTailTest, RecordsThatAreGoneAreAGap)
{
    m_log.append({.topic = "t", .records = {"a", "b", "c"}});
    m_log.trim("t", 0, 2);
    m_tail.start(0);
    runUntil([this] {
        return m_records.size() == 1;
    });
    EXPECT_EQ(m_gaps, (std::vector<std::uint64_t>{2}));
    EXPECT_EQ(m_records[0].first, 2U);
}

} // namespace
} // namespace bergamot::logstore
