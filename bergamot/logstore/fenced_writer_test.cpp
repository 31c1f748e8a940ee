#include "bergamot/logstore/fenced_writer.h"

#include <gtest/gtest.h>

#include "bergamot/logstore/fake_log_store.h"

namespace bergamot::logstore
{
namespace
{

using namespace std::chrono_literals;

struct FaultCase
{
    const char *name;
    StoreFaults faults;
};

class FencedWriterTest : public testing::TestWithParam<FaultCase>
{
protected:
    template<typename Condition>
    void runUntil(Condition condition)
    {
        for (int iteration = 0; iteration < 5000 && !condition(); ++iteration) {
            m_loop.restart(); // a loop that ran out of work stops
            m_loop.run_one_for(20ms);
        }
        ASSERT_TRUE(condition());
    }

    void write(const std::string &record)
    {
        m_writer.write(record, [this](bool written) {
            m_outcomes.push_back(written);
        });
    }

    boost::asio::io_context m_loop;
    MemoryLog m_log;
    FakeLogStore m_store{m_loop, m_log};
    FencedWriter m_writer{m_loop, m_store, {.topic = "t", .producer = "p", .retryPause = 2ms}};
    std::vector<bool> m_outcomes;
};

TEST_P(FencedWriterTest, RecordsAreWrittenOnceAndInOrderThroughFaults)
{
    m_store.faults = GetParam().faults;
    m_writer.begin(3, 1);
    for (const char *record : {"a", "b", "c"}) {
        write(record);
    }
    runUntil([this] {
        return m_outcomes.size() == 3;
    });
    EXPECT_EQ(m_log.read("t", 0, 0, 1024).records, (std::vector<std::string>{"a", "b", "c"}));
    EXPECT_EQ(m_outcomes, (std::vector<bool>{true, true, true}));
}

INSTANTIATE_TEST_SUITE_P(Faults,
                         FencedWriterTest,
                         testing::Values(FaultCase{"None", {}},
                                         FaultCase{"LostAnswer", {.loseAnswers = 1}},
                                         FaultCase{"LostAnswers", {.loseAnswers = 4}},
                                         FaultCase{"Refused", {.refuse = 3}},
                                         FaultCase{"RefusedAndLost", {.loseAnswers = 2, .refuse = 2}}),
                         [](const auto &test) {
                             return test.param.name;
                         });

TEST_F(FencedWriterTest, HigherEpochFencesTheWriter)
{
    m_writer.begin(3, 1);
    write("a");
    runUntil([this] {
        return m_outcomes.size() == 1;
    });
    m_log.append({.topic = "t", .records = {"claim"}, .producer = Producer{"p", 4, 0}});
    bool fenced = false;
    m_writer.onFenced([&fenced] {
        fenced = true;
    });
    write("late");
    runUntil([&fenced] {
        return fenced;
    });
    EXPECT_EQ(m_outcomes, (std::vector<bool>{true, false}));
    write("later");
    EXPECT_EQ(m_outcomes.back(), false);
    EXPECT_EQ(m_log.end("t", 0), 2U);
}

// A process that was paused handles an old acknowledgement as if it were new. What it permits counts from the call.
TEST_F(FencedWriterTest, AnAcknowledgementIsAsOldAsItsCall)
{
    m_writer.begin(3, 1);
    write("a"); // the call is sent here
    const TimePoint sent = BootClock::now();
    runUntil([this] {
        return m_outcomes.size() == 1;
    });
    EXPECT_LE(m_writer.acknowledgedCallSentAt(), sent);
    EXPECT_GT(m_writer.acknowledgedCallSentAt(), TimePoint{});
}

} // namespace
} // namespace bergamot::logstore
