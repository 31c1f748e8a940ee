#include "bergamot/journal/batching_appender.h"

#include <future>

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

/// Stores the records of the first append but answers it with `Unknown`, as if the answer were lost.
class LossyLog final : public Log
{
public:
    void
    append(const std::string &, std::vector<Record> batch, std::chrono::milliseconds, Callback<Offset> done) override
    {
        const std::lock_guard lock(mutex);
        const Offset first = records.size() + 1;
        records.insert(records.end(), batch.begin(), batch.end());
        if (first == 1) {
            done(failure(ErrorCode::Unknown, "lost"));
            return;
        }
        done(first);
    }

    void read(const std::string &, Offset, std::size_t, std::chrono::milliseconds, Callback<LogPage> done) override
    {
        done(failure(ErrorCode::Unavailable, "this test does not read the log"));
    }

    std::mutex mutex;
    std::vector<Record> records;
};

TEST(BatchingAppender, numbersRecordsAndResendsThemWithTheSameId)
{
    SystemClock clock;
    LossyLog log;
    std::promise<Result<Offset>> outcome;
    EventLoop loop;
    BatchingAppender appender({.writer = "instance-1", .incarnation = 5, .queue = {}}, loop, clock, log);
    const RecordId id = appender.append("s", "k", "{}", [&outcome](Result<Offset> offset) {
        outcome.set_value(std::move(offset));
    });
    EXPECT_EQ(outcome.get_future().get(), Offset{2});
    EXPECT_EQ(id, (RecordId{"instance-1", 5, 1}));
    EXPECT_EQ(log.records.at(0), log.records.at(1));
    EXPECT_EQ(appender.append("s", "k", "{}", [](const Result<Offset> &) {}).sequence, 2U);
    loop.stop();
}

} // namespace
} // namespace bergamot
