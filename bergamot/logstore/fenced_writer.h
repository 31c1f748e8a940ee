#pragma once

// Appends the records of one producer in order and exactly once. One call is in flight at a time and is repeated with
// the same sequence number until its outcome is known. Records that arrive meanwhile are sent in the next call.
//
//     FencedWriter writer(loop, store, {.topic = "batches", .producer = "pool"});
//     writer.begin(epoch, 1);
//     writer.write(record, [](bool written) { ... });
//
// Load pattern: responses of the store are lost, or the store is unavailable for seconds while samples finish. Repeats
// carry the same sequence number, so the store appends the records once. The queue is bounded by the number of samples
// in flight.

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bergamot/logstore/log_store.h"

namespace bergamot::logstore
{

struct FencedWriterOptions
{
    std::string topic;
    std::uint32_t partition = 0;
    std::string producer;
    std::size_t maxCallBytes = 1024 * 1024; // total size of the records in one call
    std::size_t maxCallRecords = 256;
    Duration timeout = std::chrono::milliseconds(800); // for one call
    Duration retryPause = std::chrono::milliseconds(60); // delay before a failed call is repeated
};

/// Writes only between `begin` and `end`. Not thread-safe.
class FencedWriter
{
public:
    using Done = std::function<void(bool written)>;

    FencedWriter(boost::asio::io_context &loop, LogStore &store, FencedWriterOptions options);
    ~FencedWriter();
    FencedWriter(const FencedWriter &) = delete;
    FencedWriter &operator=(const FencedWriter &) = delete;

    /// Starts writing with `epoch`; the first append carries the sequence number `sequence`. Ends an earlier epoch.
    void begin(std::uint64_t epoch, std::uint64_t sequence);
    /// Stops writing and drops all records that are not known to be written; their `done` runs with false.
    void end();
    /// Queues a record. `done` runs with true once the record is in the log, with false if the writer is not active,
    /// is ended or fenced, or the store refuses the call with the record as too large.
    void write(std::string record, Done done);
    /// `handler` runs when the store has refused an append because another writer has a higher epoch.
    void onFenced(std::function<void()> handler);
    /// Time of the last append that the store acknowledged.
    TimePoint lastWrittenAt() const;
    /// When the call was sent that the store acknowledged last. No other writer had a higher epoch then, whenever the
    /// acknowledgement is handled.
    TimePoint acknowledgedCallSentAt() const;
    /// Records that are queued or in flight.
    std::size_t pendingRecords() const;

private:
    struct State;

    std::shared_ptr<State> m_state;
};

} // namespace bergamot::logstore
