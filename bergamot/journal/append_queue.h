#pragma once

// Schedules appends to the log: all pending records of a stream are sent as one append (group commit), each stream has
// at most one append in flight, all streams share a budget of appends per second, and an append without a definite
// answer is retried with the same record ids until the records' deadline.
//
//     queue.add("config", record, now);
//     for (AppendRequest &request : queue.takeRequests(now)) { log.append(...); }
//     queue.handleAnswer(request.batch, result, now);
//     for (AppendCompletion &completion : queue.takeCompletions()) { completion.done(completion.outcome); }

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
    double appendsPerSecond = 20; // budget of this process over all streams
    double burst = 20; // appends that may be sent back to back after an idle period
    std::size_t maxBatchRecords = 256;
    std::size_t maxBatchBytes = 512U << 10U;
    std::size_t maxQueuedRecords = 16384; // records above this number fail with `Overloaded`
    std::chrono::milliseconds sendTimeout{1000}; // timeout of one append attempt
    std::chrono::milliseconds limit{3000}; // time from `add` until the record fails
    std::chrono::milliseconds firstBackoff{50}; // delay before the first retry; doubles with each attempt
    std::chrono::milliseconds maxBackoff{1000};
};

/// One append to send to the log.
struct AppendRequest
{
    std::uint64_t batch = 0;
    std::string stream;
    std::vector<Record> records;
    std::chrono::milliseconds timeout{0};
};

/// The final outcome of one record.
struct AppendCompletion
{
    RecordId id;
    Callback<Offset> done;
    Result<Offset> outcome;
};

/// Contains no I/O and reads no clock: the caller passes the time in. Not thread-safe.
class AppendQueue
{
public:
    explicit AppendQueue(AppendQueueOptions options);

    /// Queues a record. The sequence numbers of records added for one stream must increase.
    void add(const std::string &stream, Record record, Callback<Offset> done, TimePoint now);
    /// Handles the log's answer to the request with id `batch`. A successful answer is the offset of the batch's first
    /// record; the offsets of its records are contiguous.
    void handleAnswer(std::uint64_t batch, const Result<Offset> &answer, TimePoint now);
    /// Returns the requests to send now. Call it after each event and at the time that `nextWake` returned.
    std::vector<AppendRequest> takeRequests(TimePoint now);
    /// Returns the records that have reached a final outcome since the last call.
    std::vector<AppendCompletion> takeCompletions();
    /// The earliest time at which `takeRequests` may return requests or fail records without a further event.
    std::optional<TimePoint> nextWake(TimePoint now) const;
    /// The number of records without a final outcome.
    std::size_t queued() const;

private:
    struct PendingRecord
    {
        Record record;
        Callback<Offset> done;
        TimePoint deadline;
        bool maybeAppended = false;
    };

    struct Stream
    {
        std::deque<PendingRecord> pending; // the first `batchSize` records form the current batch
        std::size_t batchSize = 0;
        std::uint64_t inFlightBatch = 0; // id of the request in flight; 0 if there is none
        std::uint32_t attempts = 0; // failed attempts to append the current batch
        TimePoint nextAttemptAt;
    };

    void refill(TimePoint now);
    void expire(Stream &stream, TimePoint now);
    bool sendable(const Stream &stream, TimePoint now) const;
    Stream *nextStream(TimePoint now, std::string &name);
    AppendRequest makeRequest(const std::string &name, Stream &stream, TimePoint now);
    void completeBatch(Stream &stream, Offset first);
    void failBatch(Stream &stream, const Error &error);
    void complete(PendingRecord &pending, Result<Offset> outcome);
    void delayRetry(Stream &stream, const Error &error, TimePoint now);

    const AppendQueueOptions m_options;
    std::map<std::string, Stream> m_streams;
    std::string m_lastServed; // name of the stream sent last; streams are served round-robin
    std::vector<AppendCompletion> m_completions;
    std::uint64_t m_nextBatch = 1;
    double m_tokens; // appends that may be sent now
    std::optional<TimePoint> m_refilledAt; // time of the last token refill
    std::size_t m_queued = 0;
};

} // namespace bergamot
