// Snapshots of the batch log: loading the newest one at the start, catching up behind it, and writing the next one.

#include "bergamot/node/batch_log.h"

#include "bergamot/node/store_events.h"

namespace bergamot::node
{

namespace
{

constexpr std::string_view SnapshotProducer = "snapshot";

/// Keys sort in the order of the parts.
std::string snapshotPartKey(std::size_t index)
{
    constexpr std::size_t Digits = 4;
    const std::string number = std::to_string(index);
    return "part-" + std::string(Digits - std::min(Digits, number.size()), '0') + number;
}

} // namespace

void BatchLog::loadSnapshot()
{
    m_snapshotReadAt = BootClock::now();
    m_snapshotReader.read([this](const logstore::KeyedContent &content) {
        handleSnapshot(content);
    });
}

void BatchLog::handleSnapshot(const logstore::KeyedContent &content)
{
    std::vector<std::string> parts;
    std::size_t bytes = 0;
    for (const logstore::KeyedRecord &record : content.records) {
        bytes += record.value.size();
        parts.push_back(record.value);
    }
    if (!parts.empty()) {
        Result<batch::LogSnapshot> snapshot = batch::parseSnapshot(parts, BootClock::now());
        if (!snapshot) {
            m_log.write(EventKind::State,
                        "snapshot-unusable",
                        {{"reason", snapshot.error().message}, {"parts", std::to_string(parts.size())}});
        } else if (restore(std::move(*snapshot))) {
            m_snapshotBytes = bytes;
            m_bytesSinceSnapshot = 0;
            return;
        }
    }
    if (!m_following) {
        follow(0, "log");
    } else {
        acceptGap(BootClock::now());
    }
}

bool BatchLog::restore(batch::LogSnapshot snapshot)
{
    const std::uint64_t next = snapshot.header.nextOffset;
    if (m_owned || (m_following && next < m_gapEnd.value_or(0))) {
        return false;
    }
    m_ownership.restore({.epoch = snapshot.header.epoch,
                         .owner = snapshot.header.owner,
                         .recentOrders = std::move(snapshot.header.recentOrders)},
                        BootClock::now());
    m_ownerAddress = std::move(snapshot.header.ownerAddress);
    m_snapshotNextOffset = next;
    m_index.restore(std::move(snapshot.batches));
    m_suspects.restore(snapshot.header.suspects, BootClock::now());
    for (const CrashReport &suspect : snapshot.header.suspects) {
        if (m_crashReportHandler) {
            m_crashReportHandler(suspect);
        }
    }
    for (const quota::LimitReport &limit : snapshot.header.limits) {
        m_limits.reported(limit);
        if (m_limitReportHandler) {
            m_limitReportHandler(limit);
        }
    }
    for (const auto &[window, counts] : snapshot.header.usage) {
        m_reportedUsage.apply({.window = window, .counts = counts});
    }
    m_streamOrigins.restore(snapshot.header.streams, BootClock::now());
    m_instances.restore(snapshot.header.instances, BootClock::now());
    softwareChanged();
    follow(next, "snapshot");
    return true;
}

void BatchLog::follow(std::uint64_t from, std::string_view source)
{
    m_log.write(EventKind::State,
                "catch-up-begin",
                {{"from", std::to_string(from)},
                 {"source", std::string(source)},
                 {"batches", std::to_string(m_index.batches().size())},
                 {"epoch", std::to_string(m_ownership.epoch())},
                 {"last_error", m_snapshotReader.lastError()}});
    m_following = true;
    m_gapEnd.reset();
    m_tail.start(from);
}

void BatchLog::handleReadEnd()
{
    const TimePoint now = BootClock::now();
    if (!m_started && m_tail.caughtUp()) {
        m_started = true;
        m_ownership.logRecovered(now);
        m_log.write(EventKind::State,
                    "catch-up-end",
                    {{"offset", std::to_string(m_tail.nextOffset())},
                     {"records", std::to_string(m_tail.progress().records)},
                     {"bytes", std::to_string(m_bytesSinceSnapshot)},
                     {"snapshot_bytes", std::to_string(m_snapshotBytes)},
                     {"took_ms", milliseconds(now - m_startedAt)}});
    }
    updateOwnership();
    if (m_recordsAppliedHandler) {
        m_recordsAppliedHandler();
    }
    m_confirmation.advance(m_tail.nextOffset(), BootClock::now());
}

void BatchLog::handleGap(std::uint64_t first)
{
    m_log.write(EventKind::State, "batch-log-gap", {{"first", std::to_string(first)}});
    m_gapEnd = first;
    m_gapAt = BootClock::now();
    if (m_owned) {
        // Batches may be missing here that another instance knows.
        m_ownership.onFenced();
        updateOwnership();
    }
    if (!m_snapshotReader.reading()) {
        loadSnapshot();
    }
}

void BatchLog::acceptGap(TimePoint now)
{
    if (!m_gapEnd || now - m_gapAt < m_options.gapAcceptDelay || !m_ownership.shouldClaim(now)) {
        return;
    }
    m_log.write(EventKind::State, "batch-log-gap-accepted", {{"first", std::to_string(*m_gapEnd)}});
    follow(*m_gapEnd, "log behind a gap");
}

void BatchLog::logCatchUpProgress(TimePoint now)
{
    constexpr Duration LogInterval = std::chrono::seconds(1);
    if (m_started || now - std::max(m_startedAt, m_progressLoggedAt) < LogInterval) {
        return;
    }
    m_progressLoggedAt = now;
    m_log.write(EventKind::State,
                "catch-up-progress",
                {{"reading", m_following ? "log" : "snapshot"},
                 {"offset", std::to_string(m_tail.nextOffset())},
                 {"end", std::to_string(m_tail.progress().end)},
                 {"records", std::to_string(m_tail.progress().records)},
                 {"last_error", m_snapshotReader.lastError()},
                 {"elapsed_ms", milliseconds(now - m_startedAt)}});
}

Duration BatchLog::retryAfter(TimePoint now) const
{
    constexpr Duration OtherInstance = std::chrono::milliseconds(300); // another instance may respond at once
    constexpr Duration UnknownProgress = std::chrono::seconds(1);
    constexpr Duration Longest = std::chrono::seconds(5); // the estimate is rough
    if (m_started) {
        return OtherInstance;
    }
    return std::clamp(m_tail.timeToCatchUp(now).value_or(UnknownProgress), OtherInstance, Longest);
}

bool BatchLog::snapshotDue(TimePoint now) const
{
    constexpr std::size_t Weight = 2; // records since the last snapshot, as a multiple of its size
    const bool outweighed = m_bytesSinceSnapshot >= std::max(m_options.minSnapshotBytes, Weight * m_snapshotBytes);
    const bool recordsDeleted = m_tail.firstRetained() > m_snapshotNextOffset; // neither in the log nor in a snapshot
    return m_owned && !m_snapshotPending && m_tail.caughtUp()
        && now - m_snapshotWrittenAt >= m_options.minSnapshotInterval
        && (outweighed || recordsDeleted || m_snapshotFailed);
}

void BatchLog::writeSnapshot(TimePoint now)
{
    constexpr std::size_t PartOverhead = 1024; // bound on the key and the fields around the bytes of a part
    duties::PoolOwnershipState ownership = m_ownership.state(now);
    const std::vector<std::string> parts =
        batch::snapshotParts({.nextOffset = m_tail.nextOffset(),
                              .epoch = ownership.epoch,
                              .owner = std::move(ownership.owner),
                              .ownerAddress = m_ownerAddress,
                              .recentOrders = std::move(ownership.recentOrders),
                              .suspects = m_suspects.suspects(),
                              .limits = m_limits.all(),
                              .streams = m_streamOrigins.state(now),
                              .instances = m_instances.state(now),
                              .usage = m_reportedUsage.all()},
                             m_index.batches(),
                             {.maxPartBytes = m_options.maxRecordBytes - PartOverhead},
                             now);
    std::vector<std::string> records;
    std::size_t bytes = 0;
    for (std::size_t index = 0; index < parts.size(); ++index) {
        bytes += parts[index].size();
        records.push_back(logstore::keyedRecord(snapshotPartKey(index), parts[index]));
    }
    m_snapshotPending = true;
    m_snapshotWrittenAt = now;
    m_bytesSinceSnapshot = 0;
    appendSnapshot(std::move(records), bytes, m_tail.nextOffset());
}

void BatchLog::handleSnapshotAppend(const logstore::AppendOutcome &outcome)
{
    m_snapshotFailed = outcome.status != logstore::AppendStatus::Appended;
    if (outcome.status == logstore::AppendStatus::OutOfSequence) {
        m_snapshotSequence = outcome.expectedSequence;
    } else if (!m_snapshotFailed || outcome.status == logstore::AppendStatus::Unknown) {
        ++m_snapshotSequence; // the store corrects it if the append was not executed
    }
}

void BatchLog::appendSnapshot(std::vector<std::string> records, std::size_t bytes, std::uint64_t nextOffset)
{
    // A snapshot that the store executes late must not replace a newer one: the store refuses its epoch or sequence.
    logstore::Append append{.topic = m_options.snapshotTopic,
                            .producer = logstore::Producer{.name = std::string(SnapshotProducer),
                                                           .epoch = m_ownership.epoch(),
                                                           .sequence = m_snapshotSequence}};
    std::size_t callBytes = 0;
    std::size_t count = 0;
    while (count < records.size() && (count == 0 || callBytes + records[count].size() <= m_options.maxCallBytes)) {
        callBytes += records[count++].size();
    }
    append.records.assign(std::make_move_iterator(records.begin()),
                          std::make_move_iterator(records.begin() + static_cast<std::ptrdiff_t>(count)));
    records.erase(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(count));
    m_store.append(
        std::move(append),
        [this, records = std::move(records), bytes, nextOffset](const logstore::AppendOutcome &outcome) mutable {
            const bool written = outcome.status == logstore::AppendStatus::Appended;
            handleSnapshotAppend(outcome);
            if (written && !records.empty()) {
                appendSnapshot(std::move(records), bytes, nextOffset);
                return;
            }
            m_snapshotPending = false;
            if (written) {
                m_snapshotBytes = bytes;
                m_snapshotNextOffset = std::max(m_snapshotNextOffset, nextOffset);
            }
            m_log.write(EventKind::State,
                        written ? "snapshot-written" : "snapshot-not-written",
                        {{"bytes", std::to_string(bytes)},
                         {"batches", std::to_string(m_index.batches().size())},
                         {"detail", outcome.detail}});
        });
}

} // namespace bergamot::node
