#pragma once

// The store's behaviour in memory, without I/O: partitions with offsets, conditional appends, fenced producers, keyed
// topics, trims. Stand-ins and fakes are built on it.
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
    std::size_t recordBytes = 256 * 1024;
    std::size_t callBytes = 2 * 1024 * 1024;
    std::size_t rememberedAppends = 5; // of a producer, whose repeats get their first outcome
};

/// Not thread-safe.
class MemoryLog
{
public:
    explicit MemoryLog(MemoryLogOptions options = {})
        : m_options(options)
    { }

    AppendOutcome append(const Append &append);
    ReadOutcome
    read(const std::string &topic, std::uint32_t partition, std::uint64_t from, std::size_t mostBytes) const;
    NewestOutcome newest(const std::string &topic) const;
    /// Drops the records before `before`.
    void trim(const std::string &topic, std::uint32_t partition, std::uint64_t before);
    std::uint64_t end(const std::string &topic, std::uint32_t partition) const;
    /// Writes the newest record of a key; an empty value drops it.
    void put(const std::string &topic, const std::string &key, const std::string &value);

private:
    struct Remembered
    {
        std::uint64_t sequence = 0;
        AppendOutcome outcome;
    };

    struct Writer
    {
        std::uint64_t epoch = 0;
        std::uint64_t next = 0; // sequence number
        bool any = false; // an append of this epoch was seen
        std::deque<Remembered> remembered;
    };

    struct Partition
    {
        std::uint64_t first = 0;
        std::deque<std::string> records;
        std::map<std::string, Writer> writers;
    };

    using Place = std::pair<std::string, std::uint32_t>;

    static std::uint64_t endOf(const Partition &partition);
    const Partition *find(const std::string &topic, std::uint32_t partition) const;

    MemoryLogOptions m_options;
    std::map<Place, Partition> m_partitions;
    std::map<std::string, std::map<std::string, KeyedRecord>> m_newest; // by topic and key
};

} // namespace bergamot::logstore
