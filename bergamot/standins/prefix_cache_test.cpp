#include "bergamot/standins/prefix_cache.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

// 64 bytes, or 16 tokens, make one block.
std::string blocks(const std::string &letters)
{
    std::string text;
    for (const char letter : letters) {
        text += std::string(64, letter);
    }
    return text;
}

struct CacheCase
{
    std::vector<std::string> prompts; // by blocks
    std::size_t lastUncached; // tokens of the last prompt
};

class Cache : public testing::TestWithParam<CacheCase>
{ };

TEST_P(Cache, sparesWhatIsCached)
{
    PrefixCache cache(48); // three blocks
    std::size_t uncached = 0;
    for (const std::string &prompt : GetParam().prompts) {
        uncached = cache.admit(blocks(prompt));
    }
    EXPECT_EQ(uncached, GetParam().lastUncached);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         Cache,
                         testing::Values(CacheCase{{"ab"}, 32},
                                         CacheCase{{"ab", "ab"}, 0},
                                         CacheCase{{"ab", "abc"}, 16},
                                         CacheCase{{"ab", "bb"}, 32}, // a block counts only after the same prefix
                                         CacheCase{{"ab", "cd", "ab"}, 32}, // too little memory for both
                                         CacheCase{{"a", "b", "a", "cd", "a"}, 0})); // least recently used first out

TEST(PromptTokens, roundUp)
{
    EXPECT_EQ(promptTokens(""), 0U);
    EXPECT_EQ(promptTokens("abc"), 1U);
    EXPECT_EQ(promptTokens("abcde"), 2U);
}

} // namespace
} // namespace bergamot
