#include "bergamot/audit/verify.h"

#include <map>

#include "bergamot/base/json.h"
#include "bergamot/evidence/chain_hash.h"
#include "bergamot/evidence/evidence_chain.h"
#include "bergamot/evidence/sample_receipt.h"

namespace bergamot
{

namespace
{

using web::json::value;

struct Batch
{
    Offset offset = 0;
    std::uint64_t first = 0;
    std::string previousHash;
    std::string hash;
    std::vector<value> records;
};

using ChainName = std::pair<std::string, std::uint64_t>; // instance and incarnation
using Chains = std::map<ChainName, std::vector<Batch>>;

std::string nameOf(const ChainName &chain)
{
    return chain.first + "/" + std::to_string(chain.second);
}

Result<std::pair<ChainName, Batch>> readBatch(const StoredRecord &stored)
{
    const Result<value> json = parseJson(stored.record.payload);
    if (!json) {
        return tl::unexpected(json.error());
    }
    FieldReader reader(*json, "batch");
    ChainName chain;
    Batch batch;
    chain.first = reader.requiredString("instance");
    chain.second = reader.optionalUnsigned("incarnation", 0);
    batch.offset = stored.offset;
    batch.first = reader.requiredUnsigned("first");
    batch.previousHash = reader.requiredString("previous_hash");
    batch.hash = reader.requiredString("hash");
    batch.records = reader.optionalArray("records");
    if (const Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    return std::pair(std::move(chain), std::move(batch));
}

void checkOffsets(const ExportedStream &stream, std::vector<Finding> &findings)
{
    Offset expected = stream.first;
    for (const StoredRecord &stored : stream.records) {
        const std::string place = "stream " + stream.stream + ", offset " + std::to_string(stored.offset);
        if (stored.offset < expected) {
            findings.push_back({FindingKind::Reordered, place + " comes after a later one"});
        } else if (stored.offset > expected) {
            findings.push_back(
                {FindingKind::Dropped, place + " follows a gap that begins at " + std::to_string(expected)});
        }
        expected = std::max(expected, stored.offset + 1);
    }
    if (expected < stream.end) {
        findings.push_back({FindingKind::Dropped,
                            "stream " + stream.stream + " lacks its records from offset " + std::to_string(expected)
                                + " to " + std::to_string(stream.end - 1)});
    }
}

Chains readChains(const ExportedStream &stream, std::vector<Finding> &findings)
{
    Chains chains;
    for (const StoredRecord &stored : stream.records) {
        if (stored.record.kind != EvidenceBatchKind) {
            continue;
        }
        Result<std::pair<ChainName, Batch>> batch = readBatch(stored);
        if (!batch) {
            findings.push_back(
                {FindingKind::Unreadable, "offset " + std::to_string(stored.offset) + ": " + batch.error().message});
            continue;
        }
        chains[batch->first].push_back(std::move(batch->second));
    }
    return chains;
}

std::uint64_t sequenceOf(const value &record)
{
    FieldReader reader(record, "record");
    return reader.optionalUnsigned("sequence", 0);
}

/// One chain, batch by batch.
class ChainCheck
{
public:
    ChainCheck(ChainName name, bool wholeStream, std::vector<Finding> &findings)
        : m_name(std::move(name))
        , m_wholeStream(wholeStream)
        , m_findings(findings)
    { }

    void add(const Batch &batch)
    {
        if (m_hashes.contains(batch.first)) {
            checkCopy(batch);
            return;
        }
        checkPosition(batch);
        const std::string hash = hashRecords(batch);
        if (hash != batch.hash) {
            report(FindingKind::Changed, batch, "its records do not give its hash: one of them was changed");
        }
        m_hashes[batch.first] = batch.hash;
        if (batch.first >= m_next) {
            m_next = batch.first + batch.records.size();
            m_hash = batch.hash;
        }
    }

private:
    /// A batch whose append was repeated because an answer was lost stands in the log twice.
    void checkCopy(const Batch &batch)
    {
        if (m_hashes[batch.first] != batch.hash || hashRecords(batch) != batch.hash) {
            report(FindingKind::Changed, batch, "it differs from an earlier copy of the same records");
        }
    }

    void checkPosition(const Batch &batch)
    {
        const bool begins = m_hashes.empty();
        if (begins && batch.first != 1) {
            if (m_wholeStream) {
                report(FindingKind::Dropped, batch, "its chain begins with record 1, which is missing");
            }
            return; // what came before has expired
        }
        const std::string expectedHash = begins ? chainStart(m_name.first, m_name.second) : m_hash;
        if (batch.first > m_next) {
            report(FindingKind::Dropped, batch, "records from " + std::to_string(m_next) + " on are missing before it");
        } else if (batch.first < m_next) {
            report(FindingKind::Reordered, batch, "it comes after records that follow it");
        } else if (batch.previousHash != expectedHash) {
            report(FindingKind::Changed, batch, "it does not follow the records before it: one of them was changed");
        }
    }

    std::string hashRecords(const Batch &batch)
    {
        std::string hash = batch.previousHash;
        std::uint64_t expected = batch.first;
        for (const value &record : batch.records) {
            const std::uint64_t sequence = sequenceOf(record);
            if (sequence != expected) {
                const FindingKind kind = sequence > expected ? FindingKind::Dropped : FindingKind::Reordered;
                report(kind,
                       batch,
                       "record " + std::to_string(sequence) + " stands where " + std::to_string(expected)
                           + " is expected");
            }
            expected = std::max(expected, sequence) + 1;
            hash = chainHash(hash, record);
        }
        return hash;
    }

    void report(FindingKind kind, const Batch &batch, const std::string &text)
    {
        m_findings.push_back({kind,
                              "chain " + nameOf(m_name) + ", batch at offset " + std::to_string(batch.offset)
                                  + " (records from " + std::to_string(batch.first) + "): " + text});
    }

    ChainName m_name;
    bool m_wholeStream;
    std::vector<Finding> &m_findings;
    std::map<std::uint64_t, std::string> m_hashes; // by first record
    std::uint64_t m_next = 1;
    std::string m_hash;
};

void reportLost(const ChainName &chain, const Batch &batch, std::vector<Finding> &findings)
{
    for (const value &record : batch.records) {
        FieldReader reader(record, "record");
        if (reader.optionalString("kind", "") == "evidence-lost") {
            findings.push_back({FindingKind::Lost,
                                "chain " + nameOf(chain) + " says itself that it could not keep "
                                    + std::to_string(reader.optionalUnsigned("count", 0)) + " records before record "
                                    + std::to_string(sequenceOf(record))});
        }
    }
}

Result<void> checkSample(const value &record, std::string_view identity, const SampleReceipt &receipt)
{
    FieldReader reader(record, "record");
    for (const value &sample : reader.optionalArray("samples")) {
        FieldReader fields(sample, "sample");
        if (fields.requiredString("sample") != identity) {
            continue;
        }
        const std::string textDigest = fields.requiredString("text_digest");
        const std::string spans = fields.requiredString("spans");
        if (makeReceipt(identity, textDigest, spans, receipt.position) == receipt) {
            return {};
        }
        return failure(ErrorCode::Conflict, "the record names another text or other versions than the receipt");
    }
    return failure(ErrorCode::NotFound, "the record at the receipt's position does not name this sample");
}

} // namespace

std::string_view findingName(FindingKind kind)
{
    switch (kind) {
    case FindingKind::Changed:
        return "changed";
    case FindingKind::Dropped:
        return "dropped";
    case FindingKind::Reordered:
        return "reordered";
    case FindingKind::Unreadable:
        return "unreadable";
    case FindingKind::Lost:
        return "lost";
    }
    return "unknown";
}

std::vector<Finding> verifyExport(const std::vector<ExportedStream> &streams)
{
    std::vector<Finding> findings;
    for (const ExportedStream &stream : streams) {
        checkOffsets(stream, findings);
        if (stream.stream != EvidenceStream) {
            continue;
        }
        for (const auto &[chain, batches] : readChains(stream, findings)) {
            ChainCheck check(chain, stream.first == 1, findings);
            for (const Batch &batch : batches) {
                check.add(batch);
                reportLost(chain, batch, findings);
            }
        }
    }
    return findings;
}

Result<void>
verifyReceipt(const std::vector<ExportedStream> &streams, std::string_view identity, std::string_view receipt)
{
    const Result<SampleReceipt> parsed = parseReceipt(receipt);
    if (!parsed) {
        return tl::unexpected(parsed.error());
    }
    for (const ExportedStream &stream : streams) {
        std::vector<Finding> ignored;
        const Chains chains = readChains(stream, ignored);
        const auto chain = chains.find({parsed->position.instance, parsed->position.incarnation});
        if (stream.stream != EvidenceStream || chain == chains.end()) {
            continue;
        }
        for (const Batch &batch : chain->second) {
            for (const value &record : batch.records) {
                if (sequenceOf(record) == parsed->position.sequence) {
                    return checkSample(record, identity, *parsed);
                }
            }
        }
    }
    return failure(
        ErrorCode::NotFound,
        "the export has no record at the receipt's position: it was dropped, was lost in a crash, or has expired");
}

} // namespace bergamot
