#pragma once

// Follows one stream of the log: a `StreamFollower` that feeds a replica, plus the schedule of the reads, the backoff
// while the log is unavailable, and the checkpoints that are due. Relays read continuously; other instances read only
// while a record of their own is missing.
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
    Duration maxBackoff = std::chrono::seconds(2); // between reads while the log is unavailable
    Duration readTimeout = std::chrono::seconds(3); // of one read
    Duration freshness = std::chrono::seconds(4); // how long a read that reached the end of the stream counts as recent
    CheckpointTimerOptions checkpoints{.maxAge = std::chrono::minutes(5)};
};

/// Not thread-safe. `replica` must outlive it.
class LogTail
{
public:
    /// `checkpointDelay` is added to the maximum age of checkpoints. It differs between instances, so that one of them
    /// appends first and the others see its checkpoint.
    LogTail(StreamReplica &replica, LogTailOptions options, Duration checkpointDelay);

    const std::string &stream() const;
    /// The read to send now, if one is due. At most one read is in flight.
    std::optional<LogRead> nextRead(TimePoint now);
    /// Makes the next read due at once, even during the backoff of an outage.
    void readSoon();
    /// Applies the outcome of the read in flight.
    void pageRead(const Result<LogPage> &page, TimePoint now);
    /// True if a recent read reached the end of the stream and everything before it has been applied.
    bool isCurrent(TimePoint now) const;
    /// The payload of the next checkpoint record to append, if one is due. A checkpoint is appended in several parts.
    std::optional<std::string> dueCheckpointPart(TimePoint now);

private:
    void readFailed(TimePoint now);
    void updateCheckpointTimer(TimePoint now);

    StreamReplica &m_replica;
    LogTailOptions m_options;
    std::optional<StreamFollower> m_follower;
    std::optional<CheckpointTimer> m_checkpoints;
    CheckpointWriter m_checkpointWriter;
    std::uint64_t m_checkpointsSeen = 0;
    Offset m_appliedAtRead = 0;
    bool m_inFlight = false;
    bool m_readAgain = false; // `readSoon` was called while a read was in flight
    TimePoint m_sentAt{};
    TimePoint m_nextRead{};
    Duration m_backoff;
    std::optional<TimePoint> m_lastCaughtUp;
};

} // namespace bergamot
