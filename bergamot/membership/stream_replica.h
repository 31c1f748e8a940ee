#pragma once

// One stream of the log as an instance has it: the fold of all records so far, and the recent records, which it hands
// on to peers. Records come from the log or from peers, in any order and any number of times; the fold gets each once,
// in offset order, and never goes back.
//
//     StreamReplica replica("config", fold);
//     replica.apply(page.records);
//     inner::StreamRecordsT news = replica.recordsAfter(digest.applied);

#include <deque>
#include <span>
#include <string>
#include <vector>

#include "bergamot/journal/checkpoint_timer.h"
#include "bergamot/journal/fold.h"
#include "bergamot/journal/stream_follower.h"
#include "bergamot/protocol/generated/inner_generated.h"

namespace bergamot
{

struct StreamReplicaLimits
{
    std::size_t recentRecords = 4096;
    std::size_t recentBytes = 1U << 20U;
    std::size_t replyBytes = 256U << 10U; // of records in one reply
};

/// A fold itself, so that a `StreamFollower` can feed it. Not thread-safe. `fold` must outlive it.
class StreamReplica final : public StreamFold
{
public:
    StreamReplica(std::string stream, StreamFold &fold, StreamReplicaLimits limits = {});

    const std::string &stream() const;
    Offset applied() const override;
    void apply(const StoredRecord &stored) override;
    std::string checkpoint() const override;
    Result<void> restore(const std::string &checkpoint, Offset offset) override;

    /// Applies the records that follow what has been applied; others are passed over. Returns how many were applied.
    std::size_t apply(std::span<const StoredRecord> records);

    /// What a peer that has applied up to `offset` lacks: records, or a checkpoint if the records are gone here.
    inner::StreamRecordsT recordsAfter(Offset offset) const;
    /// Takes what a peer sent. Returns true if anything was new.
    bool accept(const inner::StreamRecordsT &news);

    /// Whole checkpoints seen among the records.
    std::uint64_t checkpointsSeen() const;
    /// How far the stream has come since the newest of them, or since this replica began.
    StreamGrowth growth() const;

private:
    void countCheckpointPart(const std::string &payload);

    std::string m_stream;
    StreamFold &m_fold;
    StreamReplicaLimits m_limits;
    std::deque<StoredRecord> m_recent; // contiguous, ends at applied()
    std::size_t m_recentBytes = 0;
    CheckpointAssembler m_checkpointParts; // without their states
    std::uint64_t m_checkpointsSeen = 0;
    std::uint64_t m_bytesSinceCheckpoint = 0;
    std::uint64_t m_openCheckpointBytes = 0; // of the parts seen since the newest whole checkpoint
    std::uint64_t m_lastCheckpointBytes = 0;
};

} // namespace bergamot
