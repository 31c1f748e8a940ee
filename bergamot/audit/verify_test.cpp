#include "bergamot/audit/verify.h"

#include <gtest/gtest.h>

#include "bergamot/base/hash.h"
#include "bergamot/base/json.h"
#include "bergamot/evidence/chain_hash.h"
#include "bergamot/evidence/sample_receipt.h"

namespace bergamot
{
namespace
{

using web::json::value;

const std::string Identity = "quotes/1/0/0";
const std::string TextDigest = sha256Hex("a text");
const EvidencePosition Position{.instance = "i1", .incarnation = 7, .sequence = 2};

value record(std::uint64_t sequence)
{
    value sample = value::object();
    sample["sample"] = value::string("quotes/1/0/" + std::to_string(sequence - Position.sequence));
    sample["text_digest"] = value::string(TextDigest);
    sample["spans"] = value::string("4:10");
    value result = value::object();
    result["sequence"] = value::number(sequence);
    result["kind"] = value::string("samples-handed-over");
    result["samples"] = value::array({sample});
    return result;
}

/// `batches` batches of `size` records of one instance, chained as the instance chains them.
ExportedStream evidence(std::uint64_t batches, std::uint64_t size)
{
    ExportedStream stream{.stream = "evidence", .first = 1, .end = batches + 1, .records = {}};
    std::string hash = chainStart("i1", 7);
    std::uint64_t sequence = 1;
    for (std::uint64_t i = 0; i < batches; ++i) {
        value batch = value::object();
        batch["instance"] = value::string("i1");
        batch["incarnation"] = value::number(7);
        batch["first"] = value::number(sequence);
        batch["previous_hash"] = value::string(hash);
        value records = value::array();
        for (std::uint64_t j = 0; j < size; ++j) {
            records[j] = record(sequence++);
            hash = chainHash(hash, records[j]);
        }
        batch["records"] = records;
        batch["hash"] = value::string(hash);
        stream.records.push_back({.offset = i + 1, .record = {{"i1", 7, i + 1}, "evidence", batch.serialize()}});
    }
    return stream;
}

value payload(const ExportedStream &stream, std::size_t index)
{
    return *parseJson(stream.records[index].record.payload);
}

void setPayload(ExportedStream &stream, std::size_t index, const value &json)
{
    stream.records[index].record.payload = json.serialize();
}

/// As an attacker would who knows the format: gives the batch a hash that fits its records.
void rehash(value &batch)
{
    std::string hash = batch.at("previous_hash").as_string();
    for (const value &each : batch.at("records").as_array()) {
        hash = chainHash(hash, each);
    }
    batch["hash"] = value::string(hash);
}

void renumber(ExportedStream &stream)
{
    for (std::size_t i = 0; i < stream.records.size(); ++i) {
        stream.records[i].offset = i + 1;
    }
    stream.end = stream.records.size() + 1;
}

struct TamperCase
{
    std::string name;
    std::function<void(ExportedStream &stream)> tamper;
    std::optional<FindingKind> found; // none: the export holds
};

class Tampering : public testing::TestWithParam<TamperCase>
{ };

TEST_P(Tampering, isFoundAndNamed)
{
    ExportedStream stream = evidence(4, 3);
    GetParam().tamper(stream);
    const Result<std::vector<ExportedStream>> read = readExport(writeExport({stream}));
    ASSERT_TRUE(read);
    const std::vector<Finding> findings = verifyExport(*read);
    ASSERT_EQ(findings.empty(), !GetParam().found) << GetParam().name;
    const auto isNamed = [](const Finding &finding) {
        return finding.kind == GetParam().found;
    };
    if (GetParam().found) {
        EXPECT_TRUE(std::any_of(findings.begin(), findings.end(), isNamed)) << GetParam().name << findings[0].text;
    }
}

void changeSpans(ExportedStream &stream, std::size_t index, bool fitHash)
{
    value batch = payload(stream, index);
    batch["records"][1]["samples"][0]["spans"] = value::string("5:10");
    if (fitHash) {
        rehash(batch);
    }
    setPayload(stream, index, batch);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         Tampering,
                         testing::Values(TamperCase{"untouched", [](ExportedStream &) {}, std::nullopt},
                                         TamperCase{"a batch appended twice because its answer was lost",
                                                    [](ExportedStream &stream) {
                                                        stream.records.insert(stream.records.begin() + 2,
                                                                              stream.records[1]);
                                                        renumber(stream);
                                                    },
                                                    std::nullopt},
                                         TamperCase{"the oldest records expired",
                                                    [](ExportedStream &stream) {
                                                        stream.records.erase(stream.records.begin());
                                                        stream.first = 2;
                                                    },
                                                    std::nullopt},
                                         TamperCase{"a record changed",
                                                    [](ExportedStream &stream) {
                                                        changeSpans(stream, 1, false);
                                                    },
                                                    FindingKind::Changed},
                                         TamperCase{"a record changed and the batch's hash made to fit",
                                                    [](ExportedStream &stream) {
                                                        changeSpans(stream, 1, true);
                                                    },
                                                    FindingKind::Changed},
                                         TamperCase{"the second copy of a batch changed",
                                                    [](ExportedStream &stream) {
                                                        stream.records.insert(stream.records.begin() + 2,
                                                                              stream.records[1]);
                                                        renumber(stream);
                                                        changeSpans(stream, 2, true);
                                                    },
                                                    FindingKind::Changed},
                                         TamperCase{"a record dropped from a batch",
                                                    [](ExportedStream &stream) {
                                                        value batch = payload(stream, 1);
                                                        batch["records"].as_array().erase(1);
                                                        rehash(batch);
                                                        setPayload(stream, 1, batch);
                                                    },
                                                    FindingKind::Dropped},
                                         TamperCase{"a batch dropped",
                                                    [](ExportedStream &stream) {
                                                        stream.records.erase(stream.records.begin() + 1);
                                                    },
                                                    FindingKind::Dropped},
                                         TamperCase{"a batch dropped and the offsets closed up",
                                                    [](ExportedStream &stream) {
                                                        stream.records.erase(stream.records.begin() + 1);
                                                        renumber(stream);
                                                    },
                                                    FindingKind::Dropped},
                                         TamperCase{"the first batch dropped and the offsets closed up",
                                                    [](ExportedStream &stream) {
                                                        stream.records.erase(stream.records.begin());
                                                        renumber(stream);
                                                    },
                                                    FindingKind::Dropped},
                                         TamperCase{"the last batch dropped",
                                                    [](ExportedStream &stream) {
                                                        stream.records.pop_back();
                                                    },
                                                    FindingKind::Dropped},
                                         TamperCase{"two records swapped in a batch",
                                                    [](ExportedStream &stream) {
                                                        value batch = payload(stream, 1);
                                                        std::swap(batch["records"][0], batch["records"][1]);
                                                        rehash(batch);
                                                        setPayload(stream, 1, batch);
                                                    },
                                                    FindingKind::Reordered},
                                         TamperCase{"two batches swapped",
                                                    [](ExportedStream &stream) {
                                                        std::swap(stream.records[1], stream.records[2]);
                                                    },
                                                    FindingKind::Reordered},
                                         TamperCase{"two batches swapped and the offsets made to fit",
                                                    [](ExportedStream &stream) {
                                                        std::swap(stream.records[1], stream.records[2]);
                                                        renumber(stream);
                                                    },
                                                    FindingKind::Reordered},
                                         TamperCase{"a batch made unreadable",
                                                    [](ExportedStream &stream) {
                                                        stream.records[1].record.payload = "{";
                                                    },
                                                    FindingKind::Unreadable}));

TEST(Receipt, provesWhatTheChainAloneCannot)
{
    const std::string receipt = toText(makeReceipt(Identity, TextDigest, "4:10", Position));
    ExportedStream stream = evidence(1, 3);
    EXPECT_TRUE(verifyReceipt({stream}, Identity, receipt));
    EXPECT_FALSE(verifyReceipt({stream}, "quotes/1/0/1", receipt));
    changeSpans(stream, 0, true); // the end of a chain, rewritten as a whole
    EXPECT_TRUE(verifyExport({stream}).empty());
    EXPECT_FALSE(verifyReceipt({stream}, Identity, receipt));
    stream.records.clear();
    renumber(stream);
    EXPECT_TRUE(verifyExport({stream}).empty());
    EXPECT_FALSE(verifyReceipt({stream}, Identity, receipt));
}

TEST(ExportFile, isRefusedAfterAnyChange)
{
    const std::string text = writeExport({evidence(2, 2)});
    ASSERT_TRUE(readExport(text));
    EXPECT_FALSE(readExport(text.substr(0, text.size() / 2)));
    EXPECT_FALSE(readExport(text + "{}\n"));
    EXPECT_FALSE(readExport(""));
    std::string changed = text;
    changed[changed.find("4:10")] = '5';
    EXPECT_FALSE(readExport(changed));
}

} // namespace
} // namespace bergamot
