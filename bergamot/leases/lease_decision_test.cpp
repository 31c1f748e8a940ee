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

/// A stream that every holder reads at once unless it is told otherwise.
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

    /// Takes the holder's request, if it has one, and sends it without landing it.
    std::optional<Record> ask(Holder &holder)
    {
        const std::optional<LeaseRequest> request = holder.decision.takeRequest(holder.fold, clock.now());
        if (!request) {
            return std::nullopt;
        }
        const RecordId id{holder.name, 1, ++holder.sequence};
        holder.decision.sent(id.sequence, clock.now());
        return Record{id, std::string(request->kind), dutiesPayload(request->steps)};
    }

    void land(const Record &record)
    {
        log.push_back({log.size() + 1, record});
    }

    /// Asks, lands, answers and reads.
    bool step(Holder &holder)
    {
        const std::optional<Record> record = ask(holder);
        if (record) {
            land(*record);
            holder.decision.answered(Offset{log.size()}, clock.now());
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
    a.decision.want(Duty);
    a.decision.want(Other);
    EXPECT_TRUE(step(a)); // the stream is empty, so nothing was read before
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

TEST_F(LeaseDecisionTest, gainsNothingByAClaimOnAStreamThatItHasNotRead)
{
    a.decision.want(Duty);
    b.decision.want(Duty);
    step(a);
    EXPECT_TRUE(step(b));
    EXPECT_TRUE(holds(a));
    EXPECT_FALSE(holds(b));
}

TEST_F(LeaseDecisionTest, challengesOnlyAfterTheWholeLeaseOnItsOwnClock)
{
    a.decision.want(Duty);
    b.decision.want(Duty);
    read(a);
    step(a);
    clock.advance(5s); // the challenger reads late, and counts from then
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
    a.decision.want(Duty);
    read(a);
    const std::optional<Record> claim = ask(a);
    clock.advance(9s); // the log is slow
    land(*claim);
    read(a);
    EXPECT_TRUE(holds(a));
    clock.advance(1s);
    EXPECT_FALSE(holds(a));
}

TEST_F(LeaseDecisionTest, wakesWithoutItsLeaseAndLearnsThatItLostTheDuty)
{
    a.decision.want(Duty);
    b.decision.want(Duty);
    read(a);
    step(a);
    read(b);
    clock.advance(20s); // a is paused meanwhile
    step(b);
    EXPECT_TRUE(holds(b));
    EXPECT_FALSE(holds(a)); // before it has read anything
    const std::optional<Record> renewal = ask(a);
    ASSERT_TRUE(renewal);
    land(*renewal);
    read(a);
    read(b);
    EXPECT_FALSE(holds(a));
    EXPECT_TRUE(holds(b));
    EXPECT_EQ(b.fold.find(Duty)->fencing, 2U);
}

TEST_F(LeaseDecisionTest, findsOutAboutAClaimWhoseAnswerWasLost)
{
    a.decision.want(Duty);
    read(a);
    const std::optional<Record> claim = ask(a);
    EXPECT_FALSE(ask(a)); // one at a time
    a.decision.answered(failure(ErrorCode::Unknown, "lost"), clock.now());
    EXPECT_FALSE(ask(a));
    EXPECT_FALSE(holds(a));
    land(*claim);
    read(a);
    EXPECT_TRUE(holds(a));
    EXPECT_EQ(a.decision.fencing(a.fold, Duty, clock.now()), 1U);
}

TEST_F(LeaseDecisionTest, asksAgainAfterAnOutage)
{
    a.decision.want(Duty);
    read(a);
    ASSERT_TRUE(ask(a));
    a.decision.answered(failure(ErrorCode::Unavailable, "out"), clock.now());
    clock.advance(1s);
    EXPECT_TRUE(step(a));
    EXPECT_TRUE(holds(a));
}

TEST_F(LeaseDecisionTest, handsBackAfterTheLastOrderMustHaveArrived)
{
    a.decision.want(Duty);
    b.decision.want(Duty);
    read(a);
    step(a);
    clock.advance(1s);
    a.decision.handBackAll(clock.now());
    EXPECT_FALSE(holds(a));
    EXPECT_FALSE(step(a));
    clock.advance(2s);
    EXPECT_TRUE(step(a));
    EXPECT_TRUE(a.decision.allHandedBack(a.fold));
    read(b);
    EXPECT_TRUE(step(b)); // at once
    EXPECT_TRUE(holds(b));
}

TEST_F(LeaseDecisionTest, doesNotActOnADutyWhoseReleaseMayStillLand)
{
    a.decision.want(Duty);
    step(a);
    a.decision.handBack(Duty, clock.now());
    clock.advance(2s);
    const std::optional<Record> release = ask(a);
    ASSERT_TRUE(release);
    a.decision.want(Duty); // wanted again before the release is seen
    EXPECT_FALSE(holds(a));
    a.decision.answered(failure(ErrorCode::Unknown, "lost"), clock.now());
    clock.advance(1s);
    EXPECT_TRUE(step(a)); // a renewal, which the release can no longer follow
    EXPECT_TRUE(holds(a));
    land(*release);
    read(a);
    EXPECT_TRUE(holds(a));
}

TEST_F(LeaseDecisionTest, releasesADutyThatCameAfterItWasGivenUp)
{
    a.decision.want(Duty);
    read(a);
    const std::optional<Record> claim = ask(a);
    a.decision.answered(failure(ErrorCode::Unknown, "lost"), clock.now());
    a.decision.handBack(Duty, clock.now());
    clock.advance(3s);
    land(*claim);
    read(a);
    EXPECT_FALSE(holds(a));
    EXPECT_TRUE(step(a));
    EXPECT_TRUE(a.decision.allHandedBack(a.fold));
}

TEST_F(LeaseDecisionTest, waitsOutTheLeaseOfItsOwnFormerIncarnation)
{
    a.decision.want(Duty);
    read(a);
    step(a);
    Holder restarted("a", 2);
    restarted.decision.want(Duty);
    read(restarted);
    EXPECT_FALSE(restarted.decision.holds(restarted.fold, Duty, clock.now()));
    EXPECT_FALSE(ask(restarted));
    clock.advance(12500ms);
    EXPECT_TRUE(ask(restarted));
}

} // namespace
} // namespace bergamot
