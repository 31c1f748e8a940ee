#include "bergamot/journal/checkpoint_writer.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

struct PaceCase
{
    std::string name;
    std::size_t bytes;
    std::size_t parts;
    Duration lastAfter; // since the beginning
};

class CheckpointPace : public testing::TestWithParam<PaceCase>
{ };

TEST_P(CheckpointPace, spreadsThePartsOverItsTime)
{
    CheckpointWriter writer({.spread = 10s, .maxGap = 500ms, .partBytes = 100});
    const TimePoint begin(1h);
    writer.begin({3, std::string(GetParam().bytes, 's')}, begin);
    std::size_t parts = 0;
    Duration last{};
    for (Duration passed = 0ms; passed <= 11s; passed += 10ms) {
        if (writer.nextPart(begin + passed)) {
            ++parts;
            last = passed;
        }
    }
    EXPECT_EQ(parts, GetParam().parts);
    EXPECT_EQ(last, GetParam().lastAfter);
    EXPECT_FALSE(writer.busy());
}

INSTANTIATE_TEST_SUITE_P(Table,
                         CheckpointPace,
                         testing::Values(PaceCase{"one", 100, 1, 0s},
                                         PaceCase{"fewAtTheGap", 300, 3, 1s},
                                         PaceCase{"manyWithinTheSpread", 10'000, 100, 9900ms}),
                         [](const auto &testCase) {
                             return testCase.param.name;
                         });

TEST(CheckpointWriter, dropsTheRestOfAnEarlierCheckpoint)
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
