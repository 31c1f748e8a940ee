#include "bergamot/leases/lease_keeper.h"

#include <future>

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

/// Stores each record in memory and reports its offset synchronously.
class DirectAppender final : public Appender
{
public:
    RecordId append(const std::string &stream, std::string kind, std::string payload, Callback<Offset> done) override
    {
        RecordId id{"a", 1, records.size() + 1};
        records.push_back({records.size() + 1, {id, std::move(kind), std::move(payload)}});
        streams.push_back(stream);
        done(records.size());
        return id;
    }

    std::vector<StoredRecord> records;
    std::vector<std::string> streams;
};

TEST(LeaseKeeper, claimsHoldsAndReleasesADuty)
{
    using namespace std::chrono_literals;
    const DutyId duty("rollout/desk/north");
    ManualClock clock;
    DirectAppender appender;
    LeaseFold fold;
    EventLoop loop;
    LeaseKeeper keeper({.holder = "a", .incarnation = 1}, loop, clock, appender, fold);
    const auto advance = [&] {
        keeper.tick();
        std::promise<void> answered;
        loop.post([&answered] {
            answered.set_value();
        });
        answered.get_future().wait();
        while (fold.applied() < appender.records.size()) {
            fold.apply(appender.records[fold.applied()]);
        }
        keeper.onApplied();
    };
    keeper.onApplied();
    keeper.acquire(duty);
    advance();
    EXPECT_TRUE(keeper.holds(duty, clock.now()));
    EXPECT_EQ(keeper.fencing(duty, clock.now()), 1U);
    EXPECT_EQ(appender.streams, std::vector<std::string>{"duties"});
    keeper.giveBackAll();
    EXPECT_FALSE(keeper.fencing(duty, clock.now()));
    clock.advance(2s);
    advance();
    EXPECT_TRUE(keeper.allHandedBack());
    loop.stop();
}

} // namespace
} // namespace bergamot
