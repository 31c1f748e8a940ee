#include "bergamot/evidence/sample_receipt.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

const EvidencePosition Position{.instance = "i/1", .incarnation = 7, .sequence = 3};

struct ReceiptCase
{
    std::string identity;
    std::string textDigest;
    std::string spans;
    EvidencePosition position;
};

class ReceiptDigest : public testing::TestWithParam<ReceiptCase>
{ };

TEST_P(ReceiptDigest, changesWithEveryPartThatItBinds)
{
    const SampleReceipt original = makeReceipt("t/1/0/0", "d", "4:120", Position);
    const ReceiptCase &other = GetParam();
    EXPECT_NE(makeReceipt(other.identity, other.textDigest, other.spans, other.position).digest, original.digest);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         ReceiptDigest,
                         testing::Values(ReceiptCase{"t/1/0/1", "d", "4:120", Position},
                                         ReceiptCase{"t/1/0/0", "e", "4:120", Position},
                                         ReceiptCase{"t/1/0/0", "d", "4:121", Position},
                                         ReceiptCase{"t/1/0/0", "d", "4:120", {"i/1", 7, 4}},
                                         ReceiptCase{"t/1/0/0", "d", "4:120", {"i/1", 8, 3}},
                                         ReceiptCase{"t/1/0/0", "d", "4:120", {"i/2", 7, 3}}));

TEST(ReceiptText, isReadBack)
{
    const SampleReceipt receipt = makeReceipt("t/1/0/0", "d", "4:120", Position);
    const Result<SampleReceipt> read = parseReceipt(toText(receipt));
    ASSERT_TRUE(read);
    EXPECT_EQ(*read, receipt);
}

TEST(ReceiptText, isRefusedWhenMalformed)
{
    const std::string digest(64, 'a');
    const std::vector<std::string> malformed{
        "", digest, "i/1/x/" + digest, "i/1/2/short", "/1/2/" + digest, "1/2/" + digest};
    for (const std::string &text : malformed) {
        EXPECT_FALSE(parseReceipt(text)) << text;
    }
}

TEST(SpansText, listsVersionsWithTheirTokens)
{
    EXPECT_EQ(spansText({{4, 120}, {5, 8}}), "4:120,5:8");
    EXPECT_EQ(spansText({}), "");
}

} // namespace
} // namespace bergamot
