#include "bergamot/journal/random_log.h"

namespace bergamot
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t RetainedRecords = 80;
constexpr std::size_t PageRecords = 16;
constexpr CheckpointTimerOptions TimerOptions{.maxAge = 60s, .minBytes = 4096, .minGap = 2s};
constexpr std::size_t PartsPerCheckpoint = 3;

} // namespace

RandomLog::RandomLog(std::uint64_t seed, std::string streamName, std::unique_ptr<StreamFold> reference)
    : stream(std::move(streamName))
    , random(seed)
    , m_core({.retainedRecords = RetainedRecords})
    , m_reference(std::move(reference))
{
    m_states[0] = m_reference->checkpoint();
}

void RandomLog::advance(Duration step)
{
    clock.advance(step);
    while (!m_events.empty() && m_events.begin()->first <= clock.now()) {
        const std::function<void()> event = std::move(m_events.extract(m_events.begin()).mapped());
        event();
    }
}

void RandomLog::after(Duration delay, std::function<void()> event)
{
    m_events.emplace(clock.now() + delay, std::move(event));
}

void RandomLog::injectFaults(const RandomFaults &faults)
{
    if (!oneIn(faults.outage)) {
        return;
    }
    out = true;
    after(between(1s, faults.longestOutage), [this] {
        out = false;
    });
}

Result<Offset> RandomLog::append(std::vector<Record> records)
{
    if (out) {
        return failure(ErrorCode::Unavailable, "the log is unavailable");
    }
    Result<Offset> first = m_core.append(stream, records, clock.now()).result;
    for (std::size_t i = 0; first && i < records.size(); ++i) {
        m_reference->apply({*first + i, records[i]});
        m_states[*first + i] = m_reference->checkpoint();
    }
    return first;
}

Result<LogPage> RandomLog::read(Offset from)
{
    if (out) {
        return failure(ErrorCode::Unavailable, "the log is unavailable");
    }
    return m_core.read(stream, from, PageRecords, clock.now()).result;
}

const std::string &RandomLog::stateAt(Offset offset) const
{
    return m_states.at(offset);
}

bool RandomLog::oneIn(std::uint32_t times)
{
    return random() % times == 0;
}

Duration RandomLog::between(Duration min, Duration max)
{
    return min + Duration(static_cast<Duration::rep>(random() % static_cast<std::uint64_t>((max - min).count())));
}

/// Answers that have arrived for a client and wait for its next step.
struct RandomLogClient::Inbox
{
    std::map<std::uint64_t, Result<Offset>> answers; // answers by batch id
    std::optional<Result<LogPage>> page;
    std::set<std::uint64_t> unanswered; // ids of batches without an answer

    void deliver(std::uint64_t batch, Result<Offset> appendResult)
    {
        if (unanswered.erase(batch) > 0) {
            answers.emplace(batch, std::move(appendResult));
        }
    }
};

RandomLogClient::RandomLogClient(RandomLog &log, std::string writer, std::uint64_t incarnation, StreamFold &fold)
    : m_log(log)
    , m_writer(std::move(writer))
    , m_incarnation(incarnation)
    , m_fold(fold)
    , m_queue({})
    , m_follower(fold)
    , m_timer(TimerOptions, log.clock.now())
    , m_inbox(std::make_shared<Inbox>())
{ }

RandomLogClient::~RandomLogClient() = default;

RecordId
RandomLogClient::append(const std::string &stream, std::string kind, std::string payload, Callback<Offset> done)
{
    RecordId id{m_writer, m_incarnation, ++m_sequence};
    m_queue.add(stream, Record{id, std::move(kind), std::move(payload)}, std::move(done), m_log.clock.now());
    return id;
}

void RandomLogClient::send(AppendRequest request)
{
    const std::uint64_t batch = request.batch;
    m_inbox->unanswered.insert(batch);
    m_log.after(request.timeout, [inbox = m_inbox, batch] {
        inbox->deliver(batch, failure(ErrorCode::Unknown, "no answer within the timeout"));
    });
    if (cutOff && m_log.oneIn(2)) {
        m_inbox->deliver(batch, failure(ErrorCode::Unavailable, "cannot connect"));
        return;
    }
    // A few appends take effect long after their sender's timeout.
    const Duration delay = m_log.oneIn(20) ? m_log.between(1s, 20s) : m_log.between(1ms, 200ms);
    const bool answerLost = cutOff || m_log.oneIn(8);
    m_log.after(delay, [&log = m_log, inbox = m_inbox, batch, answerLost, records = std::move(request.records)] {
        Result<Offset> appended = log.append(records);
        if (!answerLost) {
            inbox->deliver(batch, std::move(appended));
        }
    });
}

void RandomLogClient::startRead()
{
    m_reading = true;
    const Offset from = m_follower.readFrom();
    const bool readFails = cutOff || m_log.oneIn(20);
    m_log.after(m_log.between(1ms, 400ms), [&log = m_log, inbox = m_inbox, from, readFails] {
        inbox->page = readFails ? Result<LogPage>(failure(ErrorCode::Unavailable, "cannot connect")) : log.read(from);
    });
}

bool RandomLogClient::step()
{
    if (paused()) {
        return false;
    }
    const Offset before = m_fold.applied();
    for (auto &[batch, answer] : std::exchange(m_inbox->answers, {})) {
        m_queue.handleAnswer(batch, answer, m_log.clock.now());
    }
    if (std::optional<Result<LogPage>> page = std::exchange(m_inbox->page, std::nullopt)) {
        m_reading = false;
        m_follower.answered(*page);
        for (const StoredRecord &stored : *page ? (*page)->records : std::vector<StoredRecord>()) {
            updateCheckpointState(stored);
        }
    }
    if (!m_reading) {
        startRead();
    }
    appendCheckpointIfDue();
    for (AppendRequest &dueRequest : m_queue.takeRequests(m_log.clock.now())) {
        send(std::move(dueRequest));
    }
    for (AppendCompletion &completion : m_queue.takeCompletions()) {
        completion.done(std::move(completion.outcome));
    }
    return m_fold.applied() != before;
}

void RandomLogClient::updateCheckpointState(const StoredRecord &stored)
{
    if (stored.record.kind != CheckpointKind) {
        m_bytesSinceCheckpoint += stored.record.payload.size();
        return;
    }
    const Result<CheckpointPart> part = parseCheckpointPart(stored.record.payload);
    if (part && m_checkpointParts.add(*part)) {
        m_timer.seen(m_log.clock.now());
        m_bytesSinceCheckpoint = 0;
    }
}

void RandomLogClient::appendCheckpointIfDue()
{
    const TimePoint now = m_log.clock.now();
    const StreamGrowth growth{.applied = m_fold.applied(), .bytesSince = m_bytesSinceCheckpoint};
    if (!caughtUp() || !m_timer.due(growth, now)) {
        return;
    }
    const StreamCheckpoint checkpoint{m_fold.applied(), m_fold.checkpoint()};
    const std::size_t partBytes = checkpoint.state.size() / PartsPerCheckpoint + 1;
    for (std::string &payload : checkpointPayloads(checkpoint, partBytes)) {
        append(m_log.stream, std::string(CheckpointKind), std::move(payload), [](const Result<Offset> &) {});
    }
    m_timer.appended(now);
}

void RandomLogClient::injectFaults(const RandomFaults &faults)
{
    if (m_log.oneIn(faults.pause)) {
        pausedUntil = m_log.clock.now() + m_log.between(1s, faults.longestPause);
    }
    if (m_log.oneIn(cutOff ? faults.heal : faults.cut)) {
        cutOff = !cutOff;
    }
}

bool RandomLogClient::paused() const
{
    return m_log.clock.now() < pausedUntil;
}

bool RandomLogClient::diverged() const
{
    return m_fold.checkpoint() != m_log.stateAt(m_fold.applied());
}

bool RandomLogClient::caughtUp() const
{
    return m_follower.caughtUp();
}

} // namespace bergamot
