#include "bergamot/net/memory_account.h"

#include <gtest/gtest.h>

namespace bergamot::net
{
namespace
{

using namespace std::chrono_literals;

constexpr std::size_t MaxBytes = std::size_t{4} * 1024 * 1024;
constexpr std::size_t Large = std::size_t{1024} * 1024;
constexpr std::size_t Small = 2048;
const TimePoint Now = TimePoint() + 1h;

struct NamedHolder final : MemoryHolder
{
    void giveWay() override
    {
        gaveWay = true;
    }

    std::string name;
    bool gaveWay = false;
};

struct Entry
{
    std::string name;
    std::size_t bytes = 0;
    HoldingStage stage = HoldingStage::Receiving;
    Duration stall{};
    bool pipelines = false;
};

struct AccountCase
{
    const char *name;
    std::vector<Entry> entries;
    std::size_t other = 0;
    std::string expected; // who has to give way; empty: nobody
};

class AccountTest : public testing::TestWithParam<AccountCase>
{
protected:
    MemoryAccount m_account{MaxBytes};
};

TEST_P(AccountTest, ChoosesWhoGivesWay)
{
    std::vector<NamedHolder> holders(GetParam().entries.size());
    for (std::size_t index = 0; index < holders.size(); ++index) {
        const Entry &entry = GetParam().entries[index];
        holders[index].name = entry.name;
        m_account.add(holders[index]);
        m_account.update(holders[index],
                         {.bytes = entry.bytes,
                          .stage = entry.stage,
                          .pipelines = entry.pipelines,
                          .progressAt = Now - entry.stall});
    }
    m_account.addOther(GetParam().other);
    const auto *chosen = static_cast<const NamedHolder *>(m_account.overdrawn());
    EXPECT_EQ(chosen == nullptr ? std::string() : chosen->name, GetParam().expected);
    for (NamedHolder &holder : holders) {
        m_account.remove(holder);
    }
    EXPECT_EQ(m_account.heldBytes(), GetParam().other);
}

INSTANTIATE_TEST_SUITE_P(
    Crowds,
    AccountTest,
    testing::Values(
        AccountCase{"OneLargeBodyInCalm", {{"a", 3 * Large}}, 0, ""},
        AccountCase{"OldestOfEqualBodies",
                    {{"a", Large, HoldingStage::Receiving, 1s},
                     {"b", Large, HoldingStage::Receiving, 3s},
                     {"c", Large, HoldingStage::Receiving, 2s},
                     {"d", Large}},
                    0,
                    "b"},
        AccountCase{"LargeBeforeSmallThatStalls",
                    {{"a", 3 * Large}, {"b", Small, HoldingStage::Receiving, 9s}, {"c", Large}},
                    0,
                    "a"},
        AccountCase{"StalledBeforeLargerThatMoves",
                    {{"a", 2 * Large}, {"b", Large + Large / 2, HoldingStage::Receiving, 2s}},
                    0,
                    "b"},
        AccountCase{"SmallKeepTheLastQuarter", {{"a", Small}, {"b", Small}}, 3 * Large + Large / 2, ""},
        AccountCase{"SmallGiveWayAtTheBound", {{"a", Small}, {"b", Small, HoldingStage::Receiving, 1s}}, MaxBytes, "b"},
        AccountCase{"HandledRequestsStay",
                    {{"a", 2 * Large, HoldingStage::Handling, 9s}, {"b", Large + Large / 2, HoldingStage::Receiving}},
                    0,
                    "b"},
        AccountCase{"HandledRequestsOnlyBeyondTheBound", {{"a", 3 * Large, HoldingStage::Handling}}, Large / 2, ""},
        AccountCase{"HandledRequestsAreTheLast", {{"a", 3 * Large, HoldingStage::Handling}}, 2 * Large, "a"},
        AccountCase{"PipeliningDoesNotProtect",
                    {{"a", 2 * Large, HoldingStage::Handling, 0s}, {"b", 2 * Large, HoldingStage::Handling, 0s, true}},
                    0,
                    "b"},
        AccountCase{"UnreadResponse",
                    {{"a", 2 * Large, HoldingStage::Sending, 2s}, {"b", 2 * Large, HoldingStage::Receiving, 1s}},
                    0,
                    "a"},
        AccountCase{"NobodyCan", {}, 2 * MaxBytes, ""}),
    [](const auto &test) {
        return test.param.name;
    });

struct RoomCase
{
    const char *name;
    std::size_t held;
    std::size_t wanted;
    bool expected;
};

class RoomTest : public testing::TestWithParam<RoomCase>
{ };

TEST_P(RoomTest, LargeWorkLeavesAQuarterToSmallRequests)
{
    MemoryAccount account{MaxBytes};
    account.addOther(GetParam().held);
    EXPECT_EQ(account.hasRoomFor(GetParam().wanted), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(Sizes,
                         RoomTest,
                         testing::Values(RoomCase{"All", 0, 3 * Large, true},
                                         RoomCase{"TooMuch", 0, 3 * Large + 1, false},
                                         RoomCase{"Rest", 2 * Large, Large, true},
                                         RoomCase{"BesideOthers", 2 * Large, Large + 1, false},
                                         RoomCase{"Overdrawn", 2 * MaxBytes, 0, false},
                                         RoomCase{"Huge", Large, std::numeric_limits<std::size_t>::max(), false}),
                         [](const auto &test) {
                             return test.param.name;
                         });

} // namespace
} // namespace bergamot::net
