#pragma once

// Appends payloads: records that take effect only when a later record refers to their offset. Payloads need neither
// order nor fencing, so an append whose outcome is unknown is repeated. If the first append did reach the log, nothing
// refers to its copies.
//
//     BulkWriter writer(loop, store, {.topic = "payloads"});
//     writer.write(partition, payload, [](std::optional<std::uint64_t> offset) { ... });
//
// Load pattern: dozens of samples finish within a few milliseconds. Records that arrive while a call to their partition
// is in flight are sent together in the next call.

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bergamot/logstore/log_store.h"

namespace bergamot::logstore
{

struct BulkWriterOptions
{
    std::string topic;
    std::size_t maxCallBytes = 1024 * 1024; // total size of the records in one call
    Duration timeout = std::chrono::milliseconds(900); // for one call
    Duration retryPause = std::chrono::milliseconds(60); // delay before a failed call is repeated
};

/// Appends records to the partitions of one topic, with at most one call per partition in flight. Not thread-safe.
class BulkWriter
{
public:
    /// Receives the offset of the record, or `nullopt` if the record was dropped or its call was too large for the
    /// store.
    using Done = std::function<void(std::optional<std::uint64_t> offset)>;

    BulkWriter(boost::asio::io_context &loop, LogStore &store, BulkWriterOptions options);
    ~BulkWriter();
    BulkWriter(const BulkWriter &) = delete;
    BulkWriter &operator=(const BulkWriter &) = delete;

    /// Queues a record; `done` runs when its outcome is known.
    void write(std::uint32_t partition, std::string record, Done done);
    /// Drops all records that are not known to be written; their `done` runs with `nullopt`.
    void clear();
    /// Records that are queued or in flight.
    std::size_t pendingRecords() const;
    std::size_t pendingBytes() const;

private:
    struct State;

    std::shared_ptr<State> m_state;
};

} // namespace bergamot::logstore
