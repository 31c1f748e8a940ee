#pragma once

// Follows one stream of the log and feeds its replica: decides when to read, from where, what to do when the records
// needed have expired, and when a checkpoint is due. Only relays run it.
//
//     if (std::optional<LogRead> read = tail.nextRead(now)) {
//         log.read(tail.stream(), read->from, read->limit, timeout, ...); // then tail.pageRead(page, now)
//     }

#include <optional>

#include "bergamot/base/clock.h"
#include "bergamot/membership/stream_replica.h"

namespace bergamot
{

struct LogRead
{
    Offset from = 1;
    std::size_t limit = 0;
};

struct LogTailOptions
{
    Duration period = std::chrono::milliseconds(500); // between reads at the end of the stream
    Duration maxBackoff = std::chrono::seconds(2); // between reads while the log is out
    Duration readTimeout = std::chrono::seconds(3); // a read without an answer is given up
    Duration checkpointPeriod = std::chrono::minutes(5); // well under half of the log's retention
    Duration freshness = std::chrono::seconds(10); // how long one look at the end of the stream counts as recent
};

/// Not thread-safe. `replica` must outlive it.
class LogTail
{
public:
    /// `checkpointDelay` is added to the checkpoint period; it differs from one instance to the next, so that one of
    /// them is first and the others see its checkpoint.
    LogTail(StreamReplica &replica, LogTailOptions options, Duration checkpointDelay);

    const std::string &stream() const;
    std::optional<LogRead> nextRead(TimePoint now);
    void pageRead(const Result<LogPage> &page, TimePoint now);
    /// True if the end of the stream was seen lately and everything before it has been applied.
    bool isCurrent(TimePoint now) const;
    /// True if no read has succeeded lately.
    bool isCutOff(TimePoint now) const;
    /// A checkpoint to append, once when it is due.
    std::optional<Checkpoint> dueCheckpoint(TimePoint now);

private:
    enum class Mode {
        Tailing,
        Locating, // asks for the first retained offset
        Scanning, // looks for a checkpoint record from there on
    };

    void readFailed(const Error &error, TimePoint now);
    void tailed(const LogPage &page, TimePoint now);
    void scanned(const LogPage &page, TimePoint now);
    void startScan(Offset firstRetained, TimePoint now);

    StreamReplica &m_replica;
    LogTailOptions m_options;
    Duration m_checkpointDelay;
    Mode m_mode = Mode::Tailing;
    Offset m_scanFrom = 1;
    bool m_inFlight = false;
    TimePoint m_sentAt {};
    TimePoint m_nextRead {};
    Duration m_backoff;
    std::optional<TimePoint> m_lastSuccess;
    std::optional<TimePoint> m_lastCurrent;
    Offset m_seenCheckpoint = 0;
    std::optional<TimePoint> m_checkpointSince;
};

} // namespace bergamot
