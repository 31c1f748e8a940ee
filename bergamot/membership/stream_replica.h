#pragma once

// An instance's replica of one stream of the log: the fold of all records so far, and the recent records, which it
// sends to peers. Records arrive from the log or from peers, in any order and any number of times. The fold receives
// each of them once, in offset order, and never returns to an earlier offset.
//
//     StreamReplica replica("config", fold);
//     replica.apply(page.records);
//     inner::StreamRecordsT update = replica.recordsAfter(digest.applied);

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
    std::size_t recentRecords = 4096; // kept for peers
    std::size_t recentBytes = 1U << 20U; // kept for peers
    std::size_t replyBytes = 256U << 10U; // of records in one reply
};

/// Implements `StreamFold`, so that a `StreamFollower` can feed it. Not thread-safe. `fold` must outlive it.
class StreamReplica final : public StreamFold
{
public:
    StreamReplica(std::string stream, StreamFold &fold, StreamReplicaLimits limits = {});

    const std::string &stream() const;
    Offset applied() const override;
    void apply(const StoredRecord &stored) override;
    std::string checkpoint() const override;
    Result<void> restore(const std::string &checkpoint, Offset offset) override;

    /// Applies the records that directly follow the applied ones and skips all others. Returns how many were applied.
    std::size_t apply(std::span<const StoredRecord> records);

    /// What a peer that has applied the records up to `offset` lacks: records, or a checkpoint if the records are no
    /// longer kept here.
    inner::StreamRecordsT recordsAfter(Offset offset) const;
    /// Applies the records or the checkpoint that a peer sent. Returns true if anything was new.
    bool accept(const inner::StreamRecordsT &update);

    /// Number of complete checkpoints among the applied records.
    std::uint64_t checkpointsSeen() const;
    /// Growth of the stream since the newest complete checkpoint, or since this replica was created.
    StreamGrowth growth() const;

private:
    void countCheckpointPart(const std::string &payload);

    std::string m_stream;
    StreamFold &m_fold;
    StreamReplicaLimits m_limits;
    std::deque<StoredRecord> m_recent; // contiguous; the last one has the offset `applied()`
    std::size_t m_recentBytes = 0;
    CheckpointAssembler m_checkpointParts; // parts of an incomplete checkpoint, without their states
    std::uint64_t m_checkpointsSeen = 0;
    std::uint64_t m_bytesSinceCheckpoint = 0;
    std::uint64_t m_openCheckpointBytes = 0; // of the parts since the newest complete checkpoint
    std::uint64_t m_lastCheckpointBytes = 0;
};

} // namespace bergamot
