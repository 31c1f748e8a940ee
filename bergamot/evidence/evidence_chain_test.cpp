#include "bergamot/evidence/evidence_chain.h"

#include "bergamot/base/json.h"
#include "bergamot/evidence/chain_hash.h"

#include <future>

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

/// Keeps what is appended; answers with the next outcome of a script, then with success.
class ScriptedAppender final : public Appender
{
public:
    RecordId append(const std::string &stream, std::string, std::string payload, Callback<Offset> done) override
    {
        EXPECT_EQ(stream, "evidence");
        payloads.push_back(std::move(payload));
        if (failures.empty()) {
            done(Offset{payloads.size()});
        } else {
            const ErrorCode code = failures.front();
            failures.pop_front();
            done(failure(code, "scripted"));
        }
        return {};
    }

    std::vector<std::string> payloads;
    std::deque<ErrorCode> failures;
};

class EvidenceChainTest : public testing::Test
{
protected:
    EvidenceChain &make(std::size_t maxPending = 1000)
    {
        m_chain = std::make_unique<EvidenceChain>(
            EvidenceChainOptions{.instance = "i1", .incarnation = 7, .maxBatchRecords = 4, .maxPending = maxPending},
            m_loop,
            m_clock,
            m_appender);
        return *m_chain;
    }

    void add(int count)
    {
        for (int i = 0; i < count; ++i) {
            m_chain->record("thing", web::json::value::object());
        }
    }

    void flushOnce()
    {
        m_clock.advance(std::chrono::seconds(1));
        m_chain->tick();
        const auto settled = std::make_shared<std::promise<void>>();
        m_loop.post([settled] {
            settled->set_value();
        });
        settled->get_future().wait();
    }

    web::json::value batch(std::size_t index)
    {
        return *parseJson(m_appender.payloads.at(index));
    }

    EventLoop m_loop;
    ManualClock m_clock;
    ScriptedAppender m_appender;
    std::unique_ptr<EvidenceChain> m_chain;
};

TEST_F(EvidenceChainTest, batchesFollowOneAnotherInOneChain)
{
    make();
    add(6);
    flushOnce();
    flushOnce();
    ASSERT_EQ(m_appender.payloads.size(), 2U);
    EXPECT_EQ(batch(0).at("records").size(), 4U);
    EXPECT_EQ(batch(0).at("previous_hash").as_string(), chainStart("i1", 7));
    EXPECT_EQ(batch(1).at("first").as_integer(), 5);
    EXPECT_EQ(batch(1).at("previous_hash"), batch(0).at("hash"));
    const web::json::value second = batch(1);
    std::string hash = second.at("previous_hash").as_string();
    for (const web::json::value &record : second.at("records").as_array()) {
        hash = chainHash(hash, record);
    }
    EXPECT_EQ(second.at("hash").as_string(), hash);
    EXPECT_EQ(m_chain->pending(), 0U);
}

TEST_F(EvidenceChainTest, aFailedAppendIsRepeatedWithTheSameRecords)
{
    make();
    m_appender.failures = {ErrorCode::Unavailable, ErrorCode::Unknown};
    add(3);
    flushOnce();
    flushOnce();
    flushOnce();
    ASSERT_EQ(m_appender.payloads.size(), 3U);
    EXPECT_EQ(m_appender.payloads[0], m_appender.payloads[1]);
    EXPECT_EQ(m_appender.payloads[1], m_appender.payloads[2]);
    EXPECT_EQ(m_chain->pending(), 0U);
}

TEST_F(EvidenceChainTest, whatDoesNotFitIsCountedAndToldOnTheChain)
{
    make(3);
    add(5);
    EXPECT_EQ(m_chain->lost(), 2U);
    flushOnce();
    const EvidencePosition next = m_chain->nextPosition();
    add(1);
    flushOnce();
    ASSERT_EQ(m_appender.payloads.size(), 2U);
    const web::json::value told = batch(1).at("records").at(0);
    EXPECT_EQ(told.at("kind").as_string(), "evidence-lost");
    EXPECT_EQ(told.at("count").as_integer(), 2);
    EXPECT_EQ(batch(1).at("records").at(1).at("sequence").as_integer(), static_cast<int>(next.sequence));
}

TEST_F(EvidenceChainTest, nothingIsAppendedBeforeThePeriodIsOver)
{
    make();
    add(1);
    m_chain->tick();
    EXPECT_TRUE(m_appender.payloads.empty());
    EXPECT_EQ(m_chain->pending(), 1U);
}

} // namespace
} // namespace bergamot
