#include "bergamot/membership/log_tail.h"

namespace bergamot
{

namespace
{

constexpr std::size_t RecordsPerRead = 500;
constexpr int CheckpointSpreadDivisor = 4; // the parts of a checkpoint are appended within a quarter of its maximum age

} // namespace

LogTail::LogTail(StreamReplica &replica, LogTailOptions options, Duration checkpointDelay)
    : m_replica(replica)
    , m_options(options)
    , m_checkpointWriter({.spread = options.checkpoints.maxAge / CheckpointSpreadDivisor})
    , m_backoff(options.period)
{
    m_options.checkpoints.maxAge += std::chrono::duration_cast<std::chrono::milliseconds>(checkpointDelay);
    m_follower.emplace(m_replica);
}

const std::string &LogTail::stream() const
{
    return m_replica.stream();
}

std::optional<LogRead> LogTail::nextRead(TimePoint now)
{
    if (m_inFlight && now - m_sentAt >= m_options.readTimeout) {
        readFailed(now);
    }
    if (m_inFlight || now < m_nextRead) {
        return std::nullopt;
    }
    const bool hasRecordsFromPeers = m_replica.applied() != m_appliedAtRead;
    if (hasRecordsFromPeers && m_follower->state() != FollowState::Following) {
        m_follower.emplace(m_replica);
    }
    m_inFlight = true;
    m_sentAt = now;
    return LogRead{m_follower->readFrom(), RecordsPerRead};
}

void LogTail::readSoon()
{
    m_nextRead = TimePoint{};
    m_readAgain = m_inFlight;
}

void LogTail::readFailed(TimePoint now)
{
    m_inFlight = false;
    m_nextRead = now + m_backoff;
    m_backoff = std::min(m_backoff * 2, m_options.maxBackoff);
}

void LogTail::pageRead(const Result<LogPage> &page, TimePoint now)
{
    m_follower->answered(page);
    m_appliedAtRead = m_replica.applied();
    if (!page && page.error().code != ErrorCode::Expired) {
        readFailed(now);
        return;
    }
    m_inFlight = false;
    m_backoff = m_options.period;
    const bool mustWait = m_follower->caughtUp() || m_follower->state() == FollowState::Lost;
    const bool isDue = std::exchange(m_readAgain, false) || !mustWait;
    m_nextRead = isDue ? now : now + m_options.period;
    if (m_follower->caughtUp()) {
        m_lastCaughtUp = now;
    }
}

bool LogTail::isCurrent(TimePoint now) const
{
    return m_lastCaughtUp && now - *m_lastCaughtUp <= m_options.freshness;
}

void LogTail::updateCheckpointTimer(TimePoint now)
{
    if (m_checkpointsSeen == m_replica.checkpointsSeen()) {
        return;
    }
    m_checkpointsSeen = m_replica.checkpointsSeen();
    m_checkpoints->seen(now);
    m_checkpointWriter.drop();
}

std::optional<std::string> LogTail::dueCheckpointPart(TimePoint now)
{
    if (!m_checkpoints) {
        m_checkpoints.emplace(m_options.checkpoints, now);
    }
    updateCheckpointTimer(now);
    if (!isCurrent(now)) {
        return std::nullopt;
    }
    if (!m_checkpointWriter.busy() && m_checkpoints->due(m_replica.growth(), now)) {
        m_checkpointWriter.begin({m_replica.applied(), m_replica.checkpoint()}, now);
    }
    std::optional<std::string> part = m_checkpointWriter.nextPart(now);
    if (part) {
        m_checkpoints->appended(now);
    }
    return part;
}

} // namespace bergamot
