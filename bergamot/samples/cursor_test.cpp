#include "bergamot/samples/cursor.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

const StepKey Step{TrainerId("quotes"), 12};

TEST(Cursor, isDecodedAtEverySize)
{
    for (const std::uint32_t count : {1U, 7U, 8U, 9U, 4096U}) {
        Cursor cursor(Step, 99, count);
        for (std::uint32_t offset = 0; offset < count; offset += 3) {
            cursor.mark(offset);
        }
        const Result<Cursor> read = decodeCursor(encodeCursor(cursor));
        ASSERT_TRUE(read);
        EXPECT_EQ(*read, cursor);
        EXPECT_EQ(read->count(), (count + 2) / 3);
        EXPECT_FALSE(read->has(1));
        EXPECT_FALSE(read->has(count));
    }
}

TEST(Cursor, of4096SamplesStaysBelowOneKilobyte)
{
    EXPECT_LT(encodeCursor(Cursor(Step, 99, 4096)).size(), 1024U);
}

TEST(Cursor, isRejectedAfterAnyChangeOfOneCharacter)
{
    Cursor cursor(Step, 99, 40);
    cursor.mark(5);
    const std::string text = encodeCursor(cursor);
    for (std::size_t i = 0; i < text.size(); ++i) {
        std::string changed = text;
        changed[i] = changed[i] == 'A' ? 'B' : 'A';
        const Result<Cursor> read = decodeCursor(changed);
        EXPECT_TRUE(!read || *read == cursor) << i; // the last character may contain unused bits
    }
}

class MalformedCursor : public testing::TestWithParam<std::string>
{ };

TEST_P(MalformedCursor, isRejectedWithAHint)
{
    const Result<Cursor> read = decodeCursor(GetParam());
    ASSERT_FALSE(read);
    EXPECT_EQ(read.error().code, ErrorCode::InvalidArgument);
    EXPECT_NE(read.error().message.find("send back"), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         MalformedCursor,
                         testing::Values("x",
                                         "AAAA",
                                         "not base64!",
                                         "////////////////////////////////",
                                         encodeCursor(Cursor(Step, 1, 64)).substr(4),
                                         encodeCursor(Cursor(Step, 1, 64)) + "AAAA",
                                         std::string(100000, 'A')));

} // namespace
} // namespace bergamot
