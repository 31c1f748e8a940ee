#pragma once

// Decides when a checkpoint is due, so that one always stands on the log, and so that
// checkpoints cost no more bytes on the log than the records that they stand for.
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
    std::chrono::milliseconds maxAge{std::chrono::minutes(10)}; // a third of the log's retention at most
    std::uint64_t minBytes = 512U << 10U; // of records after the newest checkpoint, whatever its size
    std::chrono::milliseconds minGap{std::chrono::seconds(5)}; // between two attempts of this process
};

/// How far a stream has come since its newest whole checkpoint.
struct StreamGrowth
{
    Offset applied = 0;
    std::uint64_t bytesSince = 0; // of records after the newest checkpoint
    std::uint64_t lastBytes = 0; // of that checkpoint
};

/// A pure decision; not thread-safe. Several instances may decide the same; a second checkpoint does no harm.
class CheckpointTimer
{
public:
    CheckpointTimer(CheckpointTimerOptions options, TimePoint now);

    /// A whole checkpoint was read from the log.
    void seen(TimePoint now);
    /// This process has queued a part of one.
    void appended(TimePoint now);
    /// True if one is due. A stream without records needs none.
    bool due(const StreamGrowth &growth, TimePoint now) const;

private:
    const CheckpointTimerOptions m_options;
    TimePoint m_seenAt;
    TimePoint m_notBefore;
};

} // namespace bergamot
