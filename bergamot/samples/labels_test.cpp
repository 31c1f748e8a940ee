#include "bergamot/samples/labels.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

struct LabelCase
{
    Generation generation;
    std::uint32_t maxTokens;
    bool proven;
};

class Labels : public testing::TestWithParam<LabelCase>
{ };

TEST_P(Labels, areProvenOnlyByACompleteEngineReport)
{
    EXPECT_EQ(checkLabels(GetParam().generation, GetParam().maxTokens).has_value(), GetParam().proven);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    Labels,
    testing::Values(LabelCase{{"some text", {{4, 3}}, "stop"}, 5, true},
                    LabelCase{{"some text", {{4, 2}, {5, 3}}, "length"}, 5, true},
                    LabelCase{{"some text", {{4, 2}, {5, 2}}, "length"}, 5, false}, // one token is missing
                    LabelCase{{"some text", {}, "stop"}, 5, false},
                    LabelCase{{"some text", {{0, 3}}, "stop"}, 5, false},
                    LabelCase{{"some text", {{4, 2}, {0, 1}}, "stop"}, 5, false},
                    LabelCase{{"some text", {{4, 2}, {5, 0}}, "stop"}, 5, false},
                    LabelCase{{"some text", {{4, 6}}, "stop"}, 5, false}, // more tokens than requested
                    LabelCase{{"ab", {{4, 3}}, "stop"}, 5, false}, // more tokens than bytes
                    LabelCase{{"", {}, "stop"}, 5, false},
                    LabelCase{{"some text", {{4, 3}}, "cancelled"}, 5, false},
                    LabelCase{{"some text", {{4, 3}}, ""}, 5, false}));

} // namespace
} // namespace bergamot
