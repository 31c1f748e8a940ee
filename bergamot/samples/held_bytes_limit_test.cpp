#include "bergamot/samples/held_bytes_limit.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

constexpr std::size_t MaxBytes = 1200;

struct RoomCase
{
    std::string name;
    Holding holding;
    std::size_t room;
};

class Room : public testing::TestWithParam<RoomCase>
{ };

TEST_P(Room, isTheCommonHalfOrTheOwnPartOfTheOther)
{
    EXPECT_EQ(HoldingLimit(MaxBytes).room(GetParam().holding), GetParam().room) << GetParam().name;
}

INSTANTIATE_TEST_SUITE_P(Table,
                         Room,
                         testing::Values(RoomCase{"empty", {.trainers = 3}, 600},
                                         RoomCase{"some held", {.all = 500, .own = 500, .trainers = 3}, 100},
                                         RoomCase{"others hold the common half", {.all = 600, .trainers = 3}, 200},
                                         RoomCase{"its part is used", {.all = 600, .own = 200, .trainers = 3}, 0},
                                         RoomCase{"above all", {.all = 5000, .own = 5000, .trainers = 3}, 0}));

TEST(HoldingLimit, isKeptWhateverTheOrder)
{
    const HoldingLimit limit(MaxBytes);
    std::vector<std::size_t> held(4);
    std::size_t all = 0;
    for (const std::size_t trainer : {3U, 3U, 0U, 1U, 3U, 2U, 0U, 1U, 2U, 3U}) {
        const std::size_t room = limit.room({.all = all, .own = held[trainer], .trainers = held.size()});
        held[trainer] += room;
        all += room;
    }
    EXPECT_LE(all, MaxBytes);
    for (const std::size_t own : held) {
        EXPECT_GE(own, MaxBytes / 2 / held.size()) << "each has its part at least";
    }
}

} // namespace
} // namespace bergamot
