#pragma once

// One stream of the log as an instance has it: the fold of all records so far, and the recent records, which it hands
// on to peers. Records come from the log or from peers, in any order and any number of times; the fold gets each once,
// in offset order, and never goes back.
//
//     StreamReplica replica("config", fold);
//     replica.apply(page.records);
//     inner::StreamRecordsT news = replica.recordsAfter(digest.applied);

#include <deque>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "bergamot/journal/fold.h"
#include "bergamot/protocol/generated/inner_generated.h"

namespace bergamot
{

/// The kind of record that carries a checkpoint on the log.
inline constexpr std::string_view CheckpointKind = "checkpoint";

/// A fold's state at one offset.
struct Checkpoint
{
    std::string state;
    Offset offset = 0;
};

/// The payload of a record of `CheckpointKind`; it carries a hash of the state.
std::string toPayload(const Checkpoint &checkpoint);
/// Reads such a record. `InvalidArgument` if it is malformed or its hash does not fit.
Result<Checkpoint> parseCheckpoint(const Record &record);

struct StreamReplicaLimits
{
    std::size_t recentRecords = 4096;
    std::size_t recentBytes = 1U << 20U;
    std::size_t replyBytes = 256U << 10U; // of records in one reply
};

/// Not thread-safe. `fold` must outlive it.
class StreamReplica
{
public:
    StreamReplica(std::string stream, StreamFold &fold, StreamReplicaLimits limits = {});

    const std::string &stream() const;
    Offset applied() const;

    /// Applies the records that follow what has been applied; others are passed over. Returns how many were applied.
    std::size_t apply(std::span<const StoredRecord> records);
    /// Takes a checkpoint that is ahead; one that is not changes nothing.
    Result<void> restore(const Checkpoint &checkpoint);

    /// What a peer that has applied up to `offset` lacks: records, or a checkpoint if the records are gone here.
    inner::StreamRecordsT recordsAfter(Offset offset) const;
    /// Takes what a peer sent. Returns true if anything was new.
    bool accept(const inner::StreamRecordsT &news);

    Checkpoint checkpoint() const;
    /// The offset of the newest checkpoint record seen; 0 if none.
    Offset lastCheckpointRecord() const;

private:
    void remember(const StoredRecord &record);

    std::string m_stream;
    StreamFold &m_fold;
    StreamReplicaLimits m_limits;
    std::deque<StoredRecord> m_recent; // contiguous, ends at applied()
    std::size_t m_recentBytes = 0;
    Offset m_lastCheckpointRecord = 0;
};

} // namespace bergamot
