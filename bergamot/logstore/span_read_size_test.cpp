#include "bergamot/logstore/span_read_size.h"

#include <gtest/gtest.h>

namespace bergamot::logstore
{
namespace
{

struct SpanCase
{
    const char *name;
    std::size_t observedRecords; // 0: nothing observed
    std::size_t observedBytes;
    std::uint64_t records;
    std::uint32_t kilobytes;
};

class SpanReadSizeTest : public testing::TestWithParam<SpanCase>
{ };

TEST_P(SpanReadSizeTest, FollowsTheSizesOfEarlierRecords)
{
    SpanReadSize size;
    size.observe(GetParam().observedRecords, GetParam().observedBytes);
    EXPECT_EQ(size.kilobytes(GetParam().records), GetParam().kilobytes);
}

INSTANTIATE_TEST_SUITE_P(Spans,
                         SpanReadSizeTest,
                         testing::Values(SpanCase{"NothingObserved", 0, 0, 1, 256},
                                         SpanCase{"OneSmallRecord", 10, 40960, 1, 32},
                                         SpanCase{"ManySmallRecords", 10, 40960, 20, 121},
                                         SpanCase{"TooMany", 10, 40960, 100, 256}),
                         [](const auto &test) {
                             return test.param.name;
                         });

} // namespace
} // namespace bergamot::logstore
