#pragma once

// The evidence of one process as a hash chain, flushed in batches to stream "evidence" of the log.
//
//     EvidenceChain chain({.instance = "instance-1", .incarnation = 7}, loop, clock, appender);
//     chain.record("sample-handed-over", fields);
//     chain.tick(); // every 100 ms
//
// A crash loses what has not been appended: at most `flushPeriod` plus the time of one append, or, while the log is
// out, everything since it went out, up to `maxPending` records. Records beyond that are not kept; their number is
// recorded once there is room again ("evidence-lost"), so a gap is never silent.

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include <cpprest/json.h>

#include "bergamot/base/clock.h"
#include "bergamot/base/event_loop.h"
#include "bergamot/base/logging.h"
#include "bergamot/evidence/evidence_sink.h"
#include "bergamot/journal/appender.h"

namespace bergamot
{

inline constexpr const char *EvidenceStream = "evidence";
inline constexpr const char *EvidenceBatchKind = "evidence";

struct EvidenceChainOptions
{
    std::string instance;
    std::uint64_t incarnation = 0; // differs for each start
    std::chrono::milliseconds flushPeriod{1000};
    std::chrono::milliseconds retryDelay{500}; // after a failed append
    std::size_t maxBatchRecords = 512;
    std::size_t maxPending = 65536;
};

/// Runs on the thread of `loop` alone. One batch is in flight at a time, so batches reach the log in order; one whose
/// answer was lost is appended again, and readers drop the copy.
class EvidenceChain final : public EvidenceSink
{
public:
    EvidenceChain(EvidenceChainOptions options, EventLoop &loop, Clock &clock, Appender &appender);
    ~EvidenceChain() override;
    EvidenceChain(const EvidenceChain &) = delete;
    EvidenceChain &operator=(const EvidenceChain &) = delete;

    void record(std::string kind, web::json::value fields) override;
    EvidencePosition nextPosition() const override;
    void tick();

    /// Records that are not on the log yet.
    std::size_t pending() const
    {
        return m_pending.size();
    }

    /// Records that were never kept because the log was out for too long.
    std::uint64_t lost() const
    {
        return m_lostInAll;
    }

private:
    void chain(const std::string &kind, web::json::value fields);
    void admitLostRecords();
    void flush();
    std::string batchText(std::size_t count) const;
    void flushed(std::size_t count, const Result<Offset> &outcome);

    EvidenceChainOptions m_options;
    EventLoop &m_loop;
    Clock &m_clock;
    Appender &m_appender;
    ComponentLogger m_log{"evidence"};
    std::deque<web::json::value> m_pending; // from m_firstPending on
    std::uint64_t m_firstPending = 1;
    std::string m_hashBeforePending;
    std::uint64_t m_lost = 0; // since the last "evidence-lost" record
    std::uint64_t m_lostInAll = 0;
    bool m_inFlight = false;
    TimePoint m_nextFlush;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace bergamot
