#include "bergamot/membership/stream_replica.h"

#include "bergamot/base/hash.h"
#include "bergamot/base/json.h"

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

std::string toPayload(const Checkpoint &checkpoint)
{
    web::json::value json = web::json::value::object();
    json["state"] = web::json::value::string(checkpoint.state);
    json["offset"] = web::json::value::number(checkpoint.offset);
    json["sha256"] = web::json::value::string(sha256Hex(checkpoint.state));
    return json.serialize();
}

Result<Checkpoint> parseCheckpoint(const Record &record)
{
    const Result<web::json::value> json = parseJson(record.payload);
    if (!json) {
        return tl::unexpected(json.error());
    }
    FieldReader reader(*json, "checkpoint");
    Checkpoint checkpoint {reader.requiredString("state"), reader.requiredUnsigned("offset")};
    if (reader.requiredString("sha256") != sha256Hex(checkpoint.state)) {
        reader.reject("sha256", "must be the hash of the state");
    }
    if (const Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    return checkpoint;
}

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
        if (record.offset != m_fold.applied() + 1) {
            continue;
        }
        m_fold.apply(record);
        remember(record);
        ++count;
    }
    return count;
}

void StreamReplica::remember(const StoredRecord &record)
{
    if (record.record.kind == CheckpointKind) {
        m_lastCheckpointRecord = record.offset;
    }
    m_recent.push_back(record);
    m_recentBytes += sizeOf(record.record);
    while (m_recent.size() > m_limits.recentRecords || m_recentBytes > m_limits.recentBytes) {
        m_recentBytes -= sizeOf(m_recent.front().record);
        m_recent.pop_front();
    }
}

Result<void> StreamReplica::restore(const Checkpoint &checkpoint)
{
    if (checkpoint.offset <= m_fold.applied()) {
        return {};
    }
    if (Result<void> restored = m_fold.restore(checkpoint.state, checkpoint.offset); !restored) {
        return restored;
    }
    m_recent.clear();
    m_recentBytes = 0;
    return {};
}

inner::StreamRecordsT StreamReplica::recordsAfter(Offset offset) const
{
    inner::StreamRecordsT news;
    news.stream = m_stream;
    if (offset >= applied()) {
        return news;
    }
    const Offset oldest = m_recent.empty() ? applied() + 1 : m_recent.front().offset;
    if (offset + 1 < oldest) {
        news.checkpoint = m_fold.checkpoint();
        news.checkpoint_offset = applied();
        return news;
    }
    std::size_t bytes = 0;
    for (auto record = m_recent.begin() + static_cast<std::ptrdiff_t>(offset + 1 - oldest);
         record != m_recent.end() && bytes < m_limits.replyBytes;
         ++record) {
        bytes += sizeOf(record->record);
        news.records.push_back(toInner(*record));
    }
    return news;
}

bool StreamReplica::accept(const inner::StreamRecordsT &news)
{
    const Offset before = applied();
    if (news.checkpoint_offset > before && !restore({news.checkpoint, news.checkpoint_offset})) {
        return false;
    }
    std::vector<StoredRecord> records;
    records.reserve(news.records.size());
    for (const auto &record : news.records) {
        records.push_back(fromInner(*record));
    }
    apply(records);
    return applied() > before;
}

Checkpoint StreamReplica::checkpoint() const
{
    return {m_fold.checkpoint(), m_fold.applied()};
}

Offset StreamReplica::lastCheckpointRecord() const
{
    return m_lastCheckpointRecord;
}

} // namespace bergamot
