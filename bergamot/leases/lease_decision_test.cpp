#include "bergamot/leases/lease_decision.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

const DutyId Duty("rollout/desk/north");
const DutyId Other("rollout/desk/east");

LeaseOptions options(const std::string &holder, std::uint64_t incarnation = 1)
{
    LeaseOptions options;
    options.holder = holder;
    options.incarnation = incarnation;
    return options; // term 10 s, margin 0.5 s, delivery 2 s, renewal each 3 s
}

/// Two holders and an in-memory stream; a test decides when each holder reads it.
class LeaseDecisionTest : public testing::Test
{
public:
    struct Holder
    {
        LeaseDecision decision;
        std::string name;
        std::uint64_t sequence = 0;
        LeaseFold fold;

        explicit Holder(const std::string &holder, std::uint64_t incarnation = 1)
            : decision(options(holder, incarnation))
            , name(holder)
        { }
    };

    void read(Holder &holder)
    {
        while (holder.fold.applied() < log.size()) {
            holder.fold.apply(log[holder.fold.applied()]);
        }
        holder.decision.observe(holder.fold, clock.now());
    }

    /// Marks the holder's next request as sent and returns its record, which is not appended yet; nullopt if none is
    /// due.
    std::optional<Record> sendRequest(Holder &holder)
    {
        const std::optional<LeaseRequest> request = holder.decision.takeRequest(holder.fold, clock.now());
        if (!request) {
            return std::nullopt;
        }
        const RecordId id{holder.name, 1, ++holder.sequence};
        holder.decision.recordSent(id.sequence, clock.now());
        return Record{id, std::string(request->kind), dutiesPayload(request->updates)};
    }

    void appendToLog(const Record &record)
    {
        log.push_back({log.size() + 1, record});
    }

    /// Sends the next request, appends it, reports success and reads the stream. True if a request was due.
    bool step(Holder &holder)
    {
        const std::optional<Record> record = sendRequest(holder);
        if (record) {
            appendToLog(*record);
            holder.decision.recordAnswer(Offset{log.size()}, clock.now());
        }
        read(holder);
        return record.has_value();
    }

    bool holds(const Holder &holder, const DutyId &duty = Duty) const
    {
        return holder.decision.holds(holder.fold, duty, clock.now());
    }

    ManualClock clock;
    std::vector<StoredRecord> log;
    Holder a{"a"};
    Holder b{"b"};
};

TEST_F(LeaseDecisionTest, claimsAFreeDutyAndRenewsAllInOneRecord)
{
    a.decision.acquire(Duty);
    a.decision.acquire(Other);
    EXPECT_TRUE(step(a)); // the stream is still empty
    EXPECT_TRUE(holds(a) && holds(a, Other));
    clock.advance(2999ms);
    EXPECT_FALSE(step(a));
    clock.advance(1ms);
    EXPECT_TRUE(step(a));
    EXPECT_EQ(log.size(), 2U);
    EXPECT_EQ(a.decision.fencing(a.fold, Duty, clock.now()), 1U);
    clock.advance(9999ms);
    EXPECT_TRUE(holds(a));
    clock.advance(1ms);
    EXPECT_FALSE(holds(a));
}

TEST_F(LeaseDecisionTest, losesAClaimThatIgnoresAnUnreadClaim)
{
    a.decision.acquire(Duty);
    b.decision.acquire(Duty);
    step(a);
    EXPECT_TRUE(step(b));
    EXPECT_TRUE(holds(a));
    EXPECT_FALSE(holds(b));
}

TEST_F(LeaseDecisionTest, challengesOnlyAfterTheFullLeaseOnItsOwnClock)
{
    a.decision.acquire(Duty);
    b.decision.acquire(Duty);
    read(a);
    step(a);
    clock.advance(5s); // the challenger reads the claim late; its wait starts only now
    read(b);
    EXPECT_FALSE(step(b));
    clock.advance(12499ms);
    EXPECT_FALSE(step(b));
    EXPECT_FALSE(holds(a));
    clock.advance(1ms);
    EXPECT_TRUE(step(b));
    EXPECT_TRUE(holds(b));
    EXPECT_EQ(b.decision.fencing(b.fold, Duty, clock.now()), 2U);
}

TEST_F(LeaseDecisionTest, countsTheLeaseFromBeforeTheClaimWasSent)
{
    a.decision.acquire(Duty);
    read(a);
    const std::optional<Record> claim = sendRequest(a);
    clock.advance(9s); // the log is slow
    appendToLog(*claim);
    read(a);
    EXPECT_TRUE(holds(a));
    clock.advance(1s);
    EXPECT_FALSE(holds(a));
}

TEST_F(LeaseDecisionTest, doesNotHoldTheDutyAfterAPauseLongerThanTheLease)
{
    a.decision.acquire(Duty);
    b.decision.acquire(Duty);
    read(a);
    step(a);
    read(b);
    clock.advance(20s); // a is paused meanwhile
    step(b);
    EXPECT_TRUE(holds(b));
    EXPECT_FALSE(holds(a)); // even before it reads the claim of b
    const std::optional<Record> renewal = sendRequest(a);
    ASSERT_TRUE(renewal);
    appendToLog(*renewal);
    read(a);
    read(b);
    EXPECT_FALSE(holds(a));
    EXPECT_TRUE(holds(b));
    EXPECT_EQ(b.fold.find(Duty)->fencing, 2U);
}

TEST_F(LeaseDecisionTest, holdsADutyWhoseClaimWasAppendedButNotAcknowledged)
{
    a.decision.acquire(Duty);
    read(a);
    const std::optional<Record> claim = sendRequest(a);
    EXPECT_FALSE(sendRequest(a)); // at most one outstanding request
    a.decision.recordAnswer(failure(ErrorCode::Unknown, "lost"), clock.now());
    EXPECT_FALSE(sendRequest(a));
    EXPECT_FALSE(holds(a));
    appendToLog(*claim);
    read(a);
    EXPECT_TRUE(holds(a));
    EXPECT_EQ(a.decision.fencing(a.fold, Duty, clock.now()), 1U);
}

TEST_F(LeaseDecisionTest, retriesAfterAnOutage)
{
    a.decision.acquire(Duty);
    read(a);
    ASSERT_TRUE(sendRequest(a));
    a.decision.recordAnswer(failure(ErrorCode::Unavailable, "store unavailable"), clock.now());
    clock.advance(1s);
    EXPECT_TRUE(step(a));
    EXPECT_TRUE(holds(a));
}

TEST_F(LeaseDecisionTest, releasesADutyAfterTheLongestDeliveryTime)
{
    a.decision.acquire(Duty);
    b.decision.acquire(Duty);
    read(a);
    step(a);
    clock.advance(1s);
    a.decision.relinquishAll(clock.now());
    EXPECT_FALSE(holds(a));
    EXPECT_FALSE(step(a));
    clock.advance(2s);
    EXPECT_TRUE(step(a));
    EXPECT_TRUE(a.decision.allReleased(a.fold));
    read(b);
    EXPECT_TRUE(step(b)); // the duty is free, so b does not wait
    EXPECT_TRUE(holds(b));
}

TEST_F(LeaseDecisionTest, doesNotActOnADutyWhoseReleaseMayStillBeAppended)
{
    a.decision.acquire(Duty);
    step(a);
    a.decision.relinquish(Duty, clock.now());
    clock.advance(2s);
    const std::optional<Record> release = sendRequest(a);
    ASSERT_TRUE(release);
    a.decision.acquire(Duty); // acquired again before the release is read
    EXPECT_FALSE(holds(a));
    a.decision.recordAnswer(failure(ErrorCode::Unknown, "lost"), clock.now());
    clock.advance(1s);
    EXPECT_TRUE(step(a)); // a renewal; the release names an older record and is now rejected
    EXPECT_TRUE(holds(a));
    appendToLog(*release);
    read(a);
    EXPECT_TRUE(holds(a));
}

TEST_F(LeaseDecisionTest, releasesADutyWhoseClaimIsAppendedAfterItWasRelinquished)
{
    a.decision.acquire(Duty);
    read(a);
    const std::optional<Record> claim = sendRequest(a);
    a.decision.recordAnswer(failure(ErrorCode::Unknown, "lost"), clock.now());
    a.decision.relinquish(Duty, clock.now());
    clock.advance(3s);
    appendToLog(*claim);
    read(a);
    EXPECT_FALSE(holds(a));
    EXPECT_TRUE(step(a));
    EXPECT_TRUE(a.decision.allReleased(a.fold));
}

TEST_F(LeaseDecisionTest, waitsForTheLeaseOfItsPreviousIncarnationToExpire)
{
    a.decision.acquire(Duty);
    read(a);
    step(a);
    Holder restarted("a", 2);
    restarted.decision.acquire(Duty);
    read(restarted);
    EXPECT_FALSE(restarted.decision.holds(restarted.fold, Duty, clock.now()));
    EXPECT_FALSE(sendRequest(restarted));
    clock.advance(12500ms);
    EXPECT_TRUE(sendRequest(restarted));
}

} // namespace
} // namespace bergamot
