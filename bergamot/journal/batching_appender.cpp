#include "bergamot/journal/batching_appender.h"

namespace bergamot
{

struct BatchingAppender::Core : std::enable_shared_from_this<Core>
{
    Core(BatchingAppenderOptions given, EventLoop &eventLoop, Clock &theClock, Log &theLog)
        : options(std::move(given))
        , loop(eventLoop)
        , poster(eventLoop.poster())
        , clock(theClock)
        , log(theLog)
        , queue(options.queue)
    { }

    void pump()
    {
        std::vector<AppendSend> sends;
        std::vector<AppendSettled> settled;
        {
            const std::lock_guard lock(mutex);
            sends = queue.takeSends(clock.now());
            settled = queue.takeSettled();
        }
        for (AppendSend &send : sends) {
            start(std::move(send));
        }
        for (AppendSettled &one : settled) {
            one.done(std::move(one.outcome));
        }
        scheduleWake();
    }

    void start(AppendSend send)
    {
        const std::uint64_t batch = send.batch;
        log.append(send.stream,
                   std::move(send.records),
                   send.timeout,
                   [weak = weak_from_this(), batch](Result<Offset> answer) {
                       if (const std::shared_ptr<Core> core = weak.lock()) {
                           core->answered(batch, std::move(answer));
                       }
                   });
    }

    void answered(std::uint64_t batch, Result<Offset> answer)
    {
        poster.post([weak = weak_from_this(), batch, answer = std::move(answer)] {
            const std::shared_ptr<Core> core = weak.lock();
            if (!core) {
                return;
            }
            {
                const std::lock_guard lock(core->mutex);
                core->queue.answered(batch, answer, core->clock.now());
            }
            core->pump();
        });
    }

    void postPump(Duration delay)
    {
        loop.postAfter(delay, [weak = weak_from_this()] {
            if (const std::shared_ptr<Core> core = weak.lock()) {
                core->pump();
            }
        });
    }

    void scheduleWake()
    {
        Duration delay;
        {
            const std::lock_guard lock(mutex);
            const TimePoint now = clock.now();
            const std::optional<TimePoint> wake = queue.nextWake(now);
            if (!wake || (wakeAt > now && wakeAt <= *wake)) {
                return;
            }
            wakeAt = *wake;
            delay = *wake - now;
        }
        postPump(delay);
    }

    const BatchingAppenderOptions options;
    EventLoop &loop;
    const EventLoop::Poster poster; // for answers, which may come after the loop has gone
    Clock &clock;
    Log &log;
    std::mutex mutex;
    AppendQueue queue;
    std::uint64_t sequence = 0;
    TimePoint wakeAt;
};

BatchingAppender::BatchingAppender(BatchingAppenderOptions options, EventLoop &loop, Clock &clock, Log &log)
    : m_core(std::make_shared<Core>(std::move(options), loop, clock, log))
{ }

BatchingAppender::~BatchingAppender() = default;

RecordId
BatchingAppender::append(const std::string &stream, std::string kind, std::string payload, Callback<Offset> done)
{
    RecordId id{m_core->options.writer, m_core->options.incarnation, 0};
    {
        const std::lock_guard lock(m_core->mutex);
        id.sequence = ++m_core->sequence;
        m_core->queue.add(
            stream, Record{id, std::move(kind), std::move(payload)}, std::move(done), m_core->clock.now());
    }
    m_core->postPump(Duration::zero());
    return id;
}

} // namespace bergamot
