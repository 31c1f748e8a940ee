#include "bergamot/batch/batch.h"

#include <gtest/gtest.h>

namespace bergamot::batch
{
namespace
{

Batch makeBatch(std::size_t items, std::size_t bodyBytes)
{
    Batch batch{.id = "b1", .host = "h.example", .step = 3, .model = "m", .minVersion = 2, .wantedGroups = 4};
    for (std::size_t index = 0; index < items; ++index) {
        batch.items.push_back({.id = "i" + std::to_string(index),
                               .path = "/p/1",
                               .headers = {{"Model", "m"}},
                               .body = std::string(bodyBytes, '\0'),
                               .maxTotalTokens = 40,
                               .group = "g",
                               .scoring = ScoringCall{.id = "s", .host = "s.example", .path = "/s", .body = "x"}});
    }
    return batch;
}

struct PartSizeCase
{
    const char *name;
    std::size_t items;
    std::size_t bodyBytes;
    std::size_t maxRecordBytes;
    bool fits;
};

class PartSizeTest : public testing::TestWithParam<PartSizeCase>
{ };

TEST_P(PartSizeTest, ABatchIsSerializedCompletelyInRecordsWithinTheLimit)
{
    const PartSizeCase &test = GetParam();
    const Batch batch = makeBatch(test.items, test.bodyBytes);
    const Result<std::vector<std::string>> records = batchPartRecords(batch, {.maxRecordBytes = test.maxRecordBytes});
    ASSERT_EQ(records.has_value(), test.fits);
    if (!records) {
        return;
    }
    std::vector<Item> items;
    for (const std::string &bytes : *records) {
        EXPECT_LE(bytes.size(), test.maxRecordBytes);
        const log::Record *record = parseRecord(bytes);
        ASSERT_NE(record, nullptr);
        const log::BatchPart *part = record->payload_as_BatchPart();
        ASSERT_NE(part, nullptr);
        for (const log::Item *item : *part->items()) {
            items.push_back(toItem(*item));
        }
    }
    ASSERT_EQ(items.size(), batch.items.size());
    EXPECT_EQ(items.back().id, batch.items.back().id);
    EXPECT_EQ(items.back().body, batch.items.back().body);
    EXPECT_EQ(items.back().scoring->host, "s.example");
}

INSTANTIATE_TEST_SUITE_P(Batches,
                         PartSizeTest,
                         testing::Values(PartSizeCase{"One", 1, 10, 262144, true},
                                         PartSizeCase{"Many", 300, 600, 262144, true},
                                         PartSizeCase{"SmallRecords", 20, 600, 4096, true},
                                         PartSizeCase{"ItemLargerThanARecord", 2, 5000, 4096, false}),
                         [](const auto &test) {
                             return test.param.name;
                         });

TEST(RecordTest, TruncatedBytesAreRejected)
{
    const std::string whole = resultRecord({.batch = "b", .item = 1, .id = "i", .completed = true, .text = "t"});
    ASSERT_NE(parseRecord(whole), nullptr);
    constexpr std::size_t Padding = 8; // bytes of padding at the end of a record
    for (std::size_t size = 0; size + Padding < whole.size(); size += 3) {
        EXPECT_EQ(parseRecord(whole.substr(0, size)), nullptr) << size;
    }
}

TEST(RecordTest, AResultSurvivesSerialization)
{
    const std::string bytes = resultRecord({.batch = "b",
                                            .item = 7,
                                            .id = "i7",
                                            .completed = true,
                                            .text = "one\ntwo",
                                            .versions = {3, 4},
                                            .score = "stamp"});
    const ItemResult result = toResult(*parseRecord(bytes)->payload_as_ItemResult());
    EXPECT_EQ(result.item, 7U);
    EXPECT_EQ(result.text, "one\ntwo");
    EXPECT_EQ(result.versions, (std::vector<std::uint64_t>{3, 4}));
    EXPECT_EQ(result.score, "stamp");
}

TEST(RecordTest, ALimitReportSurvivesSerialization)
{
    for (const std::optional<double> perSecond : {std::optional(3.5), std::optional<double>()}) {
        const quota::LimitReport report{.process = {EndpointId("d1"), 4}, .perSecond = perSecond};
        const std::string bytes = limitRecord(report);
        EXPECT_EQ(toLimitReport(*parseRecord(bytes)->payload_as_LimitReported()), report);
    }
}

TEST(RecordTest, ACrashReportSurvivesSerialization)
{
    const CrashReport report{
        .fingerprint = 7,
        .crashes = {{.process = {EndpointId("d1"), 4}, .alone = true}, {.process = {EndpointId("d2"), 0}}},
        .cleared = true};
    const std::string bytes = suspectRecord(report);
    EXPECT_EQ(toCrashReport(*parseRecord(bytes)->payload_as_SuspectReported()), report);
}

} // namespace
} // namespace bergamot::batch
