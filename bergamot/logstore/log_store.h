#pragma once

// The store that keeps what must last: logs with offsets, and topics that keep the newest record of each key. The
// adapter of the platform implements it; decisions and shells only know this interface.
//
//     store.append({.topic = "batches", .records = {record}, .timeout = 1s}, [](const AppendOutcome &outcome) {
//         if (outcome.status == AppendStatus::Unknown) { ... } // may or may not be in the log: settle it
//     });

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "bergamot/base/clock.h"

namespace bergamot::logstore
{

/// A writer that the store fences: a lower epoch than one already seen is refused.
struct Producer
{
    std::string name;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0; // rises by one with each append of an epoch; a repeat gets its first outcome again
};

struct Append
{
    std::string topic;
    std::uint32_t partition = 0;
    std::vector<std::string> records; // all or none of them
    std::optional<std::uint64_t> at; // only if the partition ends there
    std::optional<Producer> producer;
    Duration timeout = std::chrono::milliseconds(1000);
};

enum class AppendStatus {
    Appended,
    NotDone, // the store refused, or the call never reached it
    Conflict, // the partition does not end at `at`
    Fenced, // another writer has a higher epoch
    OutOfSequence, // `expectedSequence` tells the next one
    TooLarge, // no repeat can help
    Unknown, // no answer: it may have been done, or may be done later
};

struct AppendOutcome
{
    AppendStatus status = AppendStatus::Unknown;
    std::uint64_t offset = 0; // of the first record
    std::uint64_t end = 0; // of the partition
    std::uint64_t expectedSequence = 0;
    std::string detail;
};

struct Read
{
    std::string topic;
    std::uint32_t partition = 0;
    std::uint64_t from = 0;
    std::uint32_t mostKilobytes = 256;
    Duration wait{}; // for a record to come
};

enum class ReadStatus {
    Done,
    Trimmed, // records from `from` on are gone; `first` is the oldest that is left
    Failed, // no answer, or a refusal
};

struct ReadOutcome
{
    ReadStatus status = ReadStatus::Failed;
    std::uint64_t end = 0;
    std::uint64_t first = 0;
    std::vector<std::string> records; // from `from` on, without gaps
    std::string detail;
};

struct KeyedRecord
{
    std::string key;
    std::string value; // empty: the key was dropped
    std::uint64_t offset = 0;
};

struct NewestOutcome
{
    ReadStatus status = ReadStatus::Failed;
    std::vector<KeyedRecord> records;
    std::uint64_t end = 0; // of the partition, as of the first page
    std::string detail;
};

/// Not thread-safe; callbacks run on the loop's thread, never from within the call, exactly once.
class LogStore
{
public:
    virtual ~LogStore() = default;

    virtual void append(Append append, std::function<void(const AppendOutcome &)> done) = 0;
    virtual void read(Read read, std::function<void(ReadOutcome)> done) = 0;
    /// The newest record of each key; reads all pages.
    virtual void newest(const std::string &topic, std::function<void(NewestOutcome)> done) = 0;
};

/// Splits the record of a keyed topic into its key and value; nothing if it is too short.
std::optional<KeyedRecord> splitKeyed(const std::string &record, std::uint64_t offset);

} // namespace bergamot::logstore
