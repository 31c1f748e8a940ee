#include "bergamot/logstore/topic_tail.h"

namespace bergamot::logstore
{

struct TopicTail::State : std::enable_shared_from_this<TopicTail::State>
{
    State(boost::asio::io_context &loop,
          LogStore &logStore,
          TopicTailOptions tailOptions,
          TopicTailEvents tailEvents,
          std::uint64_t seed)
        : store(logStore)
        , options(std::move(tailOptions))
        , events(std::move(tailEvents))
        , schedule(options.reads, seed)
        , timer(loop)
    { }

    /// Sends the reads that are due and waits for the next one.
    void proceed()
    {
        const TimePoint now = BootClock::now();
        while (const std::optional<PlannedRead> read = schedule.next(now)) {
            send(*read);
        }
        reportOutage(now);
        const TimePoint wakeAt = schedule.wakeAt();
        if (wakeAt == TimePoint::max()) {
            timer.cancel();
            return;
        }
        timer.expires_after(wakeAt - now);
        timer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
            const std::shared_ptr<State> state = weak.lock();
            if (!error && state != nullptr) {
                state->proceed();
            }
        });
    }

    void send(const PlannedRead &read)
    {
        store.read({.topic = options.topic,
                    .partition = options.partition,
                    .from = read.from,
                    .maxKilobytes = read.kilobytes,
                    .wait = read.wait,
                    .timeout = options.reads.responseTimeout,
                    .newConnection = read.hedge},
                   [weak = weak_from_this(), id = read.id, from = read.from](const ReadOutcome &outcome) {
                       if (const std::shared_ptr<State> state = weak.lock()) {
                           state->handleRead(id, from, outcome);
                       }
                   });
    }

    void handleRead(std::uint64_t id, std::uint64_t from, const ReadOutcome &outcome)
    {
        const TimePoint now = BootClock::now();
        firstRetained = std::max(firstRetained, outcome.first);
        switch (outcome.status) {
        case ReadStatus::Failed:
            lastError = outcome.detail;
            schedule.onFailed(id, now);
            break;
        case ReadStatus::Trimmed: {
            const bool skipped = schedule.onTrimmed(id, outcome.first, now);
            reportRecovery(now);
            if (skipped && events.onGap) {
                events.onGap(schedule.nextOffset());
            }
            break;
        }
        case ReadStatus::Done: {
            // At that time the new records of this response were not in the partition.
            recordsAppendedAfter = schedule.confirmedAt();
            const NewRecords added = schedule.onRecords(id, from, outcome.records.size(), outcome.end, now);
            reportRecovery(now);
            deliver(from, added, outcome.records);
            break;
        }
        }
        proceed();
    }

    void deliver(std::uint64_t from, const NewRecords &added, const std::vector<std::string> &records)
    {
        for (std::size_t index = added.first; index < added.first + added.count; ++index) {
            if (events.onRecord) {
                events.onRecord(from + index, records[index]);
            }
        }
        if (events.onReadEnd) {
            events.onReadEnd();
        }
    }

    void reportOutage(TimePoint now)
    {
        if (unavailable || !schedule.unavailable(now)) {
            return;
        }
        unavailable = true;
        unavailableSince = schedule.lastResponseAt();
        if (events.onUnavailable) {
            const FollowProgress &progress = schedule.progress();
            events.onUnavailable({.nextOffset = progress.nextOffset,
                                  .records = progress.records,
                                  .tries = progress.failuresInRow,
                                  .lastError = lastError});
        }
    }

    void reportRecovery(TimePoint now)
    {
        lastError.clear();
        if (std::exchange(unavailable, false) && events.onRecovered) {
            events.onRecovered(now - unavailableSince);
        }
    }

    LogStore &store;
    TopicTailOptions options;
    TopicTailEvents events;
    ReadSchedule schedule;
    boost::asio::steady_timer timer;
    std::string lastError;
    TimePoint unavailableSince{};
    TimePoint recordsAppendedAfter{};
    std::uint64_t firstRetained = 0;
    bool unavailable = false;
};

TopicTail::TopicTail(boost::asio::io_context &loop,
                     LogStore &store,
                     TopicTailOptions options,
                     TopicTailEvents events,
                     std::uint64_t seed)
    : m_state(std::make_shared<State>(loop, store, std::move(options), std::move(events), seed))
{ }

TopicTail::~TopicTail() = default;

void TopicTail::start(std::uint64_t from)
{
    m_state->schedule.start(from, BootClock::now());
    m_state->proceed();
}

void TopicTail::setReadPause(Duration readPause)
{
    m_state->schedule.setReadPause(readPause);
}

bool TopicTail::caughtUp() const
{
    return m_state->schedule.caughtUp();
}

bool TopicTail::unavailable() const
{
    return m_state->unavailable;
}

Duration TopicTail::timeSinceResponse(TimePoint now) const
{
    return now - m_state->schedule.lastResponseAt();
}

TimePoint TopicTail::confirmedAt() const
{
    return m_state->schedule.confirmedAt();
}

TimePoint TopicTail::recordsAppendedAfter() const
{
    return m_state->recordsAppendedAfter;
}

std::uint64_t TopicTail::firstRetained() const
{
    return m_state->firstRetained;
}

std::uint64_t TopicTail::nextOffset() const
{
    return m_state->schedule.nextOffset();
}

const FollowProgress &TopicTail::progress() const
{
    return m_state->schedule.progress();
}

std::optional<Duration> TopicTail::timeToCatchUp(TimePoint now) const
{
    return m_state->schedule.timeToCatchUp(now);
}

} // namespace bergamot::logstore
