#pragma once

// Decides which records go to the log when: what waits for one stream goes out as one append (group commit), one
// append of a stream is in flight at a time, all streams share a budget of appends a second, and an append without a
// definite answer is sent again with the same ids until the time limit.
//
//     queue.add("config", record, now);
//     for (AppendSend &send : queue.takeSends(now)) { log.append(...); }
//     queue.answered(send.batch, result, now);
//     for (AppendSettled &settled : queue.takeSettled()) { settled.done(settled.outcome); }

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bergamot/base/clock.h"
#include "bergamot/base/error.h"
#include "bergamot/platform/log.h"

namespace bergamot
{

struct AppendQueueOptions
{
    double appendsPerSecond = 20; // of this process, over all streams
    double burst = 20; // appends that may follow each other at once after a pause
    std::size_t maxBatchRecords = 256;
    std::size_t maxBatchBytes = 512U << 10U;
    std::size_t maxQueuedRecords = 16384; // further ones are refused as `Overloaded`
    std::chrono::milliseconds sendTimeout{1000}; // of one append
    std::chrono::milliseconds limit{3000}; // from `add` until a record is given up
    std::chrono::milliseconds firstBackoff{50}; // doubled with each attempt
    std::chrono::milliseconds maxBackoff{1000};
};

/// One append to send.
struct AppendSend
{
    std::uint64_t batch = 0;
    std::string stream;
    std::vector<Record> records;
    std::chrono::milliseconds timeout{0};
};

/// The outcome of one record.
struct AppendSettled
{
    RecordId id;
    Callback<Offset> done;
    Result<Offset> outcome;
};

/// A pure decision; not thread-safe.
class AppendQueue
{
public:
    explicit AppendQueue(AppendQueueOptions options);

    /// Queues a record. The ids added for one stream rise.
    void add(const std::string &stream, Record record, Callback<Offset> done, TimePoint now);
    /// The answer of one append. On success the offsets of its records are contiguous.
    void answered(std::uint64_t batch, const Result<Offset> &answer, TimePoint now);
    /// What to send now; call it after each event and when `nextWake` has come.
    std::vector<AppendSend> takeSends(TimePoint now);
    std::vector<AppendSettled> takeSettled();
    /// When `takeSends` can have something to do without a further event.
    std::optional<TimePoint> nextWake(TimePoint now) const;
    std::size_t queued() const;

private:
    struct Waiting
    {
        Record record;
        Callback<Offset> done;
        TimePoint limit;
        bool maybeAppended = false;
    };

    struct Stream
    {
        std::deque<Waiting> waiting; // the first `inBatch` of them are the batch
        std::size_t inBatch = 0;
        std::uint64_t batch = 0; // in flight; 0: none
        std::uint32_t attempts = 0; // of the batch
        TimePoint notBefore;
    };

    void refill(TimePoint now);
    void expire(Stream &stream, TimePoint now);
    bool sendable(const Stream &stream, TimePoint now) const;
    Stream *nextStream(TimePoint now, std::string &name);
    AppendSend send(const std::string &name, Stream &stream, TimePoint now);
    void settleBatch(Stream &stream, Offset first);
    void refuseBatch(Stream &stream, const Error &error);
    void settle(Waiting &waiting, Result<Offset> outcome);
    void delayRetry(Stream &stream, const Error &error, TimePoint now);

    const AppendQueueOptions m_options;
    std::map<std::string, Stream> m_streams;
    std::string m_lastServed; // streams take turns
    std::vector<AppendSettled> m_settled;
    std::uint64_t m_nextBatch = 1;
    double m_tokens;
    std::optional<TimePoint> m_refilled;
    std::size_t m_queued = 0;
};

} // namespace bergamot
