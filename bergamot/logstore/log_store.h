#pragma once

// Interface of the durable store: partitioned logs with offsets, and keyed topics that retain the newest record of each
// key. The platform adapter implements it; the rest of the service depends on this interface only.
//
//     store.append({.topic = "batches", .records = {record}, .timeout = 1s}, [](const AppendOutcome &outcome) {
//         if (outcome.status == AppendStatus::Unknown) { ... } // may be in the log: resolve it
//     });

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "bergamot/base/clock.h"

namespace bergamot::logstore
{

/// Identifies a fenced writer. The store refuses an append whose epoch is lower than the highest one it has seen for
/// the producer.
struct Producer
{
    std::string name;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0; // increases by one per append of an epoch; a repeat gets the first outcome
};

struct Append
{
    std::string topic;
    std::uint32_t partition = 0;
    std::vector<std::string> records; // appended atomically: all or none
    std::optional<std::uint64_t> expectedEnd; // append only if the partition ends at this offset
    std::optional<Producer> producer;
    Duration timeout = std::chrono::milliseconds(1000);
};

enum class AppendStatus {
    Appended,
    NotAppended, // the store refused the call, or the call did not reach it
    Conflict, // the partition does not end at `at`
    Fenced, // another writer has a higher epoch
    OutOfSequence, // `expectedSequence` holds the next sequence number
    TooLarge, // exceeds a limit of the store; a repeat fails as well
    Unknown, // no response: the append may have been executed, or may be executed later
};

struct AppendOutcome
{
    AppendStatus status = AppendStatus::Unknown;
    std::uint64_t offset = 0; // offset of the first record
    std::uint64_t end = 0; // end offset of the partition
    std::uint64_t expectedSequence = 0;
    std::string detail;
};

struct Read
{
    std::string topic;
    std::uint32_t partition = 0;
    std::uint64_t from = 0;
    std::uint32_t maxKilobytes = 256;
    Duration wait{}; // how long the store waits for a record (long poll)
};

enum class ReadStatus {
    Done,
    Trimmed, // the records at `from` were deleted; `first` is the oldest retained offset
    Failed, // no response, or the store refused the call
};

struct ReadOutcome
{
    ReadStatus status = ReadStatus::Failed;
    std::uint64_t end = 0;
    std::uint64_t first = 0;
    std::vector<std::string> records; // consecutive records, the first one at `from`
    std::string detail;
};

struct KeyedRecord
{
    std::string key;
    std::string value; // empty if the key was deleted
    std::uint64_t offset = 0;
};

struct ReadNewestOutcome
{
    ReadStatus status = ReadStatus::Failed;
    std::vector<KeyedRecord> records;
    std::uint64_t end = 0; // end offset of the partition when the first page was read
    std::string detail;
};

/// Not thread-safe. Each callback runs exactly once, on the thread of the loop, after the call has returned.
class LogStore
{
public:
    virtual ~LogStore() = default;

    virtual void append(Append append, std::function<void(const AppendOutcome &)> done) = 0;
    virtual void read(Read read, std::function<void(ReadOutcome)> done) = 0;
    /// Reads the newest record of each key of a keyed topic, all pages of it.
    virtual void readNewest(const std::string &topic, std::function<void(ReadNewestOutcome)> done) = 0;
};

/// Splits a record of a keyed topic into its key and value. Returns `nullopt` if the record is too short.
std::optional<KeyedRecord> splitKeyed(const std::string &record, std::uint64_t offset);

} // namespace bergamot::logstore
