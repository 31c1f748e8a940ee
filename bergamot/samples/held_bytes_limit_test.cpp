#include "bergamot/samples/held_bytes_limit.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

constexpr std::size_t MaxBytes = 1200;

struct LimitCase
{
    std::string name;
    HeldBytes heldBytes;
    std::size_t remaining;
};

class RemainingBytes : public testing::TestWithParam<LimitCase>
{ };

TEST_P(RemainingBytes, areTheSharedHalfOrTheGuaranteedPart)
{
    EXPECT_EQ(HeldBytesLimit(MaxBytes).remaining(GetParam().heldBytes), GetParam().remaining) << GetParam().name;
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    RemainingBytes,
    testing::Values(LimitCase{"empty", {.trainers = 3}, 600},
                    LimitCase{"some bytes held", {.total = 500, .ofTrainer = 500, .trainers = 3}, 100},
                    LimitCase{"other trainers hold the shared half", {.total = 600, .trainers = 3}, 200},
                    LimitCase{"the guaranteed part is used", {.total = 600, .ofTrainer = 200, .trainers = 3}, 0},
                    LimitCase{"above the limit", {.total = 5000, .ofTrainer = 5000, .trainers = 3}, 0}));

TEST(HeldBytesLimit, isRespectedInAnyOrder)
{
    const HeldBytesLimit limit(MaxBytes);
    std::vector<std::size_t> held(4);
    std::size_t all = 0;
    for (const std::size_t trainer : {3U, 3U, 0U, 1U, 3U, 2U, 0U, 1U, 2U, 3U}) {
        const std::size_t remaining =
            limit.remaining({.total = all, .ofTrainer = held[trainer], .trainers = held.size()});
        held[trainer] += remaining;
        all += remaining;
    }
    EXPECT_LE(all, MaxBytes);
    for (const std::size_t own : held) {
        EXPECT_GE(own, MaxBytes / 2 / held.size()) << "each trainer gets at least its guaranteed part";
    }
}

} // namespace
} // namespace bergamot
