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
                    .from = next,
                    .mostKilobytes = options.mostKilobytes,
                    .wait = caughtUp ? options.wait : Duration::zero()},
                   [weak = weak_from_this()](const ReadOutcome &outcome) {
                       if (const std::shared_ptr<State> state = weak.lock()) {
                           state->take(outcome);
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

    void take(const ReadOutcome &outcome)
    {
        const TimePoint now = BootClock::now();
        if (outcome.status == ReadStatus::Failed) {
            if (!lost && now - answeredAt > options.lostAfter) {
                lost = true;
                notify(events.onLost);
            }
            readAfter(options.retryPause);
            return;
        }
        const Duration silence = now - answeredAt;
        answeredAt = now;
        if (lost) {
            lost = false;
            if (events.onReturned) {
                events.onReturned(silence);
            }
        }
        if (outcome.status == ReadStatus::Trimmed) {
            next = std::max(outcome.first, next);
            caughtUp = false;
            if (events.onGap) {
                events.onGap(next);
            }
            readAfter(options.retryPause);
            return;
        }
        for (const std::string &record : outcome.records) {
            if (events.onRecord) {
                events.onRecord(next, record);
            }
            ++next;
        }
        caughtUp = next >= outcome.end;
        notify(events.onBatchEnd);
        if (outcome.records.empty() || !caughtUp) {
            readNext();
        } else {
            readAfter(options.pace);
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
    std::uint64_t next = 0;
    bool caughtUp = false;
    bool lost = false;
    TimePoint answeredAt = BootClock::now();
};

TopicTail::TopicTail(boost::asio::io_context &loop, LogStore &store, TopicTailOptions options, TopicTailEvents events)
    : m_state(std::make_shared<State>(loop, store, std::move(options), std::move(events)))
{ }

TopicTail::~TopicTail() = default;

void TopicTail::start(std::uint64_t from)
{
    m_state->next = from;
    m_state->readNext();
}

void TopicTail::setPace(Duration pace)
{
    m_state->options.pace = pace;
}

bool TopicTail::caughtUp() const
{
    return m_state->caughtUp;
}

bool TopicTail::lost() const
{
    return m_state->lost;
}

Duration TopicTail::age(TimePoint now) const
{
    return now - m_state->answeredAt;
}

std::uint64_t TopicTail::next() const
{
    return m_state->next;
}

} // namespace bergamot::logstore
