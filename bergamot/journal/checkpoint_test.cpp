#include "bergamot/journal/checkpoint.h"

#include <random>

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

std::vector<CheckpointPart> partsOf(const StreamCheckpoint &checkpoint, std::size_t partBytes)
{
    std::vector<CheckpointPart> parts;
    for (const std::string &payload : checkpointPayloads(checkpoint, partBytes)) {
        parts.push_back(parseCheckpointPart(payload).value());
    }
    return parts;
}

struct SplitCase
{
    std::string name;
    std::string state;
    std::size_t partBytes;
    std::size_t parts;
};

class SplitCheckpoint : public testing::TestWithParam<SplitCase>
{ };

TEST_P(SplitCheckpoint, isAssembledFromReorderedAndDuplicateParts)
{
    const StreamCheckpoint checkpoint{9, GetParam().state};
    std::vector<CheckpointPart> parts = partsOf(checkpoint, GetParam().partBytes);
    ASSERT_EQ(parts.size(), GetParam().parts);
    std::mt19937_64 random(7);
    std::shuffle(parts.begin(), parts.end(), random);
    CheckpointAssembler assembler;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        EXPECT_FALSE(assembler.add(parts[i]));
        EXPECT_FALSE(assembler.add(parts[i])) << "a duplicate part must not complete the checkpoint";
    }
    EXPECT_EQ(assembler.add(parts.back()), checkpoint);
    EXPECT_TRUE(isIntact(checkpoint, parts.back().hash));
    EXPECT_FALSE(isIntact({9, GetParam().state + "x"}, parts.back().hash));
    EXPECT_FALSE(isIntact({8, GetParam().state}, parts.back().hash));
}

INSTANTIATE_TEST_SUITE_P(Table,
                         SplitCheckpoint,
                         testing::Values(SplitCase{"short", "0", 10, 1},
                                         SplitCase{"exactlyOne", "0123456789", 10, 1},
                                         SplitCase{"oneByteMore", "0123456789a", 10, 2},
                                         SplitCase{"many", std::string(1000, 's'), 10, 100},
                                         SplitCase{"splitBetweenCharacters", "ääää", 3, 4},
                                         SplitCase{"partSizeBelowOneCharacter", "äbä", 1, 3}),
                         [](const auto &testCase) {
                             return testCase.param.name;
                         });

TEST(CheckpointAssembler, assemblesInterleavedCheckpointsSeparately)
{
    const std::vector<CheckpointPart> first = partsOf({5, "aabb"}, 2);
    const std::vector<CheckpointPart> second = partsOf({6, "ccdd"}, 2);
    CheckpointAssembler assembler;
    EXPECT_FALSE(assembler.add(first[0]));
    EXPECT_FALSE(assembler.add(second[1]));
    EXPECT_EQ(assembler.add(second[0]), (StreamCheckpoint{6, "ccdd"}));
    EXPECT_EQ(assembler.add(first[1]), (StreamCheckpoint{5, "aabb"}));
}

TEST(CheckpointAssembler, dropsTheOldestIncompleteCheckpoint)
{
    CheckpointAssembler assembler;
    for (Offset offset = 1; offset <= CheckpointAssembler::MaxIncomplete + 1; ++offset) {
        EXPECT_FALSE(assembler.add(partsOf({offset, "aabb"}, 2)[0]));
    }
    EXPECT_FALSE(assembler.add(partsOf({1, "aabb"}, 2)[1]));
    EXPECT_TRUE(assembler.add(partsOf({3, "aabb"}, 2)[1]));
}

class MalformedPart : public testing::TestWithParam<std::string>
{ };

TEST_P(MalformedPart, isRejected)
{
    const Result<CheckpointPart> part = parseCheckpointPart(GetParam());
    ASSERT_FALSE(part);
    EXPECT_EQ(part.error().code, ErrorCode::InvalidArgument);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         MalformedPart,
                         testing::Values("{",
                                         "{}",
                                         R"({"state":"s","offset":1})",
                                         R"({"state":"s","offset":-1,"hash":"h"})",
                                         R"({"state":"s","offset":1,"hash":"h","part":1})",
                                         R"({"state":"s","offset":1,"hash":"h","part":2,"parts":2})",
                                         R"({"state":"s","offset":1,"hash":"h","part":0,"parts":0})"));

} // namespace
} // namespace bergamot
