#pragma once

// Decides when to write a checkpoint, such that the log always retains one and checkpoints take no more bytes of the
// log than the records that they summarize.
//
//     if (timer.due({.applied = fold.applied(), .bytesSince = bytes, .lastBytes = size}, now)) {
//         // append the parts, and for each of them:
//         timer.appended(now);
//     }

#include <chrono>

#include "bergamot/base/clock.h"
#include "bergamot/platform/log.h"

namespace bergamot
{

struct CheckpointTimerOptions
{
    std::chrono::milliseconds maxAge{std::chrono::minutes(10)}; // must be at most a third of the log's retention time
    std::uint64_t minBytes = 512U << 10U; // due after max(minBytes, size of the newest checkpoint) bytes of records
    std::chrono::milliseconds minGap{std::chrono::seconds(5)}; // minimum time between two attempts of this process
};

/// The growth of a stream since its newest complete checkpoint.
struct StreamGrowth
{
    Offset applied = 0; // offset of the last record that the fold has applied
    std::uint64_t bytesSince = 0; // bytes of records after the newest checkpoint
    std::uint64_t lastBytes = 0; // bytes of the newest checkpoint
};

/// Contains no I/O and reads no clock: the caller passes the time in. Not thread-safe. Several instances may write a
/// checkpoint at the same time, which is harmless.
class CheckpointTimer
{
public:
    CheckpointTimer(CheckpointTimerOptions options, TimePoint now);

    /// Call this when a complete checkpoint was read from the log.
    void seen(TimePoint now);
    /// Call this when this process has queued a part of a checkpoint for the log.
    void appended(TimePoint now);
    /// Returns true if a checkpoint is due. It never is for a stream without records.
    bool due(const StreamGrowth &growth, TimePoint now) const;

private:
    const CheckpointTimerOptions m_options;
    TimePoint m_newestSeenAt;
    TimePoint m_nextAttemptAt;
};

} // namespace bergamot
