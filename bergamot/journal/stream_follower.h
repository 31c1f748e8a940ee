#pragma once

// Decides how a fold follows its stream of the log: which offset to read next, and how to restart from a checkpoint
// record when the record at the next offset has expired.
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
    Following, // reading the records after the fold's offset
    Probing, // reading the range of retained offsets
    Scanning, // reading the retained records to find a checkpoint whose next record is retained
    Lost, // no retained record holds such a checkpoint; waiting for one in the log or from a peer
};

/// Contains no I/O; the caller reads the log, with one read in flight at a time. Not thread-safe.
class StreamFollower
{
public:
    /// `fold` must outlive the follower.
    explicit StreamFollower(StreamFold &fold);

    /// The offset from which to read next.
    Offset readFrom() const;
    /// Handles the answer to the read from `readFrom`. Returns the number of records that the fold applied.
    std::size_t answered(const Result<LogPage> &page);
    /// Restores the fold from a checkpoint received from a peer if the checkpoint is newer than the fold; otherwise
    /// does nothing and succeeds.
    Result<void> adopt(const StreamCheckpoint &checkpoint);

    FollowState state() const;
    /// Returns true if the last read reached the end of the stream and the fold has applied every record up to it.
    bool caughtUp() const;

private:
    std::size_t applyPage(const LogPage &page);
    std::size_t scanPage(const LogPage &page);
    void watchForCheckpoint(const LogPage &page);
    bool tryRestore(const StoredRecord &stored);
    std::size_t applyScanned();
    void startProbing();

    StreamFold &m_fold;
    FollowState m_state = FollowState::Following;
    bool m_caughtUp = false;
    Offset m_scanFrom = 1; // next offset to read while `Scanning` or `Lost`
    std::vector<StoredRecord> m_scanned; // records read while `Scanning`
    CheckpointAssembler m_assembler; // assembles the checkpoints in `m_scanned`
};

} // namespace bergamot
