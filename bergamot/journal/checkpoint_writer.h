#pragma once

// Spreads the parts of one checkpoint over time, so that a large state neither delays other queued records nor
// saturates the network.
//
//     writer.begin({fold.applied(), fold.checkpoint()}, now);
//     if (std::optional<std::string> payload = writer.nextPart(now)) {
//         appender.append(stream, std::string(CheckpointKind), std::move(*payload), nullptr);
//     }

#include <deque>
#include <optional>
#include <string>

#include "bergamot/base/clock.h"
#include "bergamot/journal/checkpoint.h"

namespace bergamot
{

struct CheckpointWriterOptions
{
    Duration spread = std::chrono::minutes(1); // time within which all parts of one checkpoint are sent
    Duration maxGap = std::chrono::seconds(1); // maximum time between two parts
    std::size_t partBytes = CheckpointPartBytes;
};

/// Contains no I/O and reads no clock: the caller passes the time in. Not thread-safe. If a part is lost, readers
/// cannot use that checkpoint; there is no other effect.
class CheckpointWriter
{
public:
    explicit CheckpointWriter(CheckpointWriterOptions options);

    /// Starts a checkpoint and drops the unsent parts of an earlier one.
    void begin(const StreamCheckpoint &checkpoint, TimePoint now);
    /// Drops the unsent parts. Call this when another complete checkpoint is in the log.
    void drop();
    /// Returns true while parts are unsent.
    bool busy() const;
    /// Returns the payload of the next part if it is due, and removes the part.
    std::optional<std::string> nextPart(TimePoint now);

private:
    CheckpointWriterOptions m_options;
    std::deque<std::string> m_parts; // payloads of the unsent parts
    Duration m_partInterval{};
    TimePoint m_nextPartAt{};
};

} // namespace bergamot
