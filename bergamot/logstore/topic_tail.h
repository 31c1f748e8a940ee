#pragma once

// Follows one partition of the store with long polls. Records are delivered in order; `onGap` reports records that were
// deleted before they were read. `ReadSchedule` decides when and how much is read.
//
//     TopicTail tail(loop, store, {.topic = "batches"}, {.onRecord = ..., .onGap = ...}, seed);
//     tail.start(0);
//
// Load pattern: hundreds of instances follow one topic that changes many times a second. After a read that returned
// records, the next read starts after `readPause`, so that one call returns several records.

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bergamot/logstore/log_store.h"
#include "bergamot/logstore/read_schedule.h"

namespace bergamot::logstore
{

struct TopicTailOptions
{
    std::string topic;
    std::uint32_t partition = 0;
    ReadScheduleOptions reads;
};

/// Why the store counts as unavailable.
struct TailOutage
{
    std::uint64_t nextOffset = 0; // offset of the reads that failed
    std::uint64_t records = 0; // records read since the start
    std::uint32_t tries = 0; // reads without a response since the last response
    std::string lastError; // of the last failed read; empty if reads are only late
};

struct TopicTailEvents
{
    std::function<void(std::uint64_t offset, const std::string &record)> onRecord;
    std::function<void()> onReadEnd; // all records of one read have been delivered
    std::function<void(std::uint64_t first)> onGap; // records were deleted unread; reading continues at `first`
    std::function<void(const TailOutage &)> onUnavailable; // the store has not responded for `unavailableAfter`
    std::function<void(Duration)> onRecovered; // the store responds again; time since the last response
};

/// Reports the records of one partition through `TopicTailEvents`. Not thread-safe.
class TopicTail
{
public:
    TopicTail(boost::asio::io_context &loop,
              LogStore &store,
              TopicTailOptions options,
              TopicTailEvents events,
              std::uint64_t seed);
    ~TopicTail();
    TopicTail(const TopicTail &) = delete;
    TopicTail &operator=(const TopicTail &) = delete;

    /// Starts following at offset `from`, or continues there.
    void start(std::uint64_t from);
    /// Changes the delay after a read that returned records, from the next such read on.
    void setReadPause(Duration readPause);
    /// Whether all records that were in the partition at the last response have been read.
    bool caughtUp() const;
    /// Whether `onUnavailable` was reported and the store has not responded since.
    bool unavailable() const;
    /// Time since the last successful response of the store.
    Duration timeSinceResponse(TimePoint now) const;
    /// Whatever was in the partition at this time has been read. `TimePoint()` if the end has not been reached since
    /// `start`.
    TimePoint confirmedAt() const;
    /// For use in `onRecord`: the records of this response were appended after this time. `TimePoint()` if not known.
    TimePoint recordsAppendedAfter() const;
    /// Offset of the first record that the store retained at the last response; older records were deleted.
    std::uint64_t firstRetained() const;
    /// Offset of the next record to read.
    std::uint64_t nextOffset() const;
    /// Counts since `start`.
    const FollowProgress &progress() const;
    /// Estimated time until the partition is read to its end; nothing if unknown.
    std::optional<Duration> timeToCatchUp(TimePoint now) const;

private:
    struct State;

    std::shared_ptr<State> m_state;
};

} // namespace bergamot::logstore
