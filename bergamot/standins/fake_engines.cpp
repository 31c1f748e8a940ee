#include "bergamot/standins/fakes.h"
#include "bergamot/standins/internal/deliver.h"

namespace bergamot
{

FakeEngines::FakeEngines(FakeTime &time)
    : m_time(time)
{ }

void FakeEngines::add(const Address &address, EngineCoreOptions options, WeightSource *weights)
{
    const std::lock_guard lock(m_mutex);
    m_engines[address] = std::make_unique<EngineCore>(std::move(options), weights);
    m_engines[address]->advance(m_time.now());
}

void FakeEngines::remove(const Address &address)
{
    static_cast<void>(apply(address, {.fault = "crash"}));
    const std::lock_guard lock(m_mutex);
    m_engines.erase(address);
}

Result<void> FakeEngines::apply(const Address &engine, const FaultCommand &command)
{
    return onCore<void>(engine,
                        [&](EngineCore &core) -> Answer<void> {
                            return {core.apply(command, m_time.now())};
                        })
        .result;
}

WeightVersion FakeEngines::version(const Address &engine)
{
    const std::lock_guard lock(m_mutex);
    return m_engines.at(engine)->version();
}

std::map<std::string, std::uint64_t> FakeEngines::runs(const Address &engine)
{
    const std::lock_guard lock(m_mutex);
    return m_engines.at(engine)->runs().counts();
}

template<typename T>
Answer<T> FakeEngines::onCore(const Address &engine, const std::function<Answer<T>(EngineCore &core)> &call)
{
    std::unique_lock lock(m_mutex);
    const auto found = m_engines.find(engine);
    if (found == m_engines.end()) {
        return {failure(ErrorCode::Unavailable, toString(engine) + " refused the connection")};
    }
    Answer<T> answer = call(*found->second);
    lock.unlock();
    pump(engine);
    return answer;
}

void FakeEngines::generate(const Address &engine,
                           const GenerateRequest &request,
                           std::chrono::milliseconds timeout,
                           Callback<Generation> done)
{
    const CallKey key(engine, request.requestId);
    const TimePoint deadline = m_time.now() + timeout;
    std::uint64_t number = 0;
    const Answer<void> accepted = onCore<void>(engine, [&](EngineCore &core) {
        Answer<void> answer = core.submit(request, m_time.now());
        if (answer.result) {
            number = ++m_lastNumber;
            m_calls[key] = {number, answer, deadline, done};
        }
        return answer;
    });
    if (!accepted.result) {
        done(tl::unexpected(accepted.result.error()));
        return;
    }
    m_time.at(deadline, [this, key, number] {
        expire(key, number);
    });
}

void FakeEngines::expire(const CallKey &key, std::uint64_t number)
{
    std::unique_lock lock(m_mutex);
    const auto found = m_calls.find(key);
    if (found == m_calls.end() || found->second.number != number) {
        return;
    }
    const Callback<Generation> done = std::move(found->second.done);
    m_calls.erase(found);
    lock.unlock();
    done(failure(ErrorCode::DeadlineExceeded, "no answer in time"));
}

void FakeEngines::cancel(const Address &engine, const std::string &requestId, std::chrono::milliseconds /*timeout*/)
{
    onCore<void>(engine, [&](EngineCore &core) {
        return core.cancel(requestId, m_time.now());
    });
}

void FakeEngines::order(const Address &engine,
                        const EngineOrder &order,
                        std::chrono::milliseconds timeout,
                        Callback<void> done)
{
    Answer<void> answer = onCore<void>(engine, [&](EngineCore &core) {
        return core.order(order, m_time.now());
    });
    deliver(m_time, std::move(answer), timeout, std::move(done));
}

void FakeEngines::state(const Address &engine, std::chrono::milliseconds timeout, Callback<EngineState> done)
{
    Answer<EngineState> answer = onCore<EngineState>(engine, [&](EngineCore &core) {
        return core.state(m_time.now());
    });
    deliver(m_time, std::move(answer), timeout, std::move(done));
}

void FakeEngines::exportCache(const Address &engine,
                              const std::string &requestId,
                              std::chrono::milliseconds timeout,
                              Callback<std::string> done)
{
    Answer<std::string> answer = onCore<std::string>(engine, [&](EngineCore &core) {
        return core.exportCache(requestId, m_time.now());
    });
    deliver(m_time, std::move(answer), timeout, std::move(done));
}

void FakeEngines::pump(const Address &engine)
{
    std::unique_lock lock(m_mutex);
    const auto found = m_engines.find(engine);
    if (found == m_engines.end()) {
        return;
    }
    found->second->advance(m_time.now());
    std::vector<Ended> ended = takeEnded(engine);
    scheduleNext(engine);
    lock.unlock();
    for (Ended &end : ended) {
        const TimePoint now = m_time.now();
        const auto left = std::chrono::floor<std::chrono::milliseconds>(end.call.deadline - now);
        deliver<Generation>(m_time,
                            {std::move(end.outcome), end.call.answer.delay, end.call.answer.fate},
                            left,
                            std::move(end.call.done));
    }
}

std::vector<FakeEngines::Ended> FakeEngines::takeEnded(const Address &engine)
{
    std::vector<Ended> ended;
    for (EngineEvent &event : m_engines.at(engine)->takeEvents()) {
        const auto call = m_calls.find({engine, event.requestId});
        if (event.kind == EngineEvent::Kind::Token || call == m_calls.end()) {
            continue;
        }
        Result<Generation> outcome = std::move(event.generation);
        if (event.kind == EngineEvent::Kind::Lost) {
            outcome = failure(ErrorCode::Unknown, "the connection closed before the whole answer came");
            call->second.answer.fate = AnswerFate::Closed;
        }
        ended.push_back({std::move(call->second), std::move(outcome)});
        m_calls.erase(call);
    }
    return ended;
}

void FakeEngines::scheduleNext(const Address &engine)
{
    const std::optional<TimePoint> due = m_engines.at(engine)->nextDue();
    if (!due) {
        return;
    }
    const auto scheduled = m_scheduled.find(engine);
    if (scheduled != m_scheduled.end() && scheduled->second <= *due) {
        return;
    }
    m_scheduled[engine] = *due;
    m_time.at(*due, [this, engine, due = *due] {
        {
            const std::lock_guard lock(m_mutex);
            const auto current = m_scheduled.find(engine);
            if (current != m_scheduled.end() && current->second == due) {
                m_scheduled.erase(current);
            }
        }
        pump(engine);
    });
}

} // namespace bergamot
