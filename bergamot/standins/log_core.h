#pragma once

// The rules of the platform's log, without I/O: streams with offsets, retention, an append limit and outages.
//
//     LogCore log({.appendsPerSecond = 400});
//     Answer<Offset> appended = log.append("config", records, now);

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "bergamot/platform/log.h"
#include "bergamot/standins/faults.h"
#include "bergamot/standins/rate_limit.h"

namespace bergamot
{

struct LogCoreOptions
{
    std::size_t retainedRecords = 1'000'000; // for each stream
    Duration retainedFor = std::chrono::hours(24);
    std::uint32_t appendsPerSecond = 400; // over all streams; also the largest burst
    std::size_t recordsPerAppend = 1000; // a larger batch is refused
};

/// Deterministic, single-threaded. Calls for faults: "append" and "read". Faults of its own: "limit" (`count` appends a
/// second) and "retain" (`count` records of a stream, for `duration` unless 0).
class LogCore
{
public:
    explicit LogCore(LogCoreOptions options = {});

    Answer<Offset> append(const std::string &stream, std::vector<Record> batch, TimePoint now);
    Answer<LogPage> read(const std::string &stream, Offset from, std::size_t limit, TimePoint now);

    /// Changes the limits; records over them expire at the next call.
    void setOptions(LogCoreOptions options);
    const LogCoreOptions &options() const;
    Result<void> apply(const FaultCommand &command);
    /// Every record of `stream` that is still kept, for checks.
    std::vector<StoredRecord> records(const std::string &stream) const;
    /// Appends that took effect, for checks from outside.
    std::uint64_t appendCount() const;

private:
    struct Entry
    {
        TimePoint appended;
        Record record;
    };

    struct Stream
    {
        Offset firstRetained = 1;
        std::deque<Entry> entries;

        Offset end() const;
    };

    Result<Offset> store(const std::string &stream, std::vector<Record> batch, TimePoint now);
    Result<LogPage> page(const std::string &stream, Offset from, std::size_t limit, TimePoint now);
    void expire(Stream &stream, TimePoint now) const;

    LogCoreOptions m_options;
    FaultTable m_faults;
    std::map<std::string, Stream> m_streams;
    RateLimit m_limit;
    std::uint64_t m_appendCount = 0;
};

} // namespace bergamot
