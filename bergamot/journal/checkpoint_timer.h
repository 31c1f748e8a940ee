#pragma once

// Decides when a checkpoint record is due, so that one always stands in the newer half of what the log retains.
//
//     if (timer.due(fold.applied(), now)) {
//         appender.append(stream, std::string(CheckpointKind), checkpointPayload({fold.applied(), fold.checkpoint()}),
//         ...); timer.appended(now);
//     }

#include <chrono>

#include "bergamot/base/clock.h"
#include "bergamot/platform/log.h"

namespace bergamot
{

struct CheckpointTimerOptions
{
    std::chrono::milliseconds maxAge{std::chrono::minutes(10)}; // under half of the log's retention
    std::uint64_t maxRecords = 2000; // after the newest checkpoint
    std::chrono::milliseconds minGap{std::chrono::seconds(5)}; // between two attempts of this process
};

/// A pure decision; not thread-safe. Several instances may decide the same; a second checkpoint does no harm.
class CheckpointTimer
{
public:
    CheckpointTimer(CheckpointTimerOptions options, TimePoint now);

    /// A checkpoint record was read from the log, at `offset`.
    void seen(Offset offset, TimePoint now);
    /// This process has queued one.
    void appended(TimePoint now);
    /// True if one is due. A stream without records needs none.
    bool due(Offset applied, TimePoint now) const;

private:
    const CheckpointTimerOptions m_options;
    Offset m_newest = 0;
    TimePoint m_seenAt;
    TimePoint m_notBefore;
};

} // namespace bergamot
