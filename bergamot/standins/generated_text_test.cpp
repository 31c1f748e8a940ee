#include "bergamot/standins/generated_text.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

TEST(GeneratedText, tellsPromptAndVersion)
{
    Generation generation;
    appendToken(generation, "prompt", 1);
    appendToken(generation, "prompt", 1);
    appendToken(generation, "prompt", 2);
    EXPECT_EQ(generation.spans, (std::vector<TokenSpan>{{1, 2}, {2, 1}}));
    EXPECT_EQ(tokenCount(generation), 3U);
    EXPECT_EQ(generation.text, generatedText("prompt", generation.spans));
    EXPECT_NE(generatedToken("prompt", 1), generatedToken("prompt", 2));
    EXPECT_NE(generatedToken("prompt", 1), generatedToken("another", 1));
}

TEST(CacheHandle, comesBackAsItWas)
{
    for (const std::vector<TokenSpan> &spans : {std::vector<TokenSpan>{}, {{7, 3}}, {{7, 3}, {9, 1}}}) {
        EXPECT_EQ(parseCacheHandle(cacheHandle("prompt", spans), "prompt"), spans);
    }
}

struct HandleCase
{
    std::string handle;
    ErrorCode code;
};

class BadHandle : public testing::TestWithParam<HandleCase>
{ };

TEST_P(BadHandle, isRefused)
{
    EXPECT_EQ(parseCacheHandle(GetParam().handle, "prompt").error().code, GetParam().code);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         BadHandle,
                         testing::Values(HandleCase{"", ErrorCode::InvalidArgument},
                                         HandleCase{"nonsense", ErrorCode::InvalidArgument},
                                         HandleCase{cacheHandle("another", {{1, 2}}), ErrorCode::Conflict},
                                         HandleCase{cacheHandle("prompt", {}) + "1x", ErrorCode::InvalidArgument},
                                         HandleCase{cacheHandle("prompt", {}) + "1y2,", ErrorCode::InvalidArgument},
                                         HandleCase{cacheHandle("prompt", {}) + "1x99999999999999999999,",
                                                    ErrorCode::InvalidArgument}));

} // namespace
} // namespace bergamot
