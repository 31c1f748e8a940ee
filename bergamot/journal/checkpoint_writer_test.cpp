#include "bergamot/journal/checkpoint_writer.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

struct SpreadCase
{
    std::string name;
    std::size_t bytes;
    std::size_t parts;
    Duration lastPartAt; // time from `begin` to the last part
};

class CheckpointSpread : public testing::TestWithParam<SpreadCase>
{ };

TEST_P(CheckpointSpread, sendsThePartsAtIntervals)
{
    CheckpointWriter writer({.spread = 10s, .maxGap = 500ms, .partBytes = 100});
    const TimePoint begin(1h);
    writer.begin({3, std::string(GetParam().bytes, 's')}, begin);
    std::size_t parts = 0;
    Duration lastElapsed{};
    for (Duration elapsed = 0ms; elapsed <= 11s; elapsed += 10ms) {
        if (writer.nextPart(begin + elapsed)) {
            ++parts;
            lastElapsed = elapsed;
        }
    }
    EXPECT_EQ(parts, GetParam().parts);
    EXPECT_EQ(lastElapsed, GetParam().lastPartAt);
    EXPECT_FALSE(writer.busy());
}

INSTANTIATE_TEST_SUITE_P(Table,
                         CheckpointSpread,
                         testing::Values(SpreadCase{"one", 100, 1, 0s},
                                         SpreadCase{"fewPartsAtMaxGap", 300, 3, 1s},
                                         SpreadCase{"manyPartsWithinTheSpread", 10'000, 100, 9900ms}),
                         [](const auto &testCase) {
                             return testCase.param.name;
                         });

TEST(CheckpointWriter, dropsUnsentPartsOfAnEarlierCheckpoint)
{
    CheckpointWriter writer({.partBytes = 2});
    const TimePoint now(1h);
    writer.begin({3, "aabb"}, now);
    writer.nextPart(now);
    writer.begin({9, "cc"}, now);
    EXPECT_EQ(parseCheckpointPart(writer.nextPart(now).value())->offset, 9U);
    EXPECT_FALSE(writer.busy());
    writer.begin({10, "ddee"}, now);
    writer.drop();
    EXPECT_FALSE(writer.nextPart(now));
}

} // namespace
} // namespace bergamot
