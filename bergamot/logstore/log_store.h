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
    Duration timeout = std::chrono::milliseconds(2000); // for the response, on top of `wait`
    bool newConnection = false; // bypass a kept connection, which may have gone silent
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
    std::vector<std::string> records; // consecutive records, the first one at `from`; those of a response that broke
                                      // off are complete, but fewer
    std::string detail;
};

/// Reads one page of the newest records of a keyed topic.
struct ReadNewest
{
    std::string topic;
    std::string after; // the last key of the previous page; empty for the first page
    Duration timeout = std::chrono::milliseconds(1500);
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
    std::uint64_t end = 0; // end offset of the partition when the page was read
    bool hasMore = false; // further pages follow
    std::string detail;
};

/// Not thread-safe. Each callback runs exactly once, on the thread of the loop, after the call has returned.
class LogStore
{
public:
    virtual ~LogStore() = default;

    virtual void append(Append append, std::function<void(const AppendOutcome &)> done) = 0;
    virtual void read(Read read, std::function<void(ReadOutcome)> done) = 0;
    virtual void readNewest(ReadNewest read, std::function<void(ReadNewestOutcome)> done) = 0;
};

/// Serializes a record of a keyed topic; an empty value deletes the key. `key` has at most 255 bytes.
std::string keyedRecord(const std::string &key, const std::string &value);

/// Splits a record of a keyed topic into its key and value. Returns `nullopt` if the record is too short.
std::optional<KeyedRecord> splitKeyed(const std::string &record, std::uint64_t offset);

} // namespace bergamot::logstore
