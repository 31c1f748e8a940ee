#include "bergamot/journal/append_queue.h"

#include "bergamot/base/invariant.h"

namespace bergamot
{

namespace
{

bool mayHaveTakenEffect(ErrorCode code)
{
    return code == ErrorCode::Unknown || code == ErrorCode::DeadlineExceeded || code == ErrorCode::Cancelled
        || code == ErrorCode::Internal;
}

bool isRetryable(ErrorCode code)
{
    return mayHaveTakenEffect(code) || code == ErrorCode::Unavailable || code == ErrorCode::Overloaded;
}

Error timeoutError(bool maybeAppended)
{
    if (maybeAppended) {
        return {ErrorCode::Unknown,
                "the log gave no definite answer before the record's deadline; the record may have been appended"};
    }
    return {ErrorCode::Unavailable,
            "the log did not accept the record before its deadline; the record was not appended"};
}

} // namespace

AppendQueue::AppendQueue(AppendQueueOptions options)
    : m_options(options)
    , m_tokens(options.burst)
{ }

void AppendQueue::add(const std::string &stream, Record record, Callback<Offset> done, TimePoint now)
{
    PendingRecord pending{std::move(record), std::move(done), now + m_options.limit};
    ++m_queued;
    if (m_queued > m_options.maxQueuedRecords) {
        complete(pending, failure(ErrorCode::Overloaded, "the append queue is full", m_options.limit));
        return;
    }
    m_streams[stream].pending.push_back(std::move(pending));
}

void AppendQueue::handleAnswer(std::uint64_t batch, const Result<Offset> &answer, TimePoint now)
{
    const auto found = std::find_if(m_streams.begin(), m_streams.end(), [batch](const auto &entry) {
        return entry.second.inFlightBatch == batch;
    });
    checkInvariant(batch != 0 && found != m_streams.end(), "Each append request is answered exactly once.");
    Stream &stream = found->second;
    stream.inFlightBatch = 0;
    if (answer) {
        completeBatch(stream, *answer);
        return;
    }
    if (!isRetryable(answer.error().code)) {
        failBatch(stream, answer.error());
        return;
    }
    if (mayHaveTakenEffect(answer.error().code)) {
        for (std::size_t i = 0; i < stream.batchSize; ++i) {
            stream.pending[i].maybeAppended = true;
        }
    }
    delayRetry(stream, answer.error(), now);
}

void AppendQueue::delayRetry(Stream &stream, const Error &error, TimePoint now)
{
    const std::uint32_t doublings = std::min(stream.attempts, 16U);
    std::chrono::milliseconds delay = std::min(m_options.firstBackoff * (1U << doublings), m_options.maxBackoff);
    if (error.retryAfter) {
        delay = std::max(delay, std::min(*error.retryAfter, m_options.maxBackoff));
    }
    ++stream.attempts;
    stream.nextAttemptAt = now + delay;
}

void AppendQueue::completeBatch(Stream &stream, Offset first)
{
    for (std::size_t i = 0; i < stream.batchSize; ++i) {
        complete(stream.pending.front(), first + i);
        stream.pending.pop_front();
    }
    stream.batchSize = 0;
    stream.attempts = 0;
}

void AppendQueue::failBatch(Stream &stream, const Error &error)
{
    for (std::size_t i = 0; i < stream.batchSize; ++i) {
        PendingRecord &pending = stream.pending.front();
        complete(pending, tl::unexpected(pending.maybeAppended ? timeoutError(true) : error));
        stream.pending.pop_front();
    }
    stream.batchSize = 0;
    stream.attempts = 0;
}

void AppendQueue::complete(PendingRecord &pending, Result<Offset> outcome)
{
    --m_queued;
    m_completions.push_back({pending.record.id, std::move(pending.done), std::move(outcome)});
}

void AppendQueue::expire(Stream &stream, TimePoint now)
{
    if (stream.inFlightBatch != 0) {
        return;
    }
    while (!stream.pending.empty() && stream.pending.front().deadline <= now) {
        PendingRecord &oldest = stream.pending.front();
        complete(oldest, tl::unexpected(timeoutError(oldest.maybeAppended)));
        stream.pending.pop_front();
        stream.batchSize -= stream.batchSize > 0 ? 1 : 0;
    }
    if (stream.batchSize == 0) {
        stream.attempts = 0;
    }
}

void AppendQueue::refill(TimePoint now)
{
    if (m_refilledAt) {
        const std::chrono::duration<double> elapsed = now - *m_refilledAt;
        m_tokens = std::min(m_options.burst, m_tokens + elapsed.count() * m_options.appendsPerSecond);
    }
    m_refilledAt = now;
}

bool AppendQueue::sendable(const Stream &stream, TimePoint now) const
{
    return stream.inFlightBatch == 0 && !stream.pending.empty() && stream.nextAttemptAt <= now;
}

AppendQueue::Stream *AppendQueue::nextStream(TimePoint now, std::string &name)
{
    const auto start = m_streams.upper_bound(m_lastServed);
    const auto find = [this, now, &name](auto from, auto to) -> Stream * {
        for (auto it = from; it != to; ++it) {
            if (sendable(it->second, now)) {
                name = it->first;
                return &it->second;
            }
        }
        return nullptr;
    };
    Stream *later = find(start, m_streams.end());
    return later != nullptr ? later : find(m_streams.begin(), start);
}

std::vector<AppendRequest> AppendQueue::takeRequests(TimePoint now)
{
    refill(now);
    for (auto &[name, stream] : m_streams) {
        expire(stream, now);
    }
    std::vector<AppendRequest> requests;
    std::string name;
    while (m_tokens >= 1) {
        Stream *stream = nextStream(now, name);
        if (stream == nullptr) {
            break;
        }
        m_tokens -= 1;
        m_lastServed = name;
        requests.push_back(makeRequest(name, *stream, now));
    }
    return requests;
}

AppendRequest AppendQueue::makeRequest(const std::string &name, Stream &stream, TimePoint now)
{
    AppendRequest request{m_nextBatch++, name, {}, m_options.sendTimeout};
    // A batch that may have been appended is resent unchanged, so that no record is appended before an earlier record
    // of its stream.
    const bool isResend = stream.batchSize > 0 && stream.pending.front().maybeAppended;
    const std::size_t maxRecords = isResend ? stream.batchSize : m_options.maxBatchRecords;
    std::size_t bytes = 0;
    for (const PendingRecord &pending : stream.pending) {
        bytes += pending.record.payload.size();
        const bool full = request.records.size() >= maxRecords || (!isResend && bytes > m_options.maxBatchBytes);
        if (full && !request.records.empty()) {
            break;
        }
        request.records.push_back(pending.record);
    }
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(stream.pending.front().deadline - now);
    request.timeout = std::min(request.timeout, remaining);
    stream.batchSize = request.records.size();
    stream.inFlightBatch = request.batch;
    return request;
}

std::vector<AppendCompletion> AppendQueue::takeCompletions()
{
    return std::exchange(m_completions, {});
}

std::optional<TimePoint> AppendQueue::nextWake(TimePoint now) const
{
    std::optional<TimePoint> wake;
    for (const auto &[name, stream] : m_streams) {
        if (stream.inFlightBatch != 0 || stream.pending.empty()) {
            continue;
        }
        TimePoint due = std::max(stream.nextAttemptAt, now);
        if (m_tokens < 1) {
            const std::chrono::duration<double> timeToNextToken((1 - m_tokens) / m_options.appendsPerSecond);
            due = std::max(due, now + std::chrono::ceil<std::chrono::milliseconds>(timeToNextToken));
        }
        due = std::min(due, std::max(stream.pending.front().deadline, now));
        wake = wake ? std::min(*wake, due) : due;
    }
    return wake;
}

std::size_t AppendQueue::queued() const
{
    return m_queued;
}

} // namespace bergamot
