#pragma once

// Appends of one owner, in order and exactly once: one call at a time, repeated with the same sequence number until
// its outcome is known. What comes meanwhile goes out together with the next call.
//
//     FencedWriter writer(loop, store, {.topic = "batches", .producer = "pool"});
//     writer.begin(epoch, 1);
//     writer.write(record, [](bool written) { ... });
//
// Load pattern: answers of the store are lost, or it is down for seconds while samples finish. The repeats carry the
// same sequence number, so the store appends them once; what waits is bounded by the samples in flight.

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
    std::size_t callBytes = 1024 * 1024; // of the records of one call
    std::size_t callRecords = 256;
    Duration timeout = std::chrono::milliseconds(800); // of one call
    Duration retryPause = std::chrono::milliseconds(60);
};

/// Not thread-safe.
class FencedWriter
{
public:
    using Done = std::function<void(bool written)>;

    FencedWriter(boost::asio::io_context &loop, LogStore &store, FencedWriterOptions options);
    ~FencedWriter();
    FencedWriter(const FencedWriter &) = delete;
    FencedWriter &operator=(const FencedWriter &) = delete;

    /// Writes with `epoch` from now on; the epoch's next append has number `sequence`.
    void begin(std::uint64_t epoch, std::uint64_t sequence);
    /// Drops what waits; its `done` is called with false.
    void end();
    /// `done` runs once the record is in the log, or can never be by this writer.
    void write(std::string record, Done done);
    void onFenced(std::function<void()> handler);
    /// Time of the last append that the store acknowledged.
    TimePoint lastWrittenAt() const;
    std::size_t waiting() const;

private:
    struct State;

    std::shared_ptr<State> m_state;
};

} // namespace bergamot::logstore
