#pragma once

// Follows one stream of the log on time: a `StreamFollower` that feeds a replica, with the pace of its reads, the
// backoff during an outage, and the checkpoints that are due. Only relays run it.
//
//     if (std::optional<LogRead> read = tail.nextRead(now)) {
//         log.read(tail.stream(), read->from, read->limit, timeout, ...); // then tail.pageRead(page, now)
//     }

#include <optional>

#include "bergamot/base/clock.h"
#include "bergamot/journal/checkpoint_timer.h"
#include "bergamot/journal/checkpoint_writer.h"
#include "bergamot/journal/stream_follower.h"
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
    Duration freshness = std::chrono::seconds(4); // how long one look at the end of the stream counts as recent
    CheckpointTimerOptions checkpoints{.maxAge = std::chrono::minutes(5)};
};

/// Not thread-safe. `replica` must outlive it.
class LogTail
{
public:
    /// `checkpointDelay` is added to the checkpoints' age; it differs from one instance to the next, so that one of
    /// them is first and the others see its checkpoint.
    LogTail(StreamReplica &replica, LogTailOptions options, Duration checkpointDelay);

    const std::string &stream() const;
    std::optional<LogRead> nextRead(TimePoint now);
    /// The next read is due at once, also while the log seems to be out.
    void readSoon();
    void pageRead(const Result<LogPage> &page, TimePoint now);
    /// True if the end of the stream was seen lately and everything before it has been applied.
    bool isCurrent(TimePoint now) const;
    /// The payload of a checkpoint record to append: one for each part of a checkpoint, as they become due.
    std::optional<std::string> dueCheckpointPart(TimePoint now);

private:
    void readFailed(TimePoint now);
    void noteCheckpoints(TimePoint now);

    StreamReplica &m_replica;
    LogTailOptions m_options;
    std::optional<StreamFollower> m_follower;
    std::optional<CheckpointTimer> m_checkpoints;
    CheckpointWriter m_checkpointWriter;
    std::uint64_t m_checkpointsSeen = 0;
    Offset m_appliedAtRead = 0;
    bool m_inFlight = false;
    bool m_readAgain = false; // something was appended after the read in flight was sent
    TimePoint m_sentAt{};
    TimePoint m_nextRead{};
    Duration m_backoff;
    std::optional<TimePoint> m_lastCurrent;
};

} // namespace bergamot
