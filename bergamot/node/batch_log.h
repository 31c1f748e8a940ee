#pragma once

// This instance's access to the batch log: follows it, builds the index of batches and the state of the engine pool's
// ownership from its records, claims and renews the ownership, and reads payloads on demand. It starts from the newest
// snapshot, which the owner of the pool writes whenever the records since the last one outweigh it.
//
//     BatchLog log(loop, store, {.instance = "node-1"}, eventLog, seed);
//     log.onOwnership([&](bool owns) { ... });
//     log.start();

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "bergamot/base/event_log.h"
#include "bergamot/batch/batch_index.h"
#include "bergamot/batch/snapshot.h"
#include "bergamot/batch/suspect_index.h"
#include "bergamot/duties/pool_ownership.h"
#include "bergamot/logstore/bulk_writer.h"
#include "bergamot/logstore/end_confirmation.h"
#include "bergamot/logstore/fenced_writer.h"
#include "bergamot/logstore/keyed_reader.h"
#include "bergamot/logstore/span_read_size.h"
#include "bergamot/logstore/topic_tail.h"

namespace bergamot::node
{

struct BatchLogOptions
{
    std::string instance;
    std::string topic = "batches";
    std::string payloadTopic = "payloads";
    std::string snapshotTopic = "keyed.batch-index";
    std::uint32_t payloadPartitions = 12; // partitions of the payload topic
    std::size_t maxRecordBytes = 256 * 1024; // limit of the store for a record
    std::size_t maxCallBytes = 2 * 1024 * 1024; // limit of the store for the records of one call
    Duration ownerReadPause = std::chrono::milliseconds(20); // owner's delay after a read that returned records
    Duration followerReadPause = std::chrono::milliseconds(200); // the same for other instances
    Duration awaitedReadPause = std::chrono::milliseconds(50); // the same while a caller waits for a result here
    std::size_t maxUnwrittenReports = 64; // reports that wait for the store; further ones are dropped
    std::size_t minSnapshotBytes = 64 * 1024; // records that are always read instead of a new snapshot
    Duration minSnapshotInterval = std::chrono::seconds(1);
    Duration gapReloadInterval = std::chrono::seconds(1); // between reads of the snapshot while records are missing
    Duration gapAcceptDelay = std::chrono::seconds(5); // after which an instance without an owner goes on behind a gap
    logstore::ReadBarrierOptions confirmation;
    batch::BatchIndexOptions index;
    duties::PoolOwnershipOptions ownership;
};

/// A payload read from the log.
struct LogRecord
{
    std::uint64_t offset = 0;
    std::string bytes;
};

/// Follows the log from the newest snapshot, or from its first record if there is none. Not thread-safe.
class BatchLog
{
public:
    /// `complete` is false if a read failed; `records` then holds the payloads before the failure.
    using ReadCallback = std::function<void(bool complete, std::vector<LogRecord> records)>;

    BatchLog(boost::asio::io_context &loop,
             logstore::LogStore &store,
             BatchLogOptions options,
             EventLog &log,
             std::uint64_t seed);
    ~BatchLog();

    void start();
    /// Whether the log has been read to its end once.
    bool started() const;
    /// Calls `done` with true once the index contains all records that were in the log at the time of this call; with
    /// false if that is not known in time. Never calls `done` from within.
    void confirmIndex(std::function<void(bool confirmed)> done);
    /// Whether `confirmIndex` may succeed: the log has been read to its end without a gap, and the store responds.
    bool mayConfirm() const;
    /// Offset of the next record to apply to the index.
    std::uint64_t nextOffset() const;
    /// Time since the last response of the store to a read of the log.
    Duration timeSinceResponse(TimePoint now) const;
    /// When a caller whose batch is unknown here should return: after the catch-up, as far as its progress tells.
    Duration retryAfter(TimePoint now) const;
    const batch::BatchIndex &index() const;
    const duties::PoolOwnership &ownership() const;
    /// Address at which the owner's process answers other instances; empty if it is not known.
    const std::string &ownerAddress() const;
    /// Whether this instance owns the pool and no other instance can have succeeded it by now.
    bool ownershipIsCertain(TimePoint now) const;
    logstore::FencedWriter &writer();

    /// Appends records that need no ownership. The caller resolves unknown outcomes.
    void append(std::vector<std::string> records,
                Duration timeout,
                std::function<void(const logstore::AppendOutcome &)> done);
    /// Appends payloads to a partition of the payload topic. The caller resolves unknown outcomes.
    void appendPayloads(std::uint32_t partition,
                        std::vector<std::string> records,
                        Duration timeout,
                        std::function<void(const logstore::AppendOutcome &)> done);
    /// Reports a suspect to all instances; once the store is back, if it is away. Beyond `maxUnwrittenReports` reports
    /// are dropped.
    void reportSuspect(const CrashReport &report);
    /// Reports a limit that an endpoint has named to all instances; bounded in the same way.
    void reportLimit(const quota::LimitReport &report);
    /// Tells all instances what this one knows of endpoints in need. Dropped while the store has not taken what was
    /// reported before, since it counts for a moment only.
    void shareOutlooks(const std::vector<cost::SharedOutlook> &outlooks);
    /// `handler` receives what the owner tells of endpoints in need.
    void onOutlooks(std::function<void(const std::vector<cost::SharedOutlook> &)> handler);
    /// What the owners of the pool have reported of the callers' usage, or are about to report.
    const usage::ReportedUsage &reportedUsage() const;
    /// Reports a software version of a service to all instances; bounded in the same way.
    void reportSoftware(const batch::StreamOrigin &origin);
    /// Announces this instance to all others; bounded in the same way.
    void announce(const batch::Instance &instance);
    const std::map<std::string, batch::Instance> &instances() const;
    /// Reports where streams began to all instances; `done` runs when the log has the report or the store refused it.
    void reportStreams(const std::vector<batch::StreamReport> &reports, std::function<void()> done);
    const batch::StreamOrigins &streamOrigins() const;
    /// Partition that holds the payloads of a batch.
    std::uint32_t payloadPartition(const std::string &batch) const;
    /// Reads the payloads at `offsets`, which must be ascending.
    void readPayloads(std::uint32_t partition, std::vector<std::uint64_t> offsets, ReadCallback done);
    /// Writes a payload and then the record that refers to it. The records are in the order in which their payloads
    /// were written.
    void writeWithPayload(std::uint32_t partition,
                          std::string payload,
                          std::function<std::string(std::uint64_t offset)> record,
                          std::function<void(bool written)> done);
    /// Number of records and payloads that are not known to be written.
    std::size_t unwrittenRecords() const;
    /// Bytes of payloads that are not known to be written.
    std::size_t unwrittenPayloadBytes() const;

    void onBatchChange(std::function<void(batch::BatchChange, const batch::log::Record &)> handler);
    /// `handler` receives what instances report about requests that crash endpoints, this instance included.
    void onCrashReport(std::function<void(const CrashReport &)> handler);
    /// `handler` receives what instances report about limits that endpoints have named, this instance included.
    void onLimitReport(std::function<void(const quota::LimitReport &)> handler);
    /// `handler` runs when the software versions that `streamOrigins` knows have changed.
    void onSoftware(std::function<void()> handler);
    /// Forgets the limits of endpoints for which `present` returns false.
    void retainLimits(const std::function<bool(const EndpointId &)> &present);
    /// `handler` runs after all records of one read have been applied to the index.
    void onRecordsApplied(std::function<void()> handler);
    void onOwnership(std::function<void(bool owns)> handler);
    /// Address at which other instances probe this one; part of its claims.
    void setPeerAddress(std::string address);
    const std::string &peerAddress() const;
    /// `handler` asks the process `instance` at `address` whether it still runs, and calls `ownerGone` if it does not.
    void onProbeOwner(std::function<void(const std::string &instance, const std::string &address)> handler);
    /// The process of the owner `instance` has ended.
    void ownerGone(const std::string &instance);
    /// Whether a caller waits for a result at this instance: new records are then read sooner.
    void setResultAwaited(bool awaited);
    void tick(TimePoint now);
    /// Allows this instance to claim the ownership; it must have a complete view of the fleet.
    void allowClaims(bool allowed);
    /// Releases the ownership, if this instance has it, once all payloads are written.
    void yieldOwnership();
    /// Releases the ownership once all payloads are written. From now on this instance makes no claims.
    void stopClaiming();
    const BatchLogOptions &options() const;

private:
    void loadSnapshot();
    void handleSnapshot(const logstore::KeyedContent &content);
    /// Continues from the snapshot. Returns false if it does not reach the records that are missing here.
    bool restore(batch::LogSnapshot snapshot);
    void follow(std::uint64_t from, std::string_view source);
    void handleReadEnd();
    void handleGap(std::uint64_t first);
    void logCatchUpProgress(TimePoint now);
    /// Whether this instance sees the end of the log and may succeed the owner.
    bool mayClaim() const;
    /// Goes on behind the deleted records if nobody who may know them owns the pool.
    void acceptGap(TimePoint now);
    bool snapshotDue(TimePoint now) const;
    void writeSnapshot(TimePoint now);
    void handleSnapshotAppend(const logstore::AppendOutcome &outcome);
    void appendSnapshot(std::vector<std::string> records, std::size_t bytes, std::uint64_t nextOffset);
    void applyRecord(std::uint64_t offset, const std::string &bytes);
    /// Appends a report, unless too many wait for the store. `about` names its subject in logs.
    void appendReport(std::string record, const std::string &about);
    void softwareChanged();
    void claim();
    void updateOwnership();
    struct PayloadRead;
    void updateReadPause();
    void readNextPayloads(std::shared_ptr<PayloadRead> payloadRead);

    logstore::LogStore &m_store;
    BatchLogOptions m_options;
    EventLog &m_log;
    batch::BatchIndex m_index;
    duties::PoolOwnership m_ownership;
    batch::SuspectIndex m_suspects;
    quota::NamedLimits m_limits; // as all instances have been told
    batch::StreamOrigins m_streamOrigins;
    batch::InstanceIndex m_instances;
    usage::ReportedUsage m_reportedUsage;
    logstore::KeyedReader m_snapshotReader;
    logstore::TopicTail m_tail;
    logstore::FencedWriter m_writer;
    logstore::BulkWriter m_payloadWriter;
    logstore::BulkWriter m_reportWriter;
    std::function<void(batch::BatchChange, const batch::log::Record &)> m_batchChangeHandler;
    std::function<void(const CrashReport &)> m_crashReportHandler;
    std::function<void(const quota::LimitReport &)> m_limitReportHandler;
    std::function<void(const std::vector<cost::SharedOutlook> &)> m_outlooksHandler;
    std::function<void()> m_softwareHandler;
    std::function<void()> m_recordsAppliedHandler;
    std::function<void(bool)> m_ownershipHandler;
    std::function<void(const std::string &, const std::string &)> m_probeHandler;
    logstore::SpanReadSize m_payloadReadSize;
    logstore::EndConfirmation m_confirmation;
    std::string m_peerAddress; // of this instance; empty: it cannot be probed
    std::string m_ownerAddress; // of the newest claim; empty: not known
    TimePoint m_startedAt{};
    TimePoint m_progressLoggedAt{};
    TimePoint m_snapshotWrittenAt{};
    std::size_t m_snapshotBytes = 0; // size of the newest snapshot that this instance has read or written
    std::size_t m_bytesSinceSnapshot = 0; // bytes of the records applied since then
    std::uint64_t m_snapshotNextOffset = 0; // offset of the first record that it does not contain
    std::optional<std::uint64_t> m_gapEnd; // records before this offset were deleted unread
    TimePoint m_gapAt{};
    TimePoint m_snapshotReadAt{};
    bool m_following = false;
    std::uint64_t m_snapshotSequence = 1; // of the next append to the snapshot's topic in this epoch
    bool m_snapshotPending = false;
    bool m_snapshotFailed = false; // the last snapshot is not known to be written
    bool m_started = false;
    bool m_owned = false;
    bool m_resultAwaited = false;
    bool m_claimPending = false;
    bool m_claimsAllowed = false;
    bool m_releasePending = false; // releases the ownership once all payloads are written
    bool m_renewalPending = false;
};

} // namespace bergamot::node
