#include "bergamot/journal/stream_follower.h"

namespace bergamot
{

namespace
{

// Larger than every offset, and below 2^53 so that every JSON parser represents it exactly. The answer to a read from
// this offset holds no records but the range of retained offsets.
constexpr Offset BeyondEnd = Offset{1} << 52U;

bool isLastPart(const std::string &payload)
{
    const Result<CheckpointPart> part = parseCheckpointPart(payload);
    return part && part->part + 1 == part->parts;
}

} // namespace

StreamFollower::StreamFollower(StreamFold &fold)
    : m_fold(fold)
{ }

Offset StreamFollower::readFrom() const
{
    switch (m_state) {
    case FollowState::Following:
        return m_fold.applied() + 1;
    case FollowState::Probing:
        return BeyondEnd;
    case FollowState::Scanning:
    case FollowState::Lost:
        return m_scanFrom;
    }
    return BeyondEnd;
}

std::size_t StreamFollower::answered(const Result<LogPage> &page)
{
    if (!page) {
        m_caughtUp = false;
        if (page.error().code == ErrorCode::Expired) {
            startProbing();
        }
        return 0;
    }
    switch (m_state) {
    case FollowState::Following:
        return applyPage(*page);
    case FollowState::Scanning:
        return scanPage(*page);
    case FollowState::Lost:
        watchForCheckpoint(*page);
        return 0;
    case FollowState::Probing:
        break;
    }
    const bool retained = page->firstRetained <= m_fold.applied() + 1;
    m_state = retained ? FollowState::Following : FollowState::Scanning;
    m_scanFrom = page->firstRetained;
    return 0;
}

void StreamFollower::startProbing()
{
    m_state = FollowState::Probing;
    m_scanned.clear();
    m_assembler = {};
}

std::size_t StreamFollower::applyPage(const LogPage &page)
{
    std::size_t applied = 0;
    for (const StoredRecord &stored : page.records) {
        if (stored.offset == m_fold.applied() + 1) {
            m_fold.apply(stored);
            ++applied;
        }
    }
    m_caughtUp = m_fold.applied() + 1 >= page.end;
    return applied;
}

std::size_t StreamFollower::scanPage(const LogPage &page)
{
    bool restored = false;
    for (const StoredRecord &stored : page.records) {
        m_scanned.push_back(stored);
        restored = restored || tryRestore(stored);
        m_scanFrom = stored.offset + 1;
    }
    if (restored) {
        return applyScanned();
    }
    if (m_scanFrom >= page.end) {
        m_state = FollowState::Lost;
        m_scanned.clear();
    }
    return 0;
}

void StreamFollower::watchForCheckpoint(const LogPage &page)
{
    for (const StoredRecord &stored : page.records) {
        m_scanFrom = stored.offset + 1;
        if (stored.record.kind == CheckpointKind && isLastPart(stored.record.payload)) {
            startProbing();
        }
    }
}

bool StreamFollower::tryRestore(const StoredRecord &stored)
{
    if (stored.record.kind != CheckpointKind) {
        return false;
    }
    const Result<CheckpointPart> part = parseCheckpointPart(stored.record.payload);
    const bool usable = part && part->offset + 1 >= m_scanned.front().offset && part->offset < stored.offset
        && part->offset > m_fold.applied();
    if (!usable) {
        return false;
    }
    const std::optional<StreamCheckpoint> checkpoint = m_assembler.add(*part);
    return checkpoint && isIntact(*checkpoint, part->hash)
        && m_fold.restore(checkpoint->state, checkpoint->offset).has_value();
}

std::size_t StreamFollower::applyScanned()
{
    std::size_t applied = 0;
    for (const StoredRecord &stored : m_scanned) {
        if (stored.offset == m_fold.applied() + 1) {
            m_fold.apply(stored);
            ++applied;
        }
    }
    m_scanned.clear();
    m_assembler = {};
    m_state = FollowState::Following;
    return applied;
}

Result<void> StreamFollower::adopt(const StreamCheckpoint &checkpoint)
{
    if (checkpoint.offset <= m_fold.applied()) {
        return {};
    }
    if (Result<void> restored = m_fold.restore(checkpoint.state, checkpoint.offset); !restored) {
        return restored;
    }
    m_state = FollowState::Following;
    m_scanned.clear();
    m_caughtUp = false;
    return {};
}

FollowState StreamFollower::state() const
{
    return m_state;
}

bool StreamFollower::caughtUp() const
{
    return m_caughtUp && m_state == FollowState::Following;
}

} // namespace bergamot
