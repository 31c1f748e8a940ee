#pragma once

// Checkpoints of a fold as records of its own stream. A state that is too large for one record is spread over several
// parts, which other records may come between; a reader has the checkpoint once it has every part.
//
//     for (std::string &payload : checkpointPayloads({fold.applied(), fold.checkpoint()})) {
//         appender.append(stream, std::string(CheckpointKind), std::move(payload), nullptr);
//     }
//     // the reader:
//     CheckpointAssembler assembler;
//     if (const auto checkpoint = assembler.add(*parseCheckpointPart(record.payload))) {
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

/// A fold's state.
struct StreamCheckpoint
{
    Offset offset = 0; // the state holds after this one
    std::string state;

    bool operator==(const StreamCheckpoint &) const = default;
};

/// What one record carries of a checkpoint.
struct CheckpointPart
{
    Offset offset = 0; // of the checkpoint
    std::string hash; // of the whole checkpoint
    std::uint64_t part = 0; // counted from 0
    std::uint64_t parts = 1;
    std::string state; // this part of it
};

/// Bytes of state in one part.
inline constexpr std::size_t CheckpointPartBytes = 64U << 10U;

/// The payloads of the records of a checkpoint, whose state is not empty: {"offset", "hash", "state"}, and {"part",
/// "parts"} if there are several. Parts end between characters of UTF-8.
std::vector<std::string> checkpointPayloads(const StreamCheckpoint &checkpoint,
                                            std::size_t partBytes = CheckpointPartBytes);

/// `InvalidArgument`, with the field, if the payload is malformed.
Result<CheckpointPart> parseCheckpointPart(const std::string &payload);

/// True if `checkpoint` has the hash that its parts carry.
bool isIntact(const StreamCheckpoint &checkpoint, const std::string &hash);

/// Puts parts together, whatever their order, copies or writers. Holds the parts of the few newest checkpoints only.
/// Not thread-safe.
class CheckpointAssembler
{
public:
    static constexpr std::size_t MaxOpen = 4; // checkpoints of which parts are missing

    /// The checkpoint, not yet compared with its hash, once its last missing part has come.
    std::optional<StreamCheckpoint> add(CheckpointPart part);

private:
    struct Key
    {
        Offset offset = 0;
        std::string hash;
        std::uint64_t parts = 0;

        auto operator<=>(const Key &) const = default;
    };

    std::map<Key, std::map<std::uint64_t, std::string>> m_open;
};

} // namespace bergamot
