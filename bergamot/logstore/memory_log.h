#pragma once

// In-memory model of the store without I/O: partitions with offsets, conditional appends, fenced producers, keyed
// topics and trimming. The fake servers for tests and the fake store are built on it.
//
//     MemoryLog log;
//     log.append({.topic = "t", .records = {"a"}});
//     log.read("t", 0, 0, 1024);

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "bergamot/logstore/log_store.h"

namespace bergamot::logstore
{

struct MemoryLogOptions
{
    std::size_t maxRecordBytes = 256 * 1024;
    std::size_t maxCallBytes = 2 * 1024 * 1024;
    std::size_t maxRecentAppends = 5; // outcomes kept per producer; a repeat gets the kept outcome
    std::size_t maxPageRecords = 50; // records in one page of the newest records
};

/// Implements the operations of `LogStore` synchronously. Not thread-safe.
class MemoryLog
{
public:
    explicit MemoryLog(MemoryLogOptions options = {})
        : m_options(options)
    { }

    AppendOutcome append(const Append &append);
    ReadOutcome read(const std::string &topic, std::uint32_t partition, std::uint64_t from, std::size_t maxBytes) const;
    /// One page of the newest records, those with keys behind `after`.
    ReadNewestOutcome readNewest(const std::string &topic, const std::string &after = {}) const;
    /// Deletes the records with offsets below `before`.
    void trim(const std::string &topic, std::uint32_t partition, std::uint64_t before);
    /// End offset of the partition: the offset of the next record.
    std::uint64_t end(const std::string &topic, std::uint32_t partition) const;
    /// Appends a record to a keyed topic; an empty value deletes the key.
    void put(const std::string &topic, const std::string &key, const std::string &value);

private:
    struct RecentAppend
    {
        std::uint64_t sequence = 0;
        AppendOutcome outcome;
    };

    struct ProducerState
    {
        std::uint64_t epoch = 0;
        std::uint64_t nextSequence = 0;
        bool hasEpoch = false; // whether `epoch` has been set by an append
        std::deque<RecentAppend> recentAppends;
    };

    struct Partition
    {
        std::uint64_t first = 0;
        std::deque<std::string> records;
        std::map<std::string, ProducerState> producers;
    };

    using PartitionKey = std::pair<std::string, std::uint32_t>;

    static std::uint64_t endOf(const Partition &partition);
    const Partition *find(const std::string &topic, std::uint32_t partition) const;

    MemoryLogOptions m_options;
    std::map<PartitionKey, Partition> m_partitions;
    std::map<std::string, std::map<std::string, KeyedRecord>> m_newest; // newest record by topic and key
};

} // namespace bergamot::logstore
