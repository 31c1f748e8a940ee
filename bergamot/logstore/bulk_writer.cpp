#include "bergamot/logstore/bulk_writer.h"

namespace bergamot::logstore
{

struct BulkWriter::State : std::enable_shared_from_this<BulkWriter::State>
{
    struct PendingRecord
    {
        std::string record;
        Done done;
    };

    struct Partition
    {
        std::deque<PendingRecord> queue;
        std::vector<PendingRecord> currentCall; // records of the call whose outcome is still unknown
    };

    State(boost::asio::io_context &ioLoop, LogStore &logStore, BulkWriterOptions writerOptions)
        : loop(ioLoop)
        , store(logStore)
        , options(std::move(writerOptions))
    { }

    void sendNextCall(std::uint32_t partitionNumber)
    {
        Partition &partition = partitions[partitionNumber];
        if (!partition.currentCall.empty() || partition.queue.empty()) {
            return;
        }
        std::size_t bytes = 0;
        while (!partition.queue.empty()
               && (partition.currentCall.empty()
                   || bytes + partition.queue.front().record.size() <= options.maxCallBytes)) {
            bytes += partition.queue.front().record.size();
            partition.currentCall.push_back(std::move(partition.queue.front()));
            partition.queue.pop_front();
        }
        send(partitionNumber);
    }

    void send(std::uint32_t partitionNumber)
    {
        Append append{.topic = options.topic, .partition = partitionNumber, .timeout = options.timeout};
        for (const PendingRecord &entry : partitions[partitionNumber].currentCall) {
            append.records.push_back(entry.record);
        }
        store.append(std::move(append),
                     [weak = weak_from_this(), partitionNumber, generation = generation](const AppendOutcome &outcome) {
                         const std::shared_ptr<State> state = weak.lock();
                         if (state != nullptr && state->generation == generation) {
                             state->handleOutcome(partitionNumber, outcome);
                         }
                     });
    }

    void handleOutcome(std::uint32_t partitionNumber, const AppendOutcome &outcome)
    {
        if (outcome.status == AppendStatus::Appended || outcome.status == AppendStatus::TooLarge) {
            const bool written = outcome.status == AppendStatus::Appended;
            const std::vector<PendingRecord> completed = std::exchange(partitions[partitionNumber].currentCall, {});
            std::uint64_t offset = outcome.offset;
            for (const PendingRecord &entry : completed) {
                pendingBytes -= entry.record.size();
                entry.done(written ? std::optional(offset++) : std::nullopt);
            }
            sendNextCall(partitionNumber);
            return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(loop, options.retryPause);
        timer->async_wait([weak = weak_from_this(), partitionNumber, generation = generation, timer](
                              const boost::system::error_code &error) {
            const std::shared_ptr<State> state = weak.lock();
            if (!error && state != nullptr && state->generation == generation) {
                state->send(partitionNumber);
            }
        });
    }

    boost::asio::io_context &loop;
    LogStore &store;
    BulkWriterOptions options;
    std::size_t pendingBytes = 0;
    std::map<std::uint32_t, Partition> partitions;
    std::uint64_t generation = 0; // invalidates callbacks of calls that `clear` has dropped
};

BulkWriter::BulkWriter(boost::asio::io_context &loop, LogStore &store, BulkWriterOptions options)
    : m_state(std::make_shared<State>(loop, store, std::move(options)))
{ }

BulkWriter::~BulkWriter() = default;

void BulkWriter::write(std::uint32_t partition, std::string record, Done done)
{
    m_state->pendingBytes += record.size();
    m_state->partitions[partition].queue.push_back({std::move(record), std::move(done)});
    m_state->sendNextCall(partition);
}

void BulkWriter::clear()
{
    ++m_state->generation;
    m_state->pendingBytes = 0;
    const std::map<std::uint32_t, State::Partition> dropped = std::exchange(m_state->partitions, {});
    for (const auto &[partitionNumber, partition] : dropped) {
        for (const State::PendingRecord &entry : partition.currentCall) {
            entry.done(std::nullopt);
        }
        for (const State::PendingRecord &entry : partition.queue) {
            entry.done(std::nullopt);
        }
    }
}

std::size_t BulkWriter::pendingBytes() const
{
    return m_state->pendingBytes;
}

std::size_t BulkWriter::pendingRecords() const
{
    std::size_t count = 0;
    for (const auto &[partitionNumber, partition] : m_state->partitions) {
        count += partition.queue.size() + partition.currentCall.size();
    }
    return count;
}

} // namespace bergamot::logstore
