#pragma once

// This instance's side of the batch log: follows it, folds the index of batches and the ownership of the engine pool,
// claims and renews the ownership, and reads single records again for whoever needs a text.
//
//     BatchLog log(loop, store, {.instance = "node-1"}, eventLog, seed);
//     log.onOwnership([&](bool owns) { ... });
//     log.start();

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "bergamot/base/event_log.h"
#include "bergamot/batch/batch_index.h"
#include "bergamot/duties/pool_ownership.h"
#include "bergamot/logstore/bulk_writer.h"
#include "bergamot/logstore/fenced_writer.h"
#include "bergamot/logstore/topic_tail.h"

namespace bergamot::node
{

struct BatchLogOptions
{
    std::string instance;
    std::string topic = "batches";
    std::string payloadTopic = "payloads";
    std::uint32_t payloadPartitions = 12; // of the store's topics
    std::size_t recordBytes = 256 * 1024; // limits of the store
    std::size_t callBytes = 2 * 1024 * 1024;
    Duration ownerPace = std::chrono::milliseconds(20); // between two reads of the owner that brought records
    Duration followerPace = std::chrono::milliseconds(200);
    Duration certainFor =
        std::chrono::milliseconds(1000); // an index not confirmed for longer cannot tell "no such batch"
    batch::BatchIndexOptions index;
    duties::PoolOwnershipOptions ownership;
};

/// A record that was read again.
struct LogRecord
{
    std::uint64_t offset = 0;
    std::string bytes;
};

/// Not thread-safe.
class BatchLog
{
public:
    using Fetched = std::function<void(bool complete, std::vector<LogRecord> records)>;

    BatchLog(boost::asio::io_context &loop,
             logstore::LogStore &store,
             BatchLogOptions options,
             EventLog &log,
             std::uint64_t seed);
    ~BatchLog();

    void start();
    /// The log could be read to its end and its newest record is known to be not much older than the answer.
    bool certain(TimePoint now) const;
    bool started() const;
    const batch::BatchIndex &index() const;
    const duties::PoolOwnership &ownership() const;
    logstore::FencedWriter &writer();

    /// Appends what any instance may append; unknown outcomes are the caller's to settle.
    void append(std::vector<std::string> records,
                Duration timeout,
                std::function<void(const logstore::AppendOutcome &)> done);
    void appendPayloads(std::uint32_t partition,
                        std::vector<std::string> records,
                        Duration timeout,
                        std::function<void(const logstore::AppendOutcome &)> done);
    /// The partition of a batch's payloads.
    std::uint32_t payloadPartition(const std::string &batch) const;
    /// Reads the payloads at `offsets`, which rise.
    void fetch(std::uint32_t partition, std::vector<std::uint64_t> offsets, Fetched done);
    /// Writes a payload and then, in the order of the calls that got their payload, the record that names it.
    void writeWithPayload(std::uint32_t partition,
                          std::string payload,
                          std::function<std::string(std::uint64_t offset)> record,
                          std::function<void(bool written)> done);
    /// Records and payloads that are not known to be written.
    std::size_t unwritten() const;

    void onChange(std::function<void(batch::BatchChange, const batch::log::Record &)> handler);
    /// The records of one read have been folded.
    void onProgress(std::function<void()> handler);
    void onOwnership(std::function<void(bool owns)> handler);
    void tick(TimePoint now);
    /// Whether this instance knows enough to own the engines; it claims nothing before.
    void allowClaims(bool allowed);
    /// Gives the ownership up, and claims it no more.
    void retire();
    const BatchLogOptions &options() const;

private:
    void applyRecord(std::uint64_t offset, const std::string &bytes);
    void claim();
    void updateOwnership();
    struct Fetch;
    void fetchNext(std::shared_ptr<Fetch> fetch);

    logstore::LogStore &m_store;
    BatchLogOptions m_options;
    EventLog &m_log;
    batch::BatchIndex m_index;
    duties::PoolOwnership m_ownership;
    logstore::TopicTail m_tail;
    logstore::FencedWriter m_writer;
    logstore::BulkWriter m_payloads;
    std::function<void(batch::BatchChange, const batch::log::Record &)> m_changeHandler;
    std::function<void()> m_progressHandler;
    std::function<void(bool)> m_ownershipHandler;
    bool m_started = false;
    bool m_owned = false;
    bool m_claiming = false;
    bool m_claimsAllowed = false;
    bool m_releasing = false; // gives the ownership up once everything is written
    bool m_renewing = false;
};

} // namespace bergamot::node
