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

bool worthRetrying(ErrorCode code)
{
    return mayHaveTakenEffect(code) || code == ErrorCode::Unavailable || code == ErrorCode::Overloaded;
}

Error givenUp(bool maybeAppended)
{
    if (maybeAppended) {
        return {ErrorCode::Unknown, "the log gave no definite answer in time; the record may have been appended"};
    }
    return {ErrorCode::Unavailable, "the log did not take the record in time; it was not appended"};
}

} // namespace

AppendQueue::AppendQueue(AppendQueueOptions options)
    : m_options(options)
    , m_tokens(options.burst)
{ }

void AppendQueue::add(const std::string &stream, Record record, Callback<Offset> done, TimePoint now)
{
    Waiting waiting{std::move(record), std::move(done), now + m_options.limit};
    ++m_queued;
    if (m_queued > m_options.maxQueuedRecords) {
        settle(waiting, failure(ErrorCode::Overloaded, "too many records wait for the log", m_options.limit));
        return;
    }
    m_streams[stream].waiting.push_back(std::move(waiting));
}

void AppendQueue::answered(std::uint64_t batch, const Result<Offset> &answer, TimePoint now)
{
    const auto found = std::find_if(m_streams.begin(), m_streams.end(), [batch](const auto &entry) {
        return entry.second.batch == batch;
    });
    checkInvariant(batch != 0 && found != m_streams.end(), "Each append is answered once.");
    Stream &stream = found->second;
    stream.batch = 0;
    if (answer) {
        settleBatch(stream, *answer);
        return;
    }
    if (!worthRetrying(answer.error().code)) {
        refuseBatch(stream, answer.error());
        return;
    }
    if (mayHaveTakenEffect(answer.error().code)) {
        for (std::size_t i = 0; i < stream.inBatch; ++i) {
            stream.waiting[i].maybeAppended = true;
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
    stream.notBefore = now + delay;
}

void AppendQueue::settleBatch(Stream &stream, Offset first)
{
    for (std::size_t i = 0; i < stream.inBatch; ++i) {
        settle(stream.waiting.front(), first + i);
        stream.waiting.pop_front();
    }
    stream.inBatch = 0;
    stream.attempts = 0;
}

void AppendQueue::refuseBatch(Stream &stream, const Error &error)
{
    for (std::size_t i = 0; i < stream.inBatch; ++i) {
        Waiting &waiting = stream.waiting.front();
        settle(waiting, tl::unexpected(waiting.maybeAppended ? givenUp(true) : error));
        stream.waiting.pop_front();
    }
    stream.inBatch = 0;
    stream.attempts = 0;
}

void AppendQueue::settle(Waiting &waiting, Result<Offset> outcome)
{
    --m_queued;
    m_settled.push_back({waiting.record.id, std::move(waiting.done), std::move(outcome)});
}

void AppendQueue::expire(Stream &stream, TimePoint now)
{
    if (stream.batch != 0) {
        return;
    }
    while (!stream.waiting.empty() && stream.waiting.front().limit <= now) {
        Waiting &oldest = stream.waiting.front();
        settle(oldest, tl::unexpected(givenUp(oldest.maybeAppended)));
        stream.waiting.pop_front();
        stream.inBatch -= stream.inBatch > 0 ? 1 : 0;
    }
    if (stream.inBatch == 0) {
        stream.attempts = 0;
    }
}

void AppendQueue::refill(TimePoint now)
{
    if (m_refilled) {
        const std::chrono::duration<double> elapsed = now - *m_refilled;
        m_tokens = std::min(m_options.burst, m_tokens + elapsed.count() * m_options.appendsPerSecond);
    }
    m_refilled = now;
}

bool AppendQueue::sendable(const Stream &stream, TimePoint now) const
{
    return stream.batch == 0 && !stream.waiting.empty() && stream.notBefore <= now;
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

std::vector<AppendSend> AppendQueue::takeSends(TimePoint now)
{
    refill(now);
    for (auto &[name, stream] : m_streams) {
        expire(stream, now);
    }
    std::vector<AppendSend> sends;
    std::string name;
    while (m_tokens >= 1) {
        Stream *stream = nextStream(now, name);
        if (stream == nullptr) {
            break;
        }
        m_tokens -= 1;
        m_lastServed = name;
        sends.push_back(send(name, *stream, now));
    }
    return sends;
}

AppendSend AppendQueue::send(const std::string &name, Stream &stream, TimePoint now)
{
    AppendSend send{m_nextBatch++, name, {}, m_options.sendTimeout};
    // A batch that may have been appended is sent again as it was; a later record never overtakes an earlier one.
    const bool again = stream.inBatch > 0 && stream.waiting.front().maybeAppended;
    const std::size_t most = again ? stream.inBatch : m_options.maxBatchRecords;
    std::size_t bytes = 0;
    for (const Waiting &waiting : stream.waiting) {
        bytes += waiting.record.payload.size();
        const bool full = send.records.size() >= most || (!again && bytes > m_options.maxBatchBytes);
        if (full && !send.records.empty()) {
            break;
        }
        send.records.push_back(waiting.record);
    }
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(stream.waiting.front().limit - now);
    send.timeout = std::min(send.timeout, left);
    stream.inBatch = send.records.size();
    stream.batch = send.batch;
    return send;
}

std::vector<AppendSettled> AppendQueue::takeSettled()
{
    return std::exchange(m_settled, {});
}

std::optional<TimePoint> AppendQueue::nextWake(TimePoint now) const
{
    std::optional<TimePoint> wake;
    for (const auto &[name, stream] : m_streams) {
        if (stream.batch != 0 || stream.waiting.empty()) {
            continue;
        }
        TimePoint due = std::max(stream.notBefore, now);
        if (m_tokens < 1) {
            const std::chrono::duration<double> missing((1 - m_tokens) / m_options.appendsPerSecond);
            due = std::max(due, now + std::chrono::ceil<std::chrono::milliseconds>(missing));
        }
        due = std::min(due, std::max(stream.waiting.front().limit, now));
        wake = wake ? std::min(*wake, due) : due;
    }
    return wake;
}

std::size_t AppendQueue::queued() const
{
    return m_queued;
}

} // namespace bergamot
