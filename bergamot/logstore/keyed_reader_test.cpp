#include "bergamot/logstore/keyed_reader.h"

#include <gtest/gtest.h>

#include "bergamot/logstore/fake_log_store.h"

namespace bergamot::logstore
{
namespace
{

using namespace std::chrono_literals;

constexpr std::size_t Keys = 120; // more than two pages

struct KeyedReadCase
{
    const char *name;
    std::size_t failingPage; // counted from 0; this page fails once
    std::uint32_t failures;
    std::size_t calls;
};

/// Fails the page with the given number once.
class FailingStore final : public LogStore
{
public:
    FailingStore(FakeLogStore &store, std::size_t failingCall)
        : m_store(store)
        , m_failingCall(failingCall)
    { }

    void append(Append append, std::function<void(const AppendOutcome &)> done) override
    {
        m_store.append(std::move(append), std::move(done));
    }
    void read(Read read, std::function<void(ReadOutcome)> done) override
    {
        m_store.read(std::move(read), std::move(done));
    }
    void readNewest(ReadNewest read, std::function<void(ReadNewestOutcome)> done) override
    {
        m_store.faults.down = calls++ == m_failingCall;
        m_store.readNewest(std::move(read), std::move(done));
    }

    std::size_t calls = 0;

private:
    FakeLogStore &m_store;
    std::size_t m_failingCall;
};

class KeyedReaderTest : public testing::TestWithParam<KeyedReadCase>
{ };

TEST_P(KeyedReaderTest, AllPagesAreReadAndOnlyTheFailedOneIsRepeated)
{
    boost::asio::io_context loop;
    MemoryLog log;
    for (std::size_t key = 0; key < Keys; ++key) {
        log.put("keyed.k", std::to_string(1000 + key), "v" + std::to_string(key));
    }
    FakeLogStore fake(loop, log);
    FailingStore store(fake, GetParam().failingPage);
    KeyedReader reader(loop, store, {.topic = "keyed.k", .backoff = {.initial = 1ms, .maximum = 1ms}}, 1);
    std::optional<KeyedContent> content;
    reader.read([&content](KeyedContent read) {
        content = std::move(read);
    });
    EXPECT_TRUE(reader.reading());
    for (int iteration = 0; iteration < 5000 && !content; ++iteration) {
        loop.run_one_for(20ms);
    }
    ASSERT_TRUE(content);
    EXPECT_FALSE(reader.reading());
    ASSERT_EQ(content->records.size(), Keys);
    EXPECT_EQ(content->records.back().value, "v119");
    EXPECT_EQ(content->end, Keys);
    EXPECT_EQ(content->failures, GetParam().failures);
    EXPECT_EQ(store.calls, GetParam().calls);
}

INSTANTIATE_TEST_SUITE_P(Pages,
                         KeyedReaderTest,
                         testing::Values(KeyedReadCase{"NoneFails", 99, 0, 3},
                                         KeyedReadCase{"TheFirstFails", 0, 1, 4},
                                         KeyedReadCase{"TheLastFails", 2, 1, 4}),
                         [](const auto &test) {
                             return test.param.name;
                         });

} // namespace
} // namespace bergamot::logstore
