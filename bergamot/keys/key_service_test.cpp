#include "bergamot/keys/key_service.h"

#include <future>

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;
using inner::KeyVerdict;

/// Holds appends until the test decides what the log does with them.
class HeldAppender final : public Appender
{
public:
    explicit HeldAppender(std::string writer)
        : m_writer(std::move(writer))
    { }

    RecordId append(const std::string &, std::string kind, std::string payload, Callback<Offset> done) override
    {
        RecordId id{m_writer, 1, ++m_sequence};
        held.emplace_back(Record{id, std::move(kind), std::move(payload)}, std::move(done));
        return id;
    }

    std::deque<std::pair<Record, Callback<Offset>>> held;

private:
    std::string m_writer;
    std::uint64_t m_sequence = 0;
};

class KeyServiceTest : public testing::Test
{
public:
    struct Node
    {
        Node(const std::string &name, EventLoop &loop, Clock &clock, const KeyFold &fold, const bool &caughtUp)
            : appender(name)
            , service(
                  {.writer = name, .incarnation = 1, .stream = "keys.north"}, loop, clock, appender, fold, [&caughtUp] {
                      return caughtUp;
                  })
        { }

        HeldAppender appender;
        KeyService service;
    };

    using Verdict = std::shared_ptr<std::optional<inner::KeyClaimReplyT>>;

    Verdict claim(Node &node, const std::string &id, const std::string &digest = "d", const std::string &key = "k")
    {
        inner::KeyClaimT claim;
        claim.key = key;
        claim.claim_id = id;
        claim.body_digest = digest;
        auto verdict = std::make_shared<std::optional<inner::KeyClaimReplyT>>();
        node.service.claim(claim, [verdict](const Result<inner::KeyClaimReplyT> &reply) {
            ASSERT_TRUE(reply);
            verdict->emplace(*reply);
        });
        return verdict;
    }

    std::shared_ptr<std::optional<bool>> outcome(Node &node, const std::string &id, bool ran, bool known = true)
    {
        inner::KeyOutcomeT outcome;
        outcome.key = "k";
        outcome.claim_id = id;
        outcome.ran = ran;
        outcome.known = known;
        outcome.status = 201;
        outcome.body = "lot 7";
        auto recorded = std::make_shared<std::optional<bool>>();
        node.service.outcome(outcome, [recorded](const Result<inner::KeyOutcomeReplyT> &reply) {
            *recorded = reply->recorded;
        });
        return recorded;
    }

    /// The log takes the node's oldest record and every node reads it.
    void land(Node &node)
    {
        const auto [record, done] = node.appender.held.front();
        node.appender.held.pop_front();
        fold.apply({fold.applied() + 1, record});
        done(fold.applied());
        settle();
        a.service.onApplied();
        b.service.onApplied();
    }

    /// The append of the node's oldest record ends with `error`; the record is returned.
    Record fail(Node &node, ErrorCode error)
    {
        const auto [record, done] = node.appender.held.front();
        node.appender.held.pop_front();
        done(failure(error, "out"));
        settle();
        return record;
    }

    void landLate(const Record &record)
    {
        fold.apply({fold.applied() + 1, record});
        a.service.onApplied();
        b.service.onApplied();
    }

    void settle()
    {
        std::promise<void> heard;
        loop.post([&heard] {
            heard.set_value();
        });
        heard.get_future().wait();
    }

    static KeyVerdict verdictOf(const Verdict &verdict)
    {
        return verdict->has_value() ? (*verdict)->verdict : KeyVerdict::Refused;
    }

    ManualClock clock;
    KeyFold fold;
    bool caughtUp = true;
    EventLoop loop;
    Node a{"a", loop, clock, fold, caughtUp};
    Node b{"b", loop, clock, fold, caughtUp};
};

TEST_F(KeyServiceTest, grantsOnceAndRepeatsTheAnswer)
{
    const Verdict first = claim(a, "c1");
    const Verdict second = claim(a, "c2");
    EXPECT_FALSE(first->has_value());
    EXPECT_EQ(a.appender.held.size(), 1U);
    land(a);
    EXPECT_EQ(verdictOf(first), KeyVerdict::Granted);
    EXPECT_EQ(verdictOf(second), KeyVerdict::InProgress);
    EXPECT_GT((*second)->retry_after_ms, 0U);
    EXPECT_EQ(verdictOf(claim(a, "c3", "other body")), KeyVerdict::Mismatch);
    const auto recorded = outcome(a, "c1", true);
    EXPECT_EQ(verdictOf(claim(a, "c4")), KeyVerdict::Finished); // known here before the log has it
    land(a);
    EXPECT_EQ(*recorded, true);
    const Verdict later = claim(b, "c5");
    EXPECT_EQ(verdictOf(later), KeyVerdict::Finished);
    EXPECT_EQ((*later)->status, 201);
    EXPECT_EQ((*later)->body, "lot 7");
}

TEST_F(KeyServiceTest, letsTheFirstOfTwoCommittersWin)
{
    const Verdict viaA = claim(a, "c1");
    const Verdict viaB = claim(b, "c2");
    land(b);
    land(a);
    EXPECT_EQ(verdictOf(viaA), KeyVerdict::InProgress);
    EXPECT_EQ(verdictOf(viaB), KeyVerdict::Granted);
}

TEST_F(KeyServiceTest, grantsAClaimOnlyThroughTheInstanceThatTookItToTheLog)
{
    claim(a, "c1");
    land(a);
    EXPECT_EQ(verdictOf(claim(a, "c1")), KeyVerdict::Granted); // the reply was lost
    EXPECT_EQ(verdictOf(claim(b, "c1")), KeyVerdict::Refused);
    EXPECT_EQ(*outcome(b, "c1", false), std::nullopt); // the entry gives up; under way
    land(b);
    EXPECT_EQ(fold.find("k"), nullptr);
}

struct ClaimFault
{
    ErrorCode error;
    bool lands; // after the answer was lost
};

class FaultDuringClaim : public KeyServiceTest, public testing::WithParamInterface<ClaimFault>
{ };

TEST_P(FaultDuringClaim, refusesAndFreesTheKey)
{
    const Verdict verdict = claim(a, "c1");
    const Record record = fail(a, GetParam().error);
    ASSERT_TRUE(verdict->has_value());
    EXPECT_EQ(verdictOf(verdict), KeyVerdict::Refused);
    EXPECT_GT((*verdict)->retry_after_ms, 0U);
    if (GetParam().lands) {
        landLate(record);
        EXPECT_EQ(verdictOf(claim(a, "c1")), KeyVerdict::Refused);
        EXPECT_EQ(verdictOf(claim(b, "c2")), KeyVerdict::InProgress);
        land(a); // the outcome "not run"
    }
    EXPECT_EQ(fold.find("k"), nullptr);
    const Verdict again = claim(b, "c3");
    land(b);
    EXPECT_EQ(verdictOf(again), KeyVerdict::Granted);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         FaultDuringClaim,
                         testing::Values(ClaimFault{ErrorCode::Unavailable, false},
                                         ClaimFault{ErrorCode::Overloaded, false},
                                         ClaimFault{ErrorCode::Unknown, false},
                                         ClaimFault{ErrorCode::Unknown, true}));

TEST_F(KeyServiceTest, refusesAClaimThatTheLogDoesNotShowInTime)
{
    const Verdict verdict = claim(a, "c1");
    clock.advance(1999ms);
    a.service.tick();
    EXPECT_FALSE(verdict->has_value());
    clock.advance(1ms);
    a.service.tick();
    ASSERT_TRUE(verdict->has_value());
    EXPECT_EQ(verdictOf(verdict), KeyVerdict::Refused);
    land(a);
    ASSERT_EQ(a.appender.held.size(), 1U); // "not run", by itself
    land(a);
    EXPECT_EQ(fold.find("k"), nullptr);
}

TEST_F(KeyServiceTest, freesAClaimThatItsEntryGaveUpWhoeverTookItToTheLog)
{
    claim(a, "c1"); // a dies with it under way
    EXPECT_EQ(*outcome(b, "c1", false), true);
    landLate(a.appender.held.front().first);
    ASSERT_EQ(b.appender.held.size(), 1U);
    land(b);
    EXPECT_EQ(fold.find("k"), nullptr);
}

TEST_F(KeyServiceTest, saysMayHaveRunWhenTheOutcomeNeverCame)
{
    claim(a, "c1");
    land(a);
    EXPECT_EQ(verdictOf(claim(b, "c2")), KeyVerdict::InProgress);
    clock.advance(60s);
    const Verdict late = claim(b, "c3");
    EXPECT_EQ(verdictOf(late), KeyVerdict::Finished);
    EXPECT_EQ((*late)->status, 502);
    EXPECT_NE((*late)->message.find("may have run"), std::string::npos);
    EXPECT_TRUE(b.appender.held.empty());
}

TEST_F(KeyServiceTest, keepsTryingToRecordAnOutcome)
{
    claim(a, "c1");
    land(a);
    const auto recorded = outcome(a, "c1", true, false);
    fail(a, ErrorCode::Unavailable);
    EXPECT_EQ(*recorded, false);
    const Verdict here = claim(a, "c2");
    EXPECT_EQ((*here)->status, 502);
    clock.advance(1s);
    a.service.tick();
    land(a);
    EXPECT_EQ(fold.find("k")->state, KeyState::Lost);
    EXPECT_EQ(*outcome(a, "c1", true, false), true);
}

TEST_F(KeyServiceTest, refusesUntilItHasAllClaimsOfTheLog)
{
    caughtUp = false;
    EXPECT_EQ(verdictOf(claim(a, "c1")), KeyVerdict::Refused);
    EXPECT_TRUE(a.appender.held.empty());
}

TEST_F(KeyServiceTest, aRecordThatIsReadBeforeItsAnswerComesEndsTheDoubtToo)
{
    claim(a, "c1", "d", "k1");
    clock.advance(2s);
    a.service.tick();
    fail(a, ErrorCode::Unavailable);
    const Verdict asks = claim(a, "c2", "d", "k2");
    const auto [record, done] = a.appender.held.front();
    a.appender.held.pop_front();
    landLate(record);
    EXPECT_EQ(verdictOf(asks), KeyVerdict::Granted);
    done(fold.applied());
    settle();
    EXPECT_FALSE(claim(a, "c3", "d", "k3")->has_value());
    EXPECT_FALSE(claim(a, "c4", "d", "k4")->has_value()) << "the log is in doubt no longer";
}

TEST_F(KeyServiceTest, whileTheLogIsInDoubtOneClaimAsksAndTheOthersAreRefusedAtOnce)
{
    const Verdict first = claim(a, "c1", "d", "k1");
    clock.advance(2s);
    a.service.tick();
    EXPECT_EQ((*first)->verdict, KeyVerdict::Refused);
    const Verdict asks = claim(a, "c2", "d", "k2");
    EXPECT_FALSE(asks->has_value());
    const Verdict refused = claim(a, "c3", "d", "k3");
    ASSERT_TRUE(refused->has_value()) << "it would have waited as the first one did";
    EXPECT_EQ((*refused)->verdict, KeyVerdict::Refused);
    EXPECT_GT((*refused)->retry_after_ms, 0U);
    land(a);
    land(a);
    EXPECT_EQ(verdictOf(asks), KeyVerdict::Granted);
    EXPECT_FALSE(claim(a, "c4", "d", "k4")->has_value());
    EXPECT_FALSE(claim(a, "c5", "d", "k5")->has_value()) << "the log is in doubt no longer";
}

} // namespace
} // namespace bergamot
