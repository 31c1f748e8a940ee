#include "bergamot/logstore/bulk_writer.h"

namespace bergamot::logstore
{

struct BulkWriter::State : std::enable_shared_from_this<BulkWriter::State>
{
    struct Waiting
    {
        std::string record;
        Done done;
    };

    struct Partition
    {
        std::deque<Waiting> waiting;
        std::vector<Waiting> calling;
    };

    State(boost::asio::io_context &ioLoop, LogStore &logStore, BulkWriterOptions writerOptions)
        : loop(ioLoop)
        , store(logStore)
        , options(std::move(writerOptions))
    { }

    void pump(std::uint32_t number)
    {
        Partition &partition = partitions[number];
        if (!partition.calling.empty() || partition.waiting.empty()) {
            return;
        }
        std::size_t bytes = 0;
        while (!partition.waiting.empty()
               && (partition.calling.empty() || bytes + partition.waiting.front().record.size() <= options.callBytes)) {
            bytes += partition.waiting.front().record.size();
            partition.calling.push_back(std::move(partition.waiting.front()));
            partition.waiting.pop_front();
        }
        send(number);
    }

    void send(std::uint32_t number)
    {
        Append append{.topic = options.topic, .partition = number, .timeout = options.timeout};
        for (const Waiting &entry : partitions[number].calling) {
            append.records.push_back(entry.record);
        }
        store.append(std::move(append), [weak = weak_from_this(), number, turn = turn](const AppendOutcome &outcome) {
            const std::shared_ptr<State> state = weak.lock();
            if (state != nullptr && state->turn == turn) {
                state->answered(number, outcome);
            }
        });
    }

    void answered(std::uint32_t number, const AppendOutcome &outcome)
    {
        if (outcome.status == AppendStatus::Appended || outcome.status == AppendStatus::TooLarge) {
            const bool written = outcome.status == AppendStatus::Appended;
            const std::vector<Waiting> settled = std::exchange(partitions[number].calling, {});
            std::uint64_t offset = outcome.offset;
            for (const Waiting &entry : settled) {
                entry.done(written ? std::optional(offset++) : std::nullopt);
            }
            pump(number);
            return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(loop, options.retryPause);
        timer->async_wait(
            [weak = weak_from_this(), number, turn = turn, timer](const boost::system::error_code &error) {
                const std::shared_ptr<State> state = weak.lock();
                if (!error && state != nullptr && state->turn == turn) {
                    state->send(number);
                }
            });
    }

    boost::asio::io_context &loop;
    LogStore &store;
    BulkWriterOptions options;
    std::map<std::uint32_t, Partition> partitions;
    std::uint64_t turn = 0;
};

BulkWriter::BulkWriter(boost::asio::io_context &loop, LogStore &store, BulkWriterOptions options)
    : m_state(std::make_shared<State>(loop, store, std::move(options)))
{ }

BulkWriter::~BulkWriter() = default;

void BulkWriter::write(std::uint32_t partition, std::string record, Done done)
{
    m_state->partitions[partition].waiting.push_back({std::move(record), std::move(done)});
    m_state->pump(partition);
}

void BulkWriter::clear()
{
    ++m_state->turn;
    const std::map<std::uint32_t, State::Partition> dropped = std::exchange(m_state->partitions, {});
    for (const auto &[number, partition] : dropped) {
        for (const State::Waiting &entry : partition.calling) {
            entry.done(std::nullopt);
        }
        for (const State::Waiting &entry : partition.waiting) {
            entry.done(std::nullopt);
        }
    }
}

std::size_t BulkWriter::waiting() const
{
    std::size_t count = 0;
    for (const auto &[number, partition] : m_state->partitions) {
        count += partition.waiting.size() + partition.calling.size();
    }
    return count;
}

} // namespace bergamot::logstore
