#include "bergamot/logstore/memory_log.h"

namespace bergamot::logstore
{

namespace
{

constexpr std::string_view KeyedPrefix = "keyed.";

} // namespace

AppendOutcome MemoryLog::append(const Append &append)
{
    Partition &partition = m_partitions[{append.topic, append.partition}];
    AppendOutcome outcome{.status = AppendStatus::Appended, .offset = endOf(partition), .end = endOf(partition)};
    std::size_t bytes = 0;
    for (const std::string &record : append.records) {
        bytes += record.size();
        if (record.size() > m_options.maxRecordBytes) {
            outcome.status = AppendStatus::TooLarge;
        }
    }
    if (bytes > m_options.maxCallBytes) {
        outcome.status = AppendStatus::TooLarge;
    }
    if (outcome.status != AppendStatus::Appended) {
        return outcome;
    }
    ProducerState *producerState = append.producer ? &partition.producers[append.producer->name] : nullptr;
    if (producerState != nullptr) {
        if (append.producer->epoch < producerState->epoch) {
            outcome.status = AppendStatus::Fenced;
            return outcome;
        }
        if (append.producer->epoch > producerState->epoch || !producerState->hasEpoch) {
            *producerState = {
                .epoch = append.producer->epoch, .nextSequence = append.producer->sequence, .hasEpoch = true};
        }
        for (const RecentAppend &recent : producerState->recentAppends) {
            if (recent.sequence == append.producer->sequence) {
                return recent.outcome;
            }
        }
        if (append.producer->sequence != producerState->nextSequence) {
            outcome.status = AppendStatus::OutOfSequence;
            outcome.expectedSequence = producerState->nextSequence;
            return outcome;
        }
    }
    if (append.expectedEnd && *append.expectedEnd != endOf(partition)) {
        outcome.status = AppendStatus::Conflict;
        return outcome;
    }
    for (const std::string &record : append.records) {
        if (append.topic.starts_with(KeyedPrefix)) {
            if (std::optional<KeyedRecord> keyed = splitKeyed(record, endOf(partition))) {
                const std::string key = keyed->key;
                m_newest[append.topic][key] = std::move(*keyed);
            }
        }
        partition.records.push_back(record);
    }
    outcome.end = endOf(partition);
    if (producerState != nullptr) {
        ++producerState->nextSequence;
        producerState->recentAppends.push_back({append.producer->sequence, outcome});
        if (producerState->recentAppends.size() > m_options.maxRecentAppends) {
            producerState->recentAppends.pop_front();
        }
    }
    return outcome;
}

ReadOutcome
MemoryLog::read(const std::string &topic, std::uint32_t partition, std::uint64_t from, std::size_t maxBytes) const
{
    ReadOutcome outcome{.status = ReadStatus::Done};
    const Partition *found = find(topic, partition);
    if (found == nullptr) {
        return outcome;
    }
    outcome.first = found->first;
    outcome.end = endOf(*found);
    if (from < found->first) {
        outcome.status = ReadStatus::Trimmed;
        return outcome;
    }
    std::size_t bytes = 0;
    for (std::uint64_t offset = from; offset < outcome.end; ++offset) {
        const std::string &record = found->records[offset - found->first];
        if (!outcome.records.empty() && bytes + record.size() > maxBytes) {
            break;
        }
        bytes += record.size();
        outcome.records.push_back(record);
    }
    return outcome;
}

ReadNewestOutcome MemoryLog::readNewest(const std::string &topic, const std::string &after) const
{
    ReadNewestOutcome outcome{.status = ReadStatus::Done, .end = end(topic, 0)};
    const auto found = m_newest.find(topic);
    if (found == m_newest.end()) {
        return outcome;
    }
    for (auto entry = found->second.upper_bound(after); entry != found->second.end(); ++entry) {
        if (entry->second.value.empty()) {
            continue;
        }
        if (outcome.records.size() == m_options.maxPageRecords) {
            outcome.hasMore = true;
            break;
        }
        outcome.records.push_back(entry->second);
    }
    return outcome;
}

void MemoryLog::trim(const std::string &topic, std::uint32_t partition, std::uint64_t before)
{
    const auto found = m_partitions.find({topic, partition});
    if (found == m_partitions.end()) {
        return;
    }
    while (found->second.first < before && !found->second.records.empty()) {
        found->second.records.pop_front();
        ++found->second.first;
    }
}

std::uint64_t MemoryLog::end(const std::string &topic, std::uint32_t partition) const
{
    const Partition *found = find(topic, partition);
    return found == nullptr ? 0 : endOf(*found);
}

void MemoryLog::put(const std::string &topic, const std::string &key, const std::string &value)
{
    append({.topic = topic, .records = {keyedRecord(key, value)}});
}

std::uint64_t MemoryLog::endOf(const Partition &partition)
{
    return partition.first + partition.records.size();
}

const MemoryLog::Partition *MemoryLog::find(const std::string &topic, std::uint32_t partition) const
{
    const auto found = m_partitions.find({topic, partition});
    return found == m_partitions.end() ? nullptr : &found->second;
}

} // namespace bergamot::logstore
