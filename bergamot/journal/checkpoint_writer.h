#pragma once

// Paces the parts of one checkpoint, so that a large state neither delays the records that wait beside it nor fills the
// network.
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
    Duration spread = std::chrono::minutes(1); // all parts of one checkpoint go out within this time
    Duration maxGap = std::chrono::seconds(1); // between two parts
    std::size_t partBytes = CheckpointPartBytes;
};

/// A pure decision; not thread-safe. A part that is lost makes its checkpoint useless and does no other harm.
class CheckpointWriter
{
public:
    explicit CheckpointWriter(CheckpointWriterOptions options);

    /// Drops what is left of an earlier checkpoint.
    void begin(const StreamCheckpoint &checkpoint, TimePoint now);
    /// Another whole checkpoint stands on the log: what is left is not needed.
    void drop();
    bool busy() const;
    /// The payload of the part that is due, once.
    std::optional<std::string> nextPart(TimePoint now);

private:
    CheckpointWriterOptions m_options;
    std::deque<std::string> m_parts;
    Duration m_gap{};
    TimePoint m_next{};
};

} // namespace bergamot
