#include "bergamot/logstore/fenced_writer.h"

namespace bergamot::logstore
{

struct FencedWriter::State : std::enable_shared_from_this<FencedWriter::State>
{
    struct PendingRecord
    {
        std::string record;
        Done done;
    };

    State(boost::asio::io_context &loop, LogStore &logStore, FencedWriterOptions writerOptions)
        : store(logStore)
        , options(std::move(writerOptions))
        , timer(loop)
    { }

    void sendNextCall()
    {
        if (!active || inFlight || retryScheduled || queue.empty()) {
            return;
        }
        if (currentCall.empty()) {
            std::size_t bytes = 0;
            while (!queue.empty() && currentCall.size() < options.maxCallRecords
                   && (currentCall.empty() || bytes + queue.front().record.size() <= options.maxCallBytes)) {
                bytes += queue.front().record.size();
                currentCall.push_back(std::move(queue.front()));
                queue.pop_front();
            }
        }
        send();
    }

    void send()
    {
        inFlight = true;
        sentAt = BootClock::now();
        Append append{.topic = options.topic,
                      .partition = options.partition,
                      .producer = Producer{.name = options.producer, .epoch = epoch, .sequence = sequence},
                      .timeout = options.timeout};
        for (const PendingRecord &entry : currentCall) {
            append.records.push_back(entry.record);
        }
        store.append(std::move(append),
                     [weak = weak_from_this(), generation = generation](const AppendOutcome &outcome) {
                         const std::shared_ptr<State> state = weak.lock();
                         if (state != nullptr && state->generation == generation) {
                             state->handleOutcome(outcome);
                         }
                     });
    }

    void handleOutcome(const AppendOutcome &outcome)
    {
        inFlight = false;
        const bool appendedEarlier =
            outcome.status == AppendStatus::OutOfSequence && outcomeUnknown && outcome.expectedSequence == sequence + 1;
        if (outcome.status == AppendStatus::Appended || appendedEarlier) {
            ++sequence;
            outcomeUnknown = false;
            lastWrittenAt = BootClock::now();
            acknowledgedCallSentAt = sentAt;
            completeCall(true);
            sendNextCall();
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
            completeCall(false);
            sendNextCall();
            return;
        case AppendStatus::Unknown:
            outcomeUnknown = true;
            break;
        default:
            break;
        }
        retryScheduled = true;
        timer.expires_after(options.retryPause);
        timer.async_wait([weak = weak_from_this(), generation = generation](const boost::system::error_code &error) {
            const std::shared_ptr<State> state = weak.lock();
            if (!error && state != nullptr && state->generation == generation) {
                state->retryScheduled = false;
                state->send();
            }
        });
    }

    void completeCall(bool written)
    {
        const std::vector<PendingRecord> completed = std::exchange(currentCall, {});
        for (const PendingRecord &entry : completed) {
            if (entry.done) {
                entry.done(written);
            }
        }
    }

    void end()
    {
        active = false;
        inFlight = false;
        retryScheduled = false;
        outcomeUnknown = false;
        ++generation;
        timer.cancel();
        const std::deque<PendingRecord> dropped = std::exchange(queue, {});
        completeCall(false);
        for (const PendingRecord &entry : dropped) {
            if (entry.done) {
                entry.done(false);
            }
        }
    }

    LogStore &store;
    FencedWriterOptions options;
    boost::asio::steady_timer timer;
    std::deque<PendingRecord> queue;
    std::vector<PendingRecord> currentCall; // records of the call whose outcome is still unknown
    std::function<void()> fencedHandler;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    std::uint64_t generation = 0; // invalidates callbacks of an epoch that has ended
    bool active = false;
    bool inFlight = false;
    bool retryScheduled = false; // the timer for repeating the call is running
    bool outcomeUnknown = false; // an earlier call with this sequence number got no response
    TimePoint sentAt{}; // of the call in flight
    TimePoint acknowledgedCallSentAt{};
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
    m_state->queue.push_back({std::move(record), std::move(done)});
    m_state->sendNextCall();
}

void FencedWriter::onFenced(std::function<void()> handler)
{
    m_state->fencedHandler = std::move(handler);
}

TimePoint FencedWriter::lastWrittenAt() const
{
    return m_state->lastWrittenAt;
}

TimePoint FencedWriter::acknowledgedCallSentAt() const
{
    return m_state->acknowledgedCallSentAt;
}

std::size_t FencedWriter::pendingRecords() const
{
    return m_state->queue.size() + m_state->currentCall.size();
}

} // namespace bergamot::logstore
