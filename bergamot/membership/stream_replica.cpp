#include "bergamot/membership/stream_replica.h"

namespace bergamot
{

namespace
{

std::size_t sizeOf(const Record &record)
{
    return record.id.writer.size() + record.kind.size() + record.payload.size() + sizeof(StoredRecord);
}

std::unique_ptr<inner::LogRecordT> toInner(const StoredRecord &stored)
{
    auto record = std::make_unique<inner::LogRecordT>();
    record->offset = stored.offset;
    record->writer = stored.record.id.writer;
    record->incarnation = stored.record.id.incarnation;
    record->sequence = stored.record.id.sequence;
    record->kind = stored.record.kind;
    record->payload = stored.record.payload;
    return record;
}

StoredRecord fromInner(const inner::LogRecordT &record)
{
    return {record.offset, {{record.writer, record.incarnation, record.sequence}, record.kind, record.payload}};
}

} // namespace

StreamReplica::StreamReplica(std::string stream, StreamFold &fold, StreamReplicaLimits limits)
    : m_stream(std::move(stream))
    , m_fold(fold)
    , m_limits(limits)
{ }

const std::string &StreamReplica::stream() const
{
    return m_stream;
}

Offset StreamReplica::applied() const
{
    return m_fold.applied();
}

std::size_t StreamReplica::apply(std::span<const StoredRecord> records)
{
    std::size_t count = 0;
    for (const StoredRecord &record : records) {
        if (record.offset == m_fold.applied() + 1) {
            apply(record);
            ++count;
        }
    }
    return count;
}

void StreamReplica::apply(const StoredRecord &stored)
{
    m_fold.apply(stored);
    if (stored.record.kind == CheckpointKind) {
        countCheckpointPart(stored.record.payload);
    } else {
        m_bytesSinceCheckpoint += sizeOf(stored.record);
    }
    m_recent.push_back(stored);
    m_recentBytes += sizeOf(stored.record);
    while (m_recent.size() > m_limits.recentRecords || m_recentBytes > m_limits.recentBytes) {
        m_recentBytes -= sizeOf(m_recent.front().record);
        m_recent.pop_front();
    }
}

std::string StreamReplica::checkpoint() const
{
    return m_fold.checkpoint();
}

Result<void> StreamReplica::restore(const std::string &checkpoint, Offset offset)
{
    if (offset <= m_fold.applied()) {
        return {}; // an older checkpoint would decrease the version
    }
    if (Result<void> restored = m_fold.restore(checkpoint, offset); !restored) {
        return restored;
    }
    m_recent.clear();
    m_recentBytes = 0;
    return {};
}

inner::StreamRecordsT StreamReplica::recordsAfter(Offset offset) const
{
    inner::StreamRecordsT update;
    update.stream = m_stream;
    if (offset >= applied()) {
        return update;
    }
    const Offset oldest = m_recent.empty() ? applied() + 1 : m_recent.front().offset;
    if (offset + 1 < oldest) {
        update.checkpoint = m_fold.checkpoint();
        update.checkpoint_offset = applied();
        return update;
    }
    std::size_t bytes = 0;
    for (auto record = m_recent.begin() + static_cast<std::ptrdiff_t>(offset + 1 - oldest);
         record != m_recent.end() && bytes < m_limits.replyBytes;
         ++record) {
        bytes += sizeOf(record->record);
        update.records.push_back(toInner(*record));
    }
    return update;
}

bool StreamReplica::accept(const inner::StreamRecordsT &update)
{
    const Offset before = applied();
    if (update.checkpoint_offset > before && !restore(update.checkpoint, update.checkpoint_offset)) {
        return false;
    }
    std::vector<StoredRecord> records;
    records.reserve(update.records.size());
    for (const auto &record : update.records) {
        records.push_back(fromInner(*record));
    }
    apply(records);
    return applied() > before;
}

void StreamReplica::countCheckpointPart(const std::string &payload)
{
    Result<CheckpointPart> part = parseCheckpointPart(payload);
    if (!part) {
        return;
    }
    m_openCheckpointBytes += part->state.size();
    part->state.clear();
    if (m_checkpointParts.add(std::move(*part))) {
        ++m_checkpointsSeen;
        m_lastCheckpointBytes = std::exchange(m_openCheckpointBytes, 0);
        m_bytesSinceCheckpoint = 0;
    }
}

std::uint64_t StreamReplica::checkpointsSeen() const
{
    return m_checkpointsSeen;
}

StreamGrowth StreamReplica::growth() const
{
    return {.applied = applied(), .bytesSince = m_bytesSinceCheckpoint, .lastBytes = m_lastCheckpointBytes};
}

} // namespace bergamot
