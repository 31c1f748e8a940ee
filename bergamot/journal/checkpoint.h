#pragma once

// Checkpoints of a fold, stored as records of the fold's own stream. A state that is too large for one record is split
// into several parts, which other records may separate; a reader can use the checkpoint once it has read every part.
//
//     for (std::string &payload : checkpointPayloads({fold.applied(), fold.checkpoint()})) {
//         appender.append(stream, std::string(CheckpointKind), std::move(payload), nullptr);
//     }
//     // In the reader:
//     CheckpointAssembler assembler;
//     const auto part = parseCheckpointPart(record.payload);
//     const auto checkpoint = assembler.add(*part);
//     if (checkpoint && isIntact(*checkpoint, part->hash)) {
//         fold.restore(checkpoint->state, checkpoint->offset);
//     }

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bergamot/base/error.h"
#include "bergamot/platform/log.h"

namespace bergamot
{

/// The record kind of checkpoints, on every stream.
inline constexpr std::string_view CheckpointKind = "checkpoint";

/// The state of a fold at one offset.
struct StreamCheckpoint
{
    Offset offset = 0; // offset of the last record that the state includes
    std::string state;

    bool operator==(const StreamCheckpoint &) const = default;
};

/// The part of a checkpoint that one record holds.
struct CheckpointPart
{
    Offset offset = 0; // offset of the whole checkpoint
    std::string hash; // hash of the whole checkpoint
    std::uint64_t part = 0; // index of this part, from 0
    std::uint64_t parts = 1; // number of parts
    std::string state; // this part of the state
};

/// Maximum bytes of state in one part.
inline constexpr std::size_t CheckpointPartBytes = 64U << 10U;

/// Returns the record payloads of a checkpoint. The state must not be empty. Each payload has the fields {"offset",
/// "hash", "state"}, and also {"part", "parts"} if there are several. The state is split only between UTF-8 characters.
std::vector<std::string> checkpointPayloads(const StreamCheckpoint &checkpoint,
                                            std::size_t partBytes = CheckpointPartBytes);

/// Parses a record payload. Returns `InvalidArgument`, naming the field, if the payload is malformed.
Result<CheckpointPart> parseCheckpointPart(const std::string &payload);

/// Returns true if the hash of `checkpoint` equals `hash`, the hash stored in its parts.
bool isIntact(const StreamCheckpoint &checkpoint, const std::string &hash);

/// Assembles checkpoints from parts, which may arrive in any order, more than once and from several writers. Keeps the
/// parts of at most `MaxIncomplete` incomplete checkpoints, those with the highest offsets. Not thread-safe.
class CheckpointAssembler
{
public:
    static constexpr std::size_t MaxIncomplete = 4;

    /// Adds a part. Returns the checkpoint if this was its last missing part; the caller must verify it with
    /// `isIntact`.
    std::optional<StreamCheckpoint> add(CheckpointPart part);

private:
    struct Key
    {
        Offset offset = 0;
        std::string hash;
        std::uint64_t parts = 0;

        auto operator<=>(const Key &) const = default;
    };

    std::map<Key, std::map<std::uint64_t, std::string>> m_incomplete; // parts of each checkpoint by index
};

} // namespace bergamot
