#include "bergamot/logstore/fenced_writer.h"

namespace bergamot::logstore
{

struct FencedWriter::State : std::enable_shared_from_this<FencedWriter::State>
{
    struct Waiting
    {
        std::string record;
        Done done;
    };

    State(boost::asio::io_context &loop, LogStore &logStore, FencedWriterOptions writerOptions)
        : store(logStore)
        , options(std::move(writerOptions))
        , timer(loop)
    { }

    void pump()
    {
        if (!active || inFlight || pausing || waiting.empty()) {
            return;
        }
        if (calling.empty()) {
            std::size_t bytes = 0;
            while (!waiting.empty() && calling.size() < options.callRecords
                   && (calling.empty() || bytes + waiting.front().record.size() <= options.callBytes)) {
                bytes += waiting.front().record.size();
                calling.push_back(std::move(waiting.front()));
                waiting.pop_front();
            }
        }
        send();
    }

    void send()
    {
        inFlight = true;
        Append append{.topic = options.topic,
                      .partition = options.partition,
                      .producer = Producer{.name = options.producer, .epoch = epoch, .sequence = sequence},
                      .timeout = options.timeout};
        for (const Waiting &entry : calling) {
            append.records.push_back(entry.record);
        }
        store.append(std::move(append), [weak = weak_from_this(), turn = turn](const AppendOutcome &outcome) {
            const std::shared_ptr<State> state = weak.lock();
            if (state != nullptr && state->turn == turn) {
                state->answered(outcome);
            }
        });
    }

    void answered(const AppendOutcome &outcome)
    {
        inFlight = false;
        const bool doneBefore =
            outcome.status == AppendStatus::OutOfSequence && unsure && outcome.expectedSequence == sequence + 1;
        if (outcome.status == AppendStatus::Appended || doneBefore) {
            ++sequence;
            unsure = false;
            lastWrittenAt = BootClock::now();
            settle(true);
            pump();
            return;
        }
        switch (outcome.status) {
        case AppendStatus::Fenced:
            end();
            if (fencedHandler) {
                fencedHandler();
            }
            return;
        case AppendStatus::OutOfSequence:
            sequence = outcome.expectedSequence;
            break;
        case AppendStatus::TooLarge:
            settle(false);
            pump();
            return;
        case AppendStatus::Unknown:
            unsure = true;
            break;
        default:
            break;
        }
        pausing = true;
        timer.expires_after(options.retryPause);
        timer.async_wait([weak = weak_from_this(), turn = turn](const boost::system::error_code &error) {
            const std::shared_ptr<State> state = weak.lock();
            if (!error && state != nullptr && state->turn == turn) {
                state->pausing = false;
                state->send();
            }
        });
    }

    void settle(bool written)
    {
        const std::vector<Waiting> settled = std::exchange(calling, {});
        for (const Waiting &entry : settled) {
            if (entry.done) {
                entry.done(written);
            }
        }
    }

    void end()
    {
        active = false;
        inFlight = false;
        pausing = false;
        unsure = false;
        ++turn;
        timer.cancel();
        const std::deque<Waiting> dropped = std::exchange(waiting, {});
        settle(false);
        for (const Waiting &entry : dropped) {
            if (entry.done) {
                entry.done(false);
            }
        }
    }

    LogStore &store;
    FencedWriterOptions options;
    boost::asio::steady_timer timer;
    std::deque<Waiting> waiting;
    std::vector<Waiting> calling; // records of the call whose outcome is not known
    std::function<void()> fencedHandler;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    std::uint64_t turn = 0;
    bool active = false;
    bool inFlight = false;
    bool pausing = false; // before a repeat
    bool unsure = false; // a call of this sequence number got no answer
    TimePoint lastWrittenAt{};
};

FencedWriter::FencedWriter(boost::asio::io_context &loop, LogStore &store, FencedWriterOptions options)
    : m_state(std::make_shared<State>(loop, store, std::move(options)))
{ }

FencedWriter::~FencedWriter() = default;

void FencedWriter::begin(std::uint64_t epoch, std::uint64_t sequence)
{
    m_state->end();
    m_state->epoch = epoch;
    m_state->sequence = sequence;
    m_state->active = true;
    m_state->lastWrittenAt = BootClock::now();
}

void FencedWriter::end()
{
    m_state->end();
}

void FencedWriter::write(std::string record, Done done)
{
    if (!m_state->active) {
        if (done) {
            done(false);
        }
        return;
    }
    m_state->waiting.push_back({std::move(record), std::move(done)});
    m_state->pump();
}

void FencedWriter::onFenced(std::function<void()> handler)
{
    m_state->fencedHandler = std::move(handler);
}

TimePoint FencedWriter::lastWrittenAt() const
{
    return m_state->lastWrittenAt;
}

std::size_t FencedWriter::waiting() const
{
    return m_state->waiting.size() + m_state->calling.size();
}

} // namespace bergamot::logstore
