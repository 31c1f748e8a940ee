#include "bergamot/logstore/read_schedule.h"

namespace bergamot::logstore
{

ReadSchedule::ReadSchedule(ReadScheduleOptions options, std::uint64_t seed)
    : m_options(options)
    , m_backoff(options.backoff, seed)
    , m_kilobytes(options.initialKilobytes)
    , m_hedgeInterval(options.hedgeAfter)
{ }

void ReadSchedule::start(std::uint64_t from, TimePoint now)
{
    m_progress = {.nextOffset = from, .startedAt = now};
    m_inFlight.clear();
    m_firstValidId = m_nextId;
    m_readAt = now;
    m_lastResponseAt = now;
    m_confirmedAt = {};
    m_caughtUp = false;
    m_started = true;
}

void ReadSchedule::setReadPause(Duration readPause)
{
    m_options.readPause = readPause;
}

std::optional<PlannedRead> ReadSchedule::next(TimePoint now)
{
    if (!m_started) {
        return std::nullopt;
    }
    if (m_inFlight.empty()) {
        return now >= m_readAt ? std::optional(send(false, now)) : std::nullopt;
    }
    if (now < m_hedgeAt || m_inFlight.size() >= m_options.maxInFlight) {
        return std::nullopt;
    }
    ++m_progress.failuresInRow;
    return send(true, now);
}

TimePoint ReadSchedule::wakeAt() const
{
    if (!m_started) {
        return TimePoint::max();
    }
    if (m_inFlight.empty()) {
        return m_readAt;
    }
    return m_inFlight.size() >= m_options.maxInFlight ? TimePoint::max() : m_hedgeAt;
}

PlannedRead ReadSchedule::send(bool hedge, TimePoint now)
{
    PlannedRead read{.id = m_nextId++,
                     .from = m_progress.nextOffset,
                     .kilobytes = hedge ? m_options.minKilobytes : m_kilobytes,
                     .wait = m_caughtUp && !hedge ? m_options.wait : Duration::zero(),
                     .hedge = hedge};
    if (hedge) {
        m_hedgeInterval = std::min(2 * m_hedgeInterval, m_options.maxHedgeInterval);
    } else {
        m_hedgeInterval = m_options.hedgeAfter;
    }
    m_hedgeAt = now + read.wait + m_hedgeInterval;
    m_inFlight.push_back({.read = read, .sentAt = now});
    return read;
}

NewRecords
ReadSchedule::onRecords(std::uint64_t id, std::uint64_t from, std::size_t count, std::uint64_t end, TimePoint now)
{
    if (id < m_firstValidId) {
        return {};
    }
    const std::optional<InFlight> answered = take(id);
    recordResponse(now);
    m_progress.end = std::max(m_progress.end, end);
    NewRecords added;
    if (from <= m_progress.nextOffset && from + count > m_progress.nextOffset) {
        added.first = m_progress.nextOffset - from;
        added.count = count - added.first;
        m_progress.nextOffset += added.count;
        m_progress.records += added.count;
    }
    m_caughtUp = m_progress.nextOffset >= m_progress.end;
    if (m_caughtUp && answered) {
        m_confirmedAt = std::max(m_confirmedAt, answered->sentAt);
    }
    if (count == 0 && from == m_progress.nextOffset && !m_caughtUp) {
        raiseSize();
    } else if (answered) {
        adaptSize(*answered, now);
    }
    m_readAt = m_caughtUp && added.count > 0 ? now + m_options.readPause : now;
    return added;
}

bool ReadSchedule::onTrimmed(std::uint64_t id, std::uint64_t first, TimePoint now)
{
    if (id < m_firstValidId) {
        return false;
    }
    take(id);
    recordResponse(now);
    m_readAt = now;
    if (first <= m_progress.nextOffset) {
        return false;
    }
    m_progress.nextOffset = first;
    m_caughtUp = false;
    return true;
}

void ReadSchedule::onFailed(std::uint64_t id, TimePoint now)
{
    if (id < m_firstValidId) {
        return;
    }
    std::erase_if(m_inFlight, [id](const InFlight &other) {
        return other.read.id == id;
    });
    ++m_progress.failuresInRow;
    if (m_inFlight.empty()) {
        m_readAt = now + m_backoff.nextDelay();
    }
}

std::uint64_t ReadSchedule::nextOffset() const
{
    return m_progress.nextOffset;
}

bool ReadSchedule::caughtUp() const
{
    return m_caughtUp;
}

bool ReadSchedule::unavailable(TimePoint now) const
{
    return m_progress.failuresInRow > 0 && now - m_lastResponseAt > m_options.unavailableAfter;
}

TimePoint ReadSchedule::lastResponseAt() const
{
    return m_lastResponseAt;
}

TimePoint ReadSchedule::confirmedAt() const
{
    return m_confirmedAt;
}

const FollowProgress &ReadSchedule::progress() const
{
    return m_progress;
}

std::optional<Duration> ReadSchedule::timeToCatchUp(TimePoint now) const
{
    if (m_caughtUp) {
        return Duration::zero();
    }
    if (m_progress.records == 0 || m_progress.end <= m_progress.nextOffset) {
        return std::nullopt;
    }
    const double perRecord =
        std::chrono::duration<double>(now - m_progress.startedAt).count() / static_cast<double>(m_progress.records);
    const double remaining = static_cast<double>(m_progress.end - m_progress.nextOffset);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(perRecord * remaining));
}

std::optional<ReadSchedule::InFlight> ReadSchedule::take(std::uint64_t id)
{
    std::optional<InFlight> answered;
    for (const InFlight &other : m_inFlight) {
        if (other.read.id == id) {
            answered = other;
        }
    }
    std::erase_if(m_inFlight, [id](const InFlight &other) {
        return other.read.id <= id;
    });
    return answered;
}

void ReadSchedule::recordResponse(TimePoint now)
{
    m_lastResponseAt = now;
    m_progress.failuresInRow = 0;
    m_backoff.reset();
}

void ReadSchedule::raiseSize()
{
    const std::uint32_t raised = std::min(2 * m_options.minKilobytes, m_options.largestRecordKilobytes);
    m_options.minKilobytes = raised;
    m_options.maxKilobytes = std::max(m_options.maxKilobytes, raised);
    m_kilobytes = std::max(m_kilobytes, raised);
}

void ReadSchedule::adaptSize(const InFlight &answered, TimePoint now)
{
    if (answered.read.wait > Duration::zero() || answered.read.hedge) {
        return; // its duration says little about the store's bandwidth
    }
    const Duration took = now - answered.sentAt;
    if (took > m_options.slowResponse) {
        m_kilobytes = std::max(m_kilobytes / 2, m_options.minKilobytes);
    } else if (took < m_options.fastResponse && !m_caughtUp) {
        m_kilobytes = std::min(m_kilobytes * 2, m_options.maxKilobytes);
    }
}

} // namespace bergamot::logstore
