#include "bergamot/journal/batching_appender.h"

namespace bergamot
{

struct BatchingAppender::Core : std::enable_shared_from_this<Core>
{
    Core(BatchingAppenderOptions appenderOptions, EventLoop &eventLoop, Clock &systemClock, Log &targetLog)
        : options(std::move(appenderOptions))
        , loop(eventLoop)
        , poster(eventLoop.poster())
        , clock(systemClock)
        , log(targetLog)
        , queue(options.queue)
    { }

    void processQueue()
    {
        std::vector<AppendRequest> requests;
        std::vector<AppendCompletion> completions;
        {
            const std::lock_guard lock(mutex);
            requests = queue.takeRequests(clock.now());
            completions = queue.takeCompletions();
        }
        for (AppendRequest &request : requests) {
            sendRequest(std::move(request));
        }
        for (AppendCompletion &completion : completions) {
            completion.done(std::move(completion.outcome));
        }
        scheduleWake();
    }

    void sendRequest(AppendRequest request)
    {
        const std::uint64_t batch = request.batch;
        log.append(request.stream,
                   std::move(request.records),
                   request.timeout,
                   [weak = weak_from_this(), batch](Result<Offset> answer) {
                       if (const std::shared_ptr<Core> core = weak.lock()) {
                           core->postAnswer(batch, std::move(answer));
                       }
                   });
    }

    void postAnswer(std::uint64_t batch, Result<Offset> answer)
    {
        poster.post([weak = weak_from_this(), batch, answer = std::move(answer)] {
            const std::shared_ptr<Core> core = weak.lock();
            if (!core) {
                return;
            }
            {
                const std::lock_guard lock(core->mutex);
                core->queue.handleAnswer(batch, answer, core->clock.now());
            }
            core->processQueue();
        });
    }

    void postProcessQueue(Duration delay)
    {
        loop.postAfter(delay, [weak = weak_from_this()] {
            if (const std::shared_ptr<Core> core = weak.lock()) {
                core->processQueue();
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
        postProcessQueue(delay);
    }

    const BatchingAppenderOptions options;
    EventLoop &loop;
    const EventLoop::Poster poster; // posts answers, which may arrive after the loop is destroyed
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
    m_core->postProcessQueue(Duration::zero());
    return id;
}

} // namespace bergamot
