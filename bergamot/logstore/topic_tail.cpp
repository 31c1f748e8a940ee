#include "bergamot/logstore/topic_tail.h"

namespace bergamot::logstore
{

struct TopicTail::State : std::enable_shared_from_this<TopicTail::State>
{
    State(boost::asio::io_context &loop, LogStore &logStore, TopicTailOptions tailOptions, TopicTailEvents tailEvents)
        : store(logStore)
        , options(std::move(tailOptions))
        , events(std::move(tailEvents))
        , timer(loop)
    { }

    void readNext()
    {
        store.read({.topic = options.topic,
                    .partition = options.partition,
                    .from = nextOffset,
                    .maxKilobytes = options.maxKilobytes,
                    .wait = caughtUp ? options.wait : Duration::zero()},
                   [weak = weak_from_this()](const ReadOutcome &outcome) {
                       if (const std::shared_ptr<State> state = weak.lock()) {
                           state->handleRead(outcome);
                       }
                   });
    }

    void readAfter(Duration pause)
    {
        timer.expires_after(pause);
        timer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
            const std::shared_ptr<State> state = weak.lock();
            if (!error && state != nullptr) {
                state->readNext();
            }
        });
    }

    void handleRead(const ReadOutcome &outcome)
    {
        const TimePoint now = BootClock::now();
        if (outcome.status == ReadStatus::Failed) {
            if (!unavailable && now - lastResponseAt > options.unavailableAfter) {
                unavailable = true;
                notify(events.onUnavailable);
            }
            readAfter(options.retryPause);
            return;
        }
        const Duration outage = now - lastResponseAt;
        lastResponseAt = now;
        if (unavailable) {
            unavailable = false;
            if (events.onRecovered) {
                events.onRecovered(outage);
            }
        }
        if (outcome.status == ReadStatus::Trimmed) {
            nextOffset = std::max(outcome.first, nextOffset);
            caughtUp = false;
            if (events.onGap) {
                events.onGap(nextOffset);
            }
            readAfter(options.retryPause);
            return;
        }
        for (const std::string &record : outcome.records) {
            if (events.onRecord) {
                events.onRecord(nextOffset, record);
            }
            ++nextOffset;
        }
        caughtUp = nextOffset >= outcome.end;
        notify(events.onReadEnd);
        if (outcome.records.empty() || !caughtUp) {
            readNext();
        } else {
            readAfter(options.readPause);
        }
    }

    static void notify(const std::function<void()> &event)
    {
        if (event) {
            event();
        }
    }

    LogStore &store;
    TopicTailOptions options;
    TopicTailEvents events;
    boost::asio::steady_timer timer;
    std::uint64_t nextOffset = 0;
    bool caughtUp = false;
    bool unavailable = false;
    TimePoint lastResponseAt = BootClock::now();
};

TopicTail::TopicTail(boost::asio::io_context &loop, LogStore &store, TopicTailOptions options, TopicTailEvents events)
    : m_state(std::make_shared<State>(loop, store, std::move(options), std::move(events)))
{ }

TopicTail::~TopicTail() = default;

void TopicTail::start(std::uint64_t from)
{
    m_state->nextOffset = from;
    m_state->readNext();
}

void TopicTail::setReadPause(Duration readPause)
{
    m_state->options.readPause = readPause;
}

bool TopicTail::caughtUp() const
{
    return m_state->caughtUp;
}

bool TopicTail::unavailable() const
{
    return m_state->unavailable;
}

Duration TopicTail::timeSinceResponse(TimePoint now) const
{
    return now - m_state->lastResponseAt;
}

std::uint64_t TopicTail::nextOffset() const
{
    return m_state->nextOffset;
}

} // namespace bergamot::logstore
