// An export of a log that is in use: the stand-in's log over HTTP with an evidence chain that goes on writing, and
// tampering with what was exported.

#include "bergamot/audit/log_export.h"

#include <future>

#include <gtest/gtest.h>

#include "bergamot/audit/verify.h"
#include "bergamot/base/json.h"
#include "bergamot/evidence/chain_hash.h"
#include "bergamot/evidence/evidence_chain.h"
#include "bergamot/journal/batching_appender.h"
#include "bergamot/platform/http_log.h"
#include "bergamot/standins/log_core.h"
#include "bergamot/standins/platform_servers.h"

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;
using web::json::value;

constexpr std::chrono::seconds TestLimit{20};
constexpr std::size_t Batches = 6;
constexpr std::size_t RecordsEach = 3; // a tick

/// One instance that leaves evidence on the stand-in's log until it is told to stop.
class RunningLog : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(m_server.port().start());
        m_log = std::make_unique<HttpLog>(m_http, m_server.port().address());
        m_appender = std::make_unique<BatchingAppender>(
            BatchingAppenderOptions{.writer = "i1", .incarnation = 7, .queue = {}}, m_loop, m_clock, *m_log);
        m_chain = std::make_unique<EvidenceChain>(
            EvidenceChainOptions{.instance = "i1", .incarnation = 7, .flushPeriod = 5ms}, m_loop, m_clock, *m_appender);
        m_loop.every(2ms, [this] {
            for (std::size_t count = 0; count < RecordsEach; ++count) {
                m_chain->record("order-sent", value::object());
            }
            m_chain->tick();
        });
    }

    void TearDown() override
    {
        m_loop.stop();
        m_standinLoop.stop();
    }

    /// An export with at least `batches` batches, taken while the chain goes on.
    ExportedStream exportWhileRunning(std::size_t batches)
    {
        const auto limit = std::chrono::steady_clock::now() + TestLimit;
        while (std::chrono::steady_clock::now() < limit) {
            Result<ExportedStream> stream = readStream(*m_log, EvidenceStream, {.pageRecords = 2});
            EXPECT_TRUE(stream) << stream.error().message;
            if (stream && stream->records.size() >= batches) {
                return std::move(*stream);
            }
        }
        ADD_FAILURE() << "the chain does not reach the log";
        return {};
    }

    SystemClock m_clock;
    Metrics m_metrics;
    IoThreads m_threads{2};
    EventLoop m_standinLoop;
    StandinContext m_context{m_standinLoop, m_clock, m_metrics, m_threads};
    LogServer m_server{m_context, {"127.0.0.1", 0}, {.appendsPerSecond = 100'000}};
    HttpClient m_http;
    std::unique_ptr<HttpLog> m_log;
    EventLoop m_loop;
    std::unique_ptr<BatchingAppender> m_appender;
    std::unique_ptr<EvidenceChain> m_chain;
};

/// As an attacker would who knows the format: gives the batch a hash that fits its records.
void rehash(value &batch)
{
    std::string hash = batch.at("previous_hash").as_string();
    for (const value &each : batch.at("records").as_array()) {
        hash = chainHash(hash, each);
    }
    batch["hash"] = value::string(hash);
}

void editSecondBatch(ExportedStream &stream, const std::function<void(value &batch)> &edit)
{
    std::string &payload = stream.records[1].record.payload;
    value batch = *parseJson(payload);
    edit(batch);
    rehash(batch);
    payload = batch.serialize();
}

struct TamperCase
{
    std::string name;
    std::function<void(ExportedStream &stream)> tamper;
    std::optional<FindingKind> found; // none: the export holds
};

class Tampering : public RunningLog, public testing::WithParamInterface<TamperCase>
{ };

TEST_P(Tampering, isFoundInAnExportOfARunningLog)
{
    ExportedStream stream = exportWhileRunning(Batches);
    GetParam().tamper(stream);
    const Result<std::vector<ExportedStream>> read = readExport(writeExport({stream}));
    ASSERT_TRUE(read) << read.error().message;
    const std::vector<Finding> findings = verifyExport(*read);
    ASSERT_EQ(findings.empty(), !GetParam().found);
    const bool named = std::any_of(findings.begin(), findings.end(), [](const Finding &finding) {
        return finding.kind == GetParam().found;
    });
    EXPECT_EQ(named, GetParam().found.has_value());
}

INSTANTIATE_TEST_SUITE_P(Table,
                         Tampering,
                         testing::Values(TamperCase{"untouched", [](ExportedStream &) {}, std::nullopt},
                                         TamperCase{"changed",
                                                    [](ExportedStream &stream) {
                                                        editSecondBatch(stream, [](value &batch) {
                                                            batch["records"][0]["kind"] = value::string("other");
                                                        });
                                                    },
                                                    FindingKind::Changed},
                                         TamperCase{"dropped",
                                                    [](ExportedStream &stream) {
                                                        editSecondBatch(stream, [](value &batch) {
                                                            batch["records"].as_array().erase(0);
                                                        });
                                                    },
                                                    FindingKind::Dropped},
                                         TamperCase{"batchDropped",
                                                    [](ExportedStream &stream) {
                                                        stream.records.erase(stream.records.begin() + 1);
                                                    },
                                                    FindingKind::Dropped},
                                         TamperCase{"reordered",
                                                    [](ExportedStream &stream) {
                                                        editSecondBatch(stream, [](value &batch) {
                                                            std::swap(batch["records"][0], batch["records"][1]);
                                                        });
                                                    },
                                                    FindingKind::Reordered},
                                         TamperCase{"batchesReordered",
                                                    [](ExportedStream &stream) {
                                                        std::swap(stream.records[1].record, stream.records[2].record);
                                                    },
                                                    FindingKind::Reordered}),
                         [](const testing::TestParamInfo<TamperCase> &test) {
                             return test.param.name;
                         });

TEST_F(RunningLog, aLaterExportContainsTheEarlierOne)
{
    const ExportedStream early = exportWhileRunning(Batches);
    const ExportedStream late = exportWhileRunning(early.records.size() + 1);
    ASSERT_GT(late.records.size(), early.records.size());
    EXPECT_TRUE(std::equal(early.records.begin(), early.records.end(), late.records.begin()));
    EXPECT_TRUE(verifyExport({late}).empty());
}

/// A log of `initial` records that gets `appendsPerRead` more before it answers each read, and keeps `retained`.
class GrowingLog final : public Log
{
public:
    GrowingLog(std::size_t appendsPerRead, std::size_t initial, std::size_t retained, std::size_t mostReads)
        : m_core({.retainedRecords = retained, .appendsPerSecond = 1'000'000})
        , m_appendsPerRead(appendsPerRead)
        , m_mostReads(mostReads)
    {
        grow(initial);
    }

    void append(const std::string & /*stream*/,
                std::vector<Record> /*batch*/,
                std::chrono::milliseconds /*timeout*/,
                Callback<Offset> done) override
    {
        done(failure(ErrorCode::Unavailable, "only read here"));
    }

    void read(const std::string &stream,
              Offset from,
              std::size_t limit,
              std::chrono::milliseconds /*timeout*/,
              Callback<LogPage> done) override
    {
        ++m_reads;
        if (m_reads > m_mostReads) {
            done(failure(ErrorCode::Unavailable, "the export does not end"));
            return;
        }
        grow(m_appendsPerRead);
        done(m_core.read(stream, from, limit, {}).result);
    }

private:
    void grow(std::size_t records)
    {
        for (std::size_t count = 0; count < records; ++count) {
            ++m_sequence;
            EXPECT_TRUE(m_core.append("config", {{{"w", 1, m_sequence}, "intent", "{}"}}, {}).result);
        }
    }

    LogCore m_core;
    std::size_t m_appendsPerRead;
    std::size_t m_mostReads;
    std::size_t m_reads = 0;
    std::uint64_t m_sequence = 0;
};

struct GrowthCase
{
    std::string name;
    std::size_t appendsPerRead;
    std::size_t initial;
    std::size_t retained;
    std::size_t records; // in the export; 0: an error
};

class Growth : public testing::TestWithParam<GrowthCase>
{ };

TEST_P(Growth, endsTheExportWithAWholeStreamOrAnError)
{
    GrowingLog log(GetParam().appendsPerRead, GetParam().initial, GetParam().retained, 100);
    const Result<ExportedStream> stream = readStream(log, "config", {.pageRecords = 2});
    ASSERT_EQ(stream.has_value(), GetParam().records != 0);
    if (!stream) {
        EXPECT_EQ(stream.error().code, ErrorCode::Expired);
        return;
    }
    EXPECT_EQ(stream->records.size(), GetParam().records);
    EXPECT_EQ(stream->records.front().offset, stream->first);
    EXPECT_EQ(stream->records.back().offset + 1, stream->end);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         Growth,
                         testing::Values(GrowthCase{"none", 0, 20, 20, 20},
                                         GrowthCase{"asFastAsItIsRead", 2, 20, 1000, 22},
                                         GrowthCase{"expiresWhileItIsRead", 1, 20, 20, 18},
                                         GrowthCase{"expiresFasterThanItIsRead", 5, 20, 20, 0}),
                         [](const testing::TestParamInfo<GrowthCase> &test) {
                             return test.param.name;
                         });

} // namespace
} // namespace bergamot
