#pragma once

// Decides when a follower of one partition reads, from which offset and how much, and which records of a response are
// new. It sends nothing itself.
//
//     ReadSchedule schedule({}, seed);
//     schedule.start(0, now);
//     while (const std::optional<PlannedRead> read = schedule.next(now)) { ... send it ... }
//     const NewRecords added = schedule.onRecords(read.id, read.from, records.size(), end, now);
//
// Load pattern: all instances start at once and read the same log through the store's shared bandwidth, so a response
// may take seconds. A read that is given up and repeated transfers the same bytes again, which keeps the store busy
// with work that nobody uses. A read is therefore left to finish; a late one is hedged with a small read on a new
// connection, which tells a dead connection from a busy store at the cost of few bytes. The size of a read follows the
// time that the last one took: it doubles after a fast response and halves after a slow one.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "bergamot/logstore/backoff.h"

namespace bergamot::logstore
{

struct ReadScheduleOptions
{
    Duration wait = std::chrono::milliseconds(700); // longest wait of a long poll
    Duration readPause = std::chrono::milliseconds(200); // delay after a read that returned the newest records
    Duration responseTimeout = std::chrono::seconds(6); // after which a read without a response has failed
    Duration hedgeAfter = std::chrono::milliseconds(700); // delay, on top of the wait, until a late read is hedged
    Duration maxHedgeInterval = std::chrono::milliseconds(1000); // between the hedges of one read
    Duration slowResponse = std::chrono::milliseconds(500); // a longer response halves the size of the next read
    Duration fastResponse = std::chrono::milliseconds(200); // a shorter response doubles it
    Duration unavailableAfter = std::chrono::milliseconds(1000); // time without a response until `unavailable`
    std::uint32_t minKilobytes = 16;
    std::uint32_t initialKilobytes = 64;
    std::uint32_t maxKilobytes = 256;
    std::uint32_t largestRecordKilobytes = 512; // bound of a read whose first record is larger than its size
    std::size_t maxInFlight = 8;
    BackoffOptions backoff;
};

struct PlannedRead
{
    std::uint64_t id = 0;
    std::uint64_t from = 0;
    std::uint32_t kilobytes = 0;
    Duration wait{};
    bool hedge = false; // uses a new connection
};

/// The part of a response that was not delivered before.
struct NewRecords
{
    std::size_t first = 0; // index in the response
    std::size_t count = 0;
};

/// Counts of a follower since `start`.
struct FollowProgress
{
    std::uint64_t nextOffset = 0;
    std::uint64_t end = 0; // end of the partition at the last response
    std::uint64_t records = 0;
    TimePoint startedAt{};
    std::uint32_t failuresInRow = 0; // reads that failed or were hedged since the last response
};

/// Deterministic for a given seed. Not thread-safe.
class ReadSchedule
{
public:
    ReadSchedule(ReadScheduleOptions options, std::uint64_t seed);

    /// Starts reading at offset `from`; responses to earlier reads are ignored.
    void start(std::uint64_t from, TimePoint now);
    void setReadPause(Duration readPause);

    /// The next read to send now; call it until it returns nothing.
    std::optional<PlannedRead> next(TimePoint now);
    /// When to call `next` again if nothing happens before.
    TimePoint wakeAt() const;

    /// A response with `count` records from offset `from` on; `end` is the end of the partition.
    NewRecords onRecords(std::uint64_t id, std::uint64_t from, std::size_t count, std::uint64_t end, TimePoint now);
    /// The records before `first` were deleted. Returns whether this skips unread records.
    bool onTrimmed(std::uint64_t id, std::uint64_t first, TimePoint now);
    void onFailed(std::uint64_t id, TimePoint now);

    std::uint64_t nextOffset() const;
    /// Whether all records up to the end that the last response named have been read.
    bool caughtUp() const;
    /// Whether reads fail or are late, and there was no response for `unavailableAfter`.
    bool unavailable(TimePoint now) const;
    TimePoint lastResponseAt() const;
    /// When the newest read was sent whose response showed that all records have been read: whatever was in the
    /// partition at that time has been read.
    TimePoint confirmedAt() const;
    const FollowProgress &progress() const;
    /// Estimated time until the partition is read to its end, from the rate since `start`. Nothing if unknown.
    std::optional<Duration> timeToCatchUp(TimePoint now) const;

private:
    struct InFlight
    {
        PlannedRead read;
        TimePoint sentAt{};
    };

    PlannedRead send(bool hedge, TimePoint now);
    /// Removes the read and all reads sent before it, which are late. Returns the read if it was in flight.
    std::optional<InFlight> take(std::uint64_t id);
    void recordResponse(TimePoint now);
    void adaptSize(const InFlight &answered, TimePoint now);
    /// The next record did not fit into a read: from now on reads are larger than that.
    void raiseSize();

    ReadScheduleOptions m_options;
    Backoff m_backoff;
    FollowProgress m_progress;
    std::vector<InFlight> m_inFlight; // in the order in which they were sent
    std::uint64_t m_firstValidId = 1; // reads with lower numbers were sent before `start`
    std::uint64_t m_nextId = 1;
    std::uint32_t m_kilobytes;
    Duration m_hedgeInterval;
    TimePoint m_readAt{};
    TimePoint m_hedgeAt{};
    TimePoint m_lastResponseAt{};
    TimePoint m_confirmedAt{};
    bool m_caughtUp = false;
    bool m_started = false;
};

} // namespace bergamot::logstore
