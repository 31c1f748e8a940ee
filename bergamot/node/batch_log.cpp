#include "bergamot/node/batch_log.h"

#include "bergamot/base/hash.h"
#include "bergamot/node/store_events.h"

namespace bergamot::node
{

namespace
{

constexpr std::string_view ProducerName = "pool";
constexpr Duration ClaimTimeout = std::chrono::milliseconds(700);
constexpr Duration PayloadReadTimeout = std::chrono::milliseconds(1000);
constexpr std::uint32_t LargestRecordKilobytes = 512; // read size that holds any record

} // namespace

struct BatchLog::PayloadRead
{
    std::uint32_t partition = 0;
    std::vector<std::uint64_t> offsets;
    std::size_t nextIndex = 0;
    bool recordTooLarge = false; // the next record did not fit into the last read
    std::vector<LogRecord> records;
    ReadCallback callback;
};

BatchLog::BatchLog(boost::asio::io_context &loop,
                   logstore::LogStore &store,
                   BatchLogOptions options,
                   EventLog &log,
                   std::uint64_t seed)
    : m_store(store)
    , m_options(std::move(options))
    , m_log(log)
    , m_index(m_options.index)
    , m_ownership(m_options.instance, m_options.ownership, seed)
    , m_limits({}, seed)
    , m_snapshotReader(loop, store, {.topic = m_options.snapshotTopic}, seed + 1)
    , m_tail(loop,
             store,
             {.topic = m_options.topic, .reads = {.readPause = m_options.followerReadPause}},
             {.onRecord =
                  [this](std::uint64_t offset, const std::string &bytes) {
                      applyRecord(offset, bytes);
                  },
              .onReadEnd =
                  [this] {
                      handleReadEnd();
                  },
              .onGap =
                  [this](std::uint64_t first) {
                      handleGap(first);
                  },
              .onUnavailable =
                  [this](const logstore::TailOutage &outage) {
                      writeStoreLost(m_log, "batches", outage);
                  },
              .onRecovered =
                  [this](Duration outage) {
                      writeStoreReturned(m_log, "batches", outage);
                      m_ownership.logRecovered(BootClock::now());
                      m_streamOrigins.logRecovered(outage);
                      m_instances.logRecovered(outage);
                  }},
             seed + 2)
    , m_writer(
          loop,
          store,
          {.topic = m_options.topic, .producer = std::string(ProducerName), .maxCallBytes = m_options.maxCallBytes})
    , m_payloadWriter(loop, store, {.topic = m_options.payloadTopic, .maxCallBytes = m_options.maxCallBytes})
    , m_reportWriter(loop, store, {.topic = m_options.topic, .maxCallBytes = m_options.maxCallBytes})
    , m_confirmation(store, m_options.topic, m_options.confirmation, [this](const std::string &reason) {
        m_log.write(EventKind::State, "log-end-unknown", {{"topic", m_options.topic}, {"reason", reason}});
    })
{
    m_writer.onFenced([this] {
        m_log.write(EventKind::State, "pool-fenced", {{"epoch", std::to_string(m_ownership.epoch())}});
        m_ownership.onFenced();
        updateOwnership();
    });
}

BatchLog::~BatchLog() = default;

void BatchLog::start()
{
    m_startedAt = BootClock::now();
    loadSnapshot();
}

bool BatchLog::started() const
{
    return m_started;
}

void BatchLog::confirmIndex(std::function<void(bool)> done)
{
    m_confirmation.ask(m_tail.nextOffset(), BootClock::now(), [this, done = std::move(done)](bool confirmed) {
        done(confirmed && !m_gapEnd);
    });
}

bool BatchLog::mayConfirm() const
{
    return m_started && !m_gapEnd && !m_tail.unavailable();
}

std::uint64_t BatchLog::nextOffset() const
{
    return m_tail.nextOffset();
}

Duration BatchLog::timeSinceResponse(TimePoint now) const
{
    return m_tail.timeSinceResponse(now);
}

const batch::BatchIndex &BatchLog::index() const
{
    return m_index;
}

const duties::PoolOwnership &BatchLog::ownership() const
{
    return m_ownership;
}

const std::string &BatchLog::ownerAddress() const
{
    return m_ownerAddress;
}

bool BatchLog::ownershipIsCertain(TimePoint now) const
{
    constexpr Duration Margin = std::chrono::milliseconds(200); // between a decision and what follows from it
    return m_owned && m_ownership.isOwner()
        && now - m_writer.acknowledgedCallSentAt() < m_options.ownership.expiresAfter - Margin;
}

logstore::FencedWriter &BatchLog::writer()
{
    return m_writer;
}

const BatchLogOptions &BatchLog::options() const
{
    return m_options;
}

void BatchLog::append(std::vector<std::string> records,
                      Duration timeout,
                      std::function<void(const logstore::AppendOutcome &)> done)
{
    m_store.append({.topic = m_options.topic, .records = std::move(records), .timeout = timeout}, std::move(done));
}

void BatchLog::appendPayloads(std::uint32_t partition,
                              std::vector<std::string> records,
                              Duration timeout,
                              std::function<void(const logstore::AppendOutcome &)> done)
{
    m_store.append(
        {.topic = m_options.payloadTopic, .partition = partition, .records = std::move(records), .timeout = timeout},
        std::move(done));
}

void BatchLog::reportSuspect(const CrashReport &report)
{
    appendReport(batch::suspectRecord(report), "suspect " + std::to_string(report.fingerprint));
}

void BatchLog::shareOutlooks(const std::vector<cost::SharedOutlook> &outlooks)
{
    if (m_reportWriter.pendingRecords() == 0) {
        appendReport(batch::outlooksRecord(outlooks), "outlooks");
    }
}

void BatchLog::onOutlooks(std::function<void(const std::vector<cost::SharedOutlook> &)> handler)
{
    m_outlooksHandler = std::move(handler);
}

const usage::ReportedUsage &BatchLog::reportedUsage() const
{
    return m_reportedUsage;
}

void BatchLog::reportLimit(const quota::LimitReport &report)
{
    appendReport(batch::limitRecord(report), "limit of " + report.process.endpoint.value());
}

void BatchLog::reportSoftware(const batch::StreamOrigin &origin)
{
    appendReport(batch::softwareRecord(origin), "software " + origin.service + " " + origin.softwareVersion);
}

void BatchLog::reportStreams(const std::vector<batch::StreamReport> &reports, std::function<void()> done)
{
    m_reportWriter.write(0,
                         batch::streamsRecord(reports),
                         [this, count = reports.size(), done = std::move(done)](std::optional<std::uint64_t> offset) {
                             if (!offset) {
                                 m_log.write(EventKind::State,
                                             "not-reported",
                                             {{"about", std::to_string(count) + " groups of streams"},
                                              {"reason", "the store refused it"}});
                             }
                             done();
                         });
}

void BatchLog::announce(const batch::Instance &instance)
{
    appendReport(batch::instanceRecord(instance), "instance " + instance.name);
}

const std::map<std::string, batch::Instance> &BatchLog::instances() const
{
    return m_instances.instances();
}

const batch::StreamOrigins &BatchLog::streamOrigins() const
{
    return m_streamOrigins;
}

void BatchLog::onSoftware(std::function<void()> handler)
{
    m_softwareHandler = std::move(handler);
}

void BatchLog::softwareChanged()
{
    if (m_softwareHandler) {
        m_softwareHandler();
    }
}

void BatchLog::appendReport(std::string record, const std::string &about)
{
    if (m_reportWriter.pendingRecords() >= m_options.maxUnwrittenReports) {
        m_log.write(
            EventKind::State, "not-reported", {{"about", about}, {"reason", "too many reports wait for the store"}});
        return;
    }
    m_reportWriter.write(0, std::move(record), [this, about](std::optional<std::uint64_t> offset) {
        if (!offset) {
            m_log.write(EventKind::State, "not-reported", {{"about", about}, {"reason", "the store refused it"}});
        }
    });
}

std::uint32_t BatchLog::payloadPartition(const std::string &batch) const
{
    return static_cast<std::uint32_t>(stableHash(batch) % std::max(1U, m_options.payloadPartitions));
}

void BatchLog::writeWithPayload(std::uint32_t partition,
                                std::string payload,
                                std::function<std::string(std::uint64_t)> record,
                                std::function<void(bool)> done)
{
    m_payloadWriter.write(
        partition,
        std::move(payload),
        [this, record = std::move(record), done = std::move(done)](std::optional<std::uint64_t> offset) {
            if (offset) {
                m_writer.write(record(*offset), done);
            } else if (done) {
                done(false);
            }
        });
}

std::size_t BatchLog::unwrittenPayloadBytes() const
{
    return m_payloadWriter.pendingBytes();
}

std::size_t BatchLog::unwrittenRecords() const
{
    return m_writer.pendingRecords() + m_payloadWriter.pendingRecords();
}

void BatchLog::readPayloads(std::uint32_t partition, std::vector<std::uint64_t> offsets, ReadCallback done)
{
    auto payloadRead = std::make_shared<PayloadRead>();
    payloadRead->partition = partition;
    payloadRead->offsets = std::move(offsets);
    payloadRead->callback = std::move(done);
    readNextPayloads(std::move(payloadRead));
}

void BatchLog::readNextPayloads(std::shared_ptr<PayloadRead> payloadRead)
{
    if (payloadRead->nextIndex >= payloadRead->offsets.size()) {
        payloadRead->callback(true, std::move(payloadRead->records));
        return;
    }
    const std::uint64_t from = payloadRead->offsets[payloadRead->nextIndex];
    m_store.read({.topic = m_options.payloadTopic,
                  .partition = payloadRead->partition,
                  .from = from,
                  .maxKilobytes = payloadRead->recordTooLarge
                      ? LargestRecordKilobytes
                      : m_payloadReadSize.kilobytes(payloadRead->offsets.back() - from + 1),
                  .timeout = PayloadReadTimeout},
                 [this, payloadRead, from](logstore::ReadOutcome outcome) {
                     const std::size_t before = payloadRead->nextIndex;
                     if (outcome.status == logstore::ReadStatus::Done) {
                         std::size_t bytes = 0;
                         for (const std::string &record : outcome.records) {
                             bytes += record.size();
                         }
                         m_payloadReadSize.observe(outcome.records.size(), bytes);
                         while (payloadRead->nextIndex < payloadRead->offsets.size()
                                && payloadRead->offsets[payloadRead->nextIndex] - from < outcome.records.size()) {
                             const std::uint64_t offset = payloadRead->offsets[payloadRead->nextIndex++];
                             payloadRead->records.push_back({offset, std::move(outcome.records[offset - from])});
                         }
                     }
                     const bool nothingFit = outcome.status == logstore::ReadStatus::Done && outcome.records.empty();
                     if (nothingFit && !std::exchange(payloadRead->recordTooLarge, true)) {
                         readNextPayloads(payloadRead);
                         return;
                     }
                     payloadRead->recordTooLarge = false;
                     if (payloadRead->nextIndex == before) {
                         payloadRead->callback(false, std::move(payloadRead->records));
                         return;
                     }
                     readNextPayloads(payloadRead);
                 });
}

void BatchLog::onBatchChange(std::function<void(batch::BatchChange, const batch::log::Record &)> handler)
{
    m_batchChangeHandler = std::move(handler);
}

void BatchLog::onCrashReport(std::function<void(const CrashReport &)> handler)
{
    m_crashReportHandler = std::move(handler);
}

void BatchLog::onLimitReport(std::function<void(const quota::LimitReport &)> handler)
{
    m_limitReportHandler = std::move(handler);
}

void BatchLog::retainLimits(const std::function<bool(const EndpointId &)> &present)
{
    m_limits.retain(present);
}

void BatchLog::onRecordsApplied(std::function<void()> handler)
{
    m_recordsAppliedHandler = std::move(handler);
}

void BatchLog::onOwnership(std::function<void(bool)> handler)
{
    m_ownershipHandler = std::move(handler);
}

void BatchLog::tick(TimePoint now)
{
    m_index.expire(now);
    m_suspects.expire(now);
    if (!m_tail.unavailable()) {
        m_instances.expire(now);
        if (m_streamOrigins.expire(now)) {
            softwareChanged();
        }
    }
    m_ownership.tick(now, m_tail.confirmedAt());
    m_confirmation.advance(m_tail.nextOffset(), now);
    logCatchUpProgress(now);
    if (m_gapEnd && !m_snapshotReader.reading() && now - m_snapshotReadAt >= m_options.gapReloadInterval) {
        loadSnapshot();
    }
    if (snapshotDue(now)) {
        writeSnapshot(now);
    }
    if (mayClaim() && !m_claimPending && m_ownership.shouldClaim(now)) {
        claim();
    }
    if (mayClaim() && m_probeHandler && !m_ownerAddress.empty() && m_ownership.shouldProbeOwner(now)) {
        m_ownership.onOwnerProbed(now);
        m_probeHandler(m_ownership.owner(), m_ownerAddress);
    }
    if (m_owned && m_releasePending && m_payloadWriter.pendingRecords() == 0) {
        // The saved progress precedes this record, so the next owner finds it in the log.
        m_releasePending = false;
        m_writer.write(batch::releaseRecord(m_ownership.epoch()), nullptr);
    }
    if (m_owned && !m_renewalPending && m_ownership.shouldRenew(m_writer.lastWrittenAt(), now)
        && m_writer.pendingRecords() == 0) {
        m_renewalPending = true;
        m_writer.write(batch::renewalRecord(m_ownership.epoch()), [this](bool) {
            m_renewalPending = false;
        });
    }
}

bool BatchLog::mayClaim() const
{
    return m_claimsAllowed && m_started && !m_gapEnd && m_tail.caughtUp() && !m_tail.unavailable();
}

void BatchLog::setPeerAddress(std::string address)
{
    m_peerAddress = std::move(address);
}

const std::string &BatchLog::peerAddress() const
{
    return m_peerAddress;
}

void BatchLog::onProbeOwner(std::function<void(const std::string &, const std::string &)> handler)
{
    m_probeHandler = std::move(handler);
}

void BatchLog::ownerGone(const std::string &instance)
{
    m_log.write(EventKind::State,
                "pool-owner-gone",
                {{"instance", instance}, {"address", m_ownerAddress}, {"epoch", std::to_string(m_ownership.epoch())}});
    m_ownership.onOwnerGone(instance, BootClock::now());
}

void BatchLog::allowClaims(bool allowed)
{
    m_claimsAllowed = allowed;
}

void BatchLog::yieldOwnership()
{
    m_releasePending = m_owned;
}

void BatchLog::stopClaiming()
{
    m_ownership.stopClaiming();
    m_releasePending = m_owned;
}

void BatchLog::applyRecord(std::uint64_t offset, const std::string &bytes)
{
    const batch::log::Record *record = batch::parseRecord(bytes);
    if (record == nullptr) {
        m_log.write(EventKind::State, "batch-record-unreadable", {{"offset", std::to_string(offset)}});
        return;
    }
    m_bytesSinceSnapshot += bytes.size();
    const TimePoint now = BootClock::now();
    switch (record->payload_type()) {
    case batch::log::Payload::Claim: {
        const batch::log::Claim &claimed = *record->payload_as_Claim();
        m_ownership.applyClaim(batch::stringOrEmpty(claimed.instance()), claimed.epoch(), now);
        m_ownerAddress = batch::stringOrEmpty(claimed.address());
        m_log.write(EventKind::State,
                    "pool-claimed",
                    {{"instance", batch::stringOrEmpty(claimed.instance())},
                     {"epoch", std::to_string(claimed.epoch())},
                     {"offset", std::to_string(offset)}});
        break;
    }
    case batch::log::Payload::Renewal:
        m_ownership.applyRenewal(record->payload_as_Renewal()->epoch(), now);
        break;
    case batch::log::Payload::Release:
        m_ownership.applyRelease(record->payload_as_Release()->epoch(), now);
        break;
    case batch::log::Payload::LoadIntent: {
        const batch::log::LoadIntent &intent = *record->payload_as_LoadIntent();
        m_ownership.applyLoadIntent(intent.epoch(), batch::stringOrEmpty(intent.engine()), now);
        break;
    }
    case batch::log::Payload::ResultListed:
    case batch::log::Payload::ProgressSaved:
        m_ownership.applyRenewal(m_ownership.epoch(), now);
        break;
    case batch::log::Payload::SuspectReported: {
        const CrashReport report = batch::toCrashReport(*record->payload_as_SuspectReported());
        m_suspects.apply(report, now);
        if (m_crashReportHandler) {
            m_crashReportHandler(report);
        }
        break;
    }
    case batch::log::Payload::LimitReported: {
        const quota::LimitReport report = batch::toLimitReport(*record->payload_as_LimitReported());
        m_limits.reported(report);
        if (m_limitReportHandler) {
            m_limitReportHandler(report);
        }
        break;
    }
    case batch::log::Payload::UsageReported:
        m_reportedUsage.apply(batch::toUsageReport(*record->payload_as_UsageReported()));
        break;
    case batch::log::Payload::OutlooksShared:
        if (m_outlooksHandler) {
            m_outlooksHandler(batch::toOutlooks(*record->payload_as_OutlooksShared()));
        }
        break;
    case batch::log::Payload::SoftwareVersionSeen: {
        const batch::StreamOrigin seen = batch::toStreamOrigin(*record->payload_as_SoftwareVersionSeen());
        if (m_streamOrigins.applySoftware(seen, now)) {
            m_log.write(
                EventKind::State,
                "software-seen",
                {{"service", seen.service}, {"software", seen.softwareVersion}, {"offset", std::to_string(offset)}});
            softwareChanged();
        }
        break;
    }
    case batch::log::Payload::InstanceAnnounced:
        m_instances.apply(batch::toInstance(*record->payload_as_InstanceAnnounced()), now);
        break;
    case batch::log::Payload::StreamsBegan: {
        const batch::log::StreamsBegan &began = *record->payload_as_StreamsBegan();
        if (began.groups() != nullptr) {
            for (const batch::log::BegunStreams *group : *began.groups()) {
                m_streamOrigins.applyStreams(batch::toStreamReport(*group), now);
            }
        }
        break;
    }
    default:
        break;
    }
    if (m_gapEnd) {
        return; // without the deleted records, results would get other positions; these records are read again
    }
    const batch::BatchChange change = m_index.apply(*record, now);
    if (change != batch::BatchChange::Nothing && m_batchChangeHandler) {
        m_batchChangeHandler(change, *record);
    }
}

void BatchLog::claim()
{
    m_claimPending = true;
    const std::uint64_t epoch = m_ownership.nextEpoch();
    m_store.append({.topic = m_options.topic,
                    .records = {batch::claimRecord(m_options.instance, epoch, m_peerAddress)},
                    .expectedEnd = m_tail.nextOffset(),
                    .producer = logstore::Producer{.name = std::string(ProducerName), .epoch = epoch, .sequence = 0},
                    .timeout = ClaimTimeout},
                   [this](const logstore::AppendOutcome &outcome) {
                       // The outcome is only logged: the claim takes effect when it is read from the log.
                       m_claimPending = false;
                       if (outcome.status == logstore::AppendStatus::Fenced) {
                           m_ownership.onClaimFenced();
                       }
                       m_log.write(
                           EventKind::State,
                           "pool-claim",
                           {{"status", std::to_string(static_cast<int>(outcome.status))}, {"detail", outcome.detail}});
                   });
}

void BatchLog::setResultAwaited(bool awaited)
{
    if (std::exchange(m_resultAwaited, awaited) != awaited) {
        updateReadPause();
    }
}

void BatchLog::updateReadPause()
{
    if (m_owned) {
        m_tail.setReadPause(m_options.ownerReadPause);
    } else {
        m_tail.setReadPause(m_resultAwaited ? m_options.awaitedReadPause : m_options.followerReadPause);
    }
}

void BatchLog::updateOwnership()
{
    const bool owns = m_ownership.isOwner() && m_tail.caughtUp();
    if (owns == m_owned || (owns && !m_started)) {
        return;
    }
    if (!owns && m_ownership.isOwner()) {
        return; // it is the owner but has unread records: `m_owned` changes once the tail has caught up
    }
    m_owned = owns;
    updateReadPause();
    if (owns) {
        m_writer.begin(m_ownership.epoch(), 1);
        m_snapshotSequence = 1;
    } else {
        m_writer.end();
        m_payloadWriter.clear();
    }
    if (m_ownershipHandler) {
        m_ownershipHandler(owns);
    }
}

} // namespace bergamot::node
