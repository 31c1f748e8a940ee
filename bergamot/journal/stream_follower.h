#pragma once

// Decides how a fold follows its stream of the log: which offset to read next, and how to start again from a
// checkpoint record when the next offset has expired.
//
//     log.read(stream, follower.readFrom(), limit, timeout, [&](Result<LogPage> page) {
//         follower.answered(page);
//     });

#include <string>
#include <vector>

#include "bergamot/base/error.h"
#include "bergamot/journal/checkpoint.h"
#include "bergamot/journal/fold.h"
#include "bergamot/platform/log.h"

namespace bergamot
{

enum class FollowState {
    Following, // reads the records after the fold's offset
    Probing, // asks which offsets are retained
    Scanning, // looks among the retained records for a checkpoint that they continue
    Lost, // the retained records hold no such checkpoint; waits for one on the log or from a peer
};

/// A pure decision; not thread-safe. One read at a time.
class StreamFollower
{
public:
    /// `fold` outlives the follower.
    explicit StreamFollower(StreamFold &fold);

    Offset readFrom() const;
    /// The answer of the read from `readFrom`. Returns how many records the fold applied.
    std::size_t answered(const Result<LogPage> &page);
    /// Restores the fold from a checkpoint that a peer sent, if it is newer than the fold.
    Result<void> adopt(const StreamCheckpoint &checkpoint);

    FollowState state() const;
    /// True if the last answer reached the end of the stream and the fold has it all.
    bool caughtUp() const;

private:
    std::size_t follow(const LogPage &page);
    std::size_t scan(const LogPage &page);
    void watch(const LogPage &page);
    bool tryRestore(const StoredRecord &stored);
    std::size_t applyScanned();
    void probe();

    StreamFold &m_fold;
    FollowState m_state = FollowState::Following;
    bool m_caughtUp = false;
    Offset m_scanFrom = 1;
    std::vector<StoredRecord> m_scanned;
    CheckpointAssembler m_assembler; // of the checkpoints among them
};

} // namespace bergamot
