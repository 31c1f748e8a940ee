#include "bergamot/membership/log_tail.h"

namespace bergamot
{

namespace
{

constexpr std::size_t RecordsPerRead = 500;
constexpr Offset BeyondEveryEnd = Offset {1} << 62U;

} // namespace

LogTail::LogTail(StreamReplica &replica, LogTailOptions options, Duration checkpointDelay)
    : m_replica(replica)
    , m_options(options)
    , m_checkpointDelay(checkpointDelay)
    , m_backoff(options.period)
{ }

const std::string &LogTail::stream() const
{
    return m_replica.stream();
}

std::optional<LogRead> LogTail::nextRead(TimePoint now)
{
    if (m_inFlight && now - m_sentAt >= m_options.readTimeout) {
        readFailed({ErrorCode::DeadlineExceeded, "no answer", std::nullopt}, now);
    }
    if (m_inFlight || now < m_nextRead) {
        return std::nullopt;
    }
    m_inFlight = true;
    m_sentAt = now;
    switch (m_mode) {
    case Mode::Locating:
        return LogRead {BeyondEveryEnd, 1};
    case Mode::Scanning:
        return LogRead {m_scanFrom, RecordsPerRead};
    case Mode::Tailing:
        break;
    }
    return LogRead {m_replica.applied() + 1, RecordsPerRead};
}

void LogTail::pageRead(const Result<LogPage> &page, TimePoint now)
{
    m_inFlight = false;
    if (!page) {
        readFailed(page.error(), now);
        return;
    }
    m_lastSuccess = now;
    m_backoff = m_options.period;
    m_nextRead = now + m_options.period;
    switch (m_mode) {
    case Mode::Tailing:
        tailed(*page, now);
        return;
    case Mode::Locating:
        startScan(page->firstRetained, now);
        return;
    case Mode::Scanning:
        scanned(*page, now);
        return;
    }
}

void LogTail::readFailed(const Error &error, TimePoint now)
{
    m_inFlight = false;
    if (error.code == ErrorCode::Expired) {
        m_lastSuccess = now;
        m_mode = Mode::Locating;
        m_nextRead = now;
        return;
    }
    m_nextRead = now + m_backoff;
    m_backoff = std::min(m_backoff * 2, m_options.maxBackoff);
}

void LogTail::tailed(const LogPage &page, TimePoint now)
{
    m_replica.apply(page.records);
    if (page.firstRetained > m_replica.applied() + 1) {
        startScan(page.firstRetained, now);
        return;
    }
    if (m_replica.applied() + 1 == page.end) {
        m_lastCurrent = now;
    } else if (m_replica.applied() + 1 < page.end) {
        m_nextRead = now;
    }
}

void LogTail::startScan(Offset firstRetained, TimePoint now)
{
    if (m_replica.applied() + 1 >= firstRetained) {
        m_mode = Mode::Tailing; // a peer helped meanwhile
        m_nextRead = now;
        return;
    }
    m_mode = Mode::Scanning;
    m_scanFrom = firstRetained;
    m_nextRead = now;
}

void LogTail::scanned(const LogPage &page, TimePoint now)
{
    if (m_replica.applied() + 1 >= page.firstRetained) {
        m_mode = Mode::Tailing;
        m_nextRead = now;
        return;
    }
    for (const StoredRecord &stored : page.records) {
        m_scanFrom = stored.offset + 1;
        if (stored.record.kind != CheckpointKind) {
            continue;
        }
        const Result<Checkpoint> checkpoint = parseCheckpoint(stored.record);
        const bool reachesOn = checkpoint && checkpoint->offset + 1 >= page.firstRetained;
        if (reachesOn && m_replica.restore(*checkpoint)) {
            m_mode = Mode::Tailing;
            m_nextRead = now;
            return;
        }
    }
    if (m_scanFrom < page.end) {
        m_nextRead = now;
    } else {
        m_mode = Mode::Locating; // no checkpoint is retained; a peer may have one
    }
}

bool LogTail::isCurrent(TimePoint now) const
{
    return m_lastCurrent && now - *m_lastCurrent <= m_options.freshness;
}

bool LogTail::isCutOff(TimePoint now) const
{
    return !m_lastSuccess || now - *m_lastSuccess > 2 * m_options.maxBackoff;
}

std::optional<Checkpoint> LogTail::dueCheckpoint(TimePoint now)
{
    if (!m_checkpointSince || m_seenCheckpoint != m_replica.lastCheckpointRecord()) {
        m_seenCheckpoint = m_replica.lastCheckpointRecord();
        m_checkpointSince = now;
        return std::nullopt;
    }
    const bool due = now - *m_checkpointSince >= m_options.checkpointPeriod + m_checkpointDelay;
    if (!due || !isCurrent(now) || m_replica.applied() == 0) {
        return std::nullopt;
    }
    m_checkpointSince = now;
    return m_replica.checkpoint();
}

} // namespace bergamot
