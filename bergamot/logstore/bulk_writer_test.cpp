#include "bergamot/logstore/bulk_writer.h"

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

class BulkWriterTest : public testing::TestWithParam<FaultCase>
{ };

TEST_P(BulkWriterTest, ReportedOffsetHoldsTheRecord)
{
    boost::asio::io_context loop;
    MemoryLog log;
    FakeLogStore store(loop, log);
    store.faults = GetParam().faults;
    BulkWriter writer(loop, store, {.topic = "t", .retryPause = 2ms});
    std::map<std::string, std::uint64_t> offsets;
    const std::vector<std::string> records{"a", "b", "c", "d"};
    for (std::size_t index = 0; index < records.size(); ++index) {
        writer.write(
            index % 2, records[index], [&offsets, record = records[index]](std::optional<std::uint64_t> offset) {
                ASSERT_TRUE(offset);
                offsets[record] = *offset;
            });
    }
    for (int iteration = 0; iteration < 5000 && offsets.size() < records.size(); ++iteration) {
        loop.run_one_for(20ms);
    }
    ASSERT_EQ(offsets.size(), records.size());
    for (std::size_t index = 0; index < records.size(); ++index) {
        const ReadOutcome read = log.read("t", index % 2, offsets[records[index]], 1);
        EXPECT_EQ(read.records.at(0), records[index]);
    }
    EXPECT_EQ(writer.pendingRecords(), 0U);
}

INSTANTIATE_TEST_SUITE_P(Faults,
                         BulkWriterTest,
                         testing::Values(FaultCase{"None", {}},
                                         FaultCase{"LostAnswers", {.loseAnswers = 3}},
                                         FaultCase{"Refused", {.refuse = 3}}),
                         [](const auto &test) {
                             return test.param.name;
                         });

TEST(BulkWriterClearTest, ClearDropsPendingRecords)
{
    boost::asio::io_context loop;
    MemoryLog log;
    FakeLogStore store(loop, log);
    store.faults.down = true;
    BulkWriter writer(loop, store, {.topic = "t"});
    bool dropped = false;
    writer.write(0, "a", [&dropped](std::optional<std::uint64_t> offset) {
        dropped = !offset;
    });
    writer.clear();
    EXPECT_TRUE(dropped);
    loop.run_for(50ms);
    EXPECT_EQ(writer.pendingRecords(), 0U);
}

} // namespace
} // namespace bergamot::logstore
