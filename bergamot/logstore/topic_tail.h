#pragma once

// Follows one partition of the store with paced long reads: records come in order and without gaps, or a gap is told.
//
//     TopicTail tail(loop, store, {.topic = "batches"}, {.onRecord = ..., .onGap = ...});
//     tail.start(0);
//
// Load pattern: hundreds of instances follow one topic that changes many times a second. After records came, the next
// read waits for `pace`, so that one call brings several.

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bergamot/logstore/log_store.h"

namespace bergamot::logstore
{

struct TopicTailOptions
{
    std::string topic;
    std::uint32_t partition = 0;
    Duration wait = std::chrono::milliseconds(700); // of one long read; bounds how long a silent connection goes unseen
    Duration pace = std::chrono::milliseconds(200); // between two reads that brought records
    Duration retryPause = std::chrono::milliseconds(150); // after a read that failed
    std::uint32_t mostKilobytes = 256; // of one read
    Duration lostAfter = std::chrono::milliseconds(1000); // without an answer the store counts as lost
};

struct TopicTailEvents
{
    std::function<void(std::uint64_t offset, const std::string &record)> onRecord;
    std::function<void()> onBatchEnd; // after the records of one read
    std::function<void(std::uint64_t first)> onGap; // records are gone; the tail goes on at `first`
    std::function<void()> onLost; // no answers any more
    std::function<void(Duration)> onReturned; // answers again, after that time
};

/// Not thread-safe.
class TopicTail
{
public:
    TopicTail(boost::asio::io_context &loop, LogStore &store, TopicTailOptions options, TopicTailEvents events);
    ~TopicTail();
    TopicTail(const TopicTail &) = delete;
    TopicTail &operator=(const TopicTail &) = delete;

    void start(std::uint64_t from);
    void setPace(Duration pace);
    /// Whether everything that was in the partition at the time of the last answer has been read.
    bool caughtUp() const;
    bool lost() const;
    /// Time since the last answer.
    Duration age(TimePoint now) const;
    /// Offset of the next record.
    std::uint64_t next() const;

private:
    struct State;

    std::shared_ptr<State> m_state;
};

} // namespace bergamot::logstore
