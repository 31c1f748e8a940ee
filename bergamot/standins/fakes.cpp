#include "bergamot/standins/fakes.h"

#include <limits>

#include "bergamot/standins/internal/deliver.h"

namespace bergamot
{

FakeLog::FakeLog(FakeTime &time, LogCoreOptions options)
    : m_time(time)
    , m_core(options)
{ }

void FakeLog::append(const std::string &stream,
                     std::vector<Record> batch,
                     std::chrono::milliseconds timeout,
                     Callback<Offset> done)
{
    std::unique_lock lock(m_mutex);
    Answer<Offset> answer = m_core.append(stream, std::move(batch), m_time.now());
    lock.unlock();
    deliver(m_time, std::move(answer), timeout, std::move(done));
}

void FakeLog::read(const std::string &stream,
                   Offset from,
                   std::size_t limit,
                   std::chrono::milliseconds timeout,
                   Callback<LogPage> done)
{
    std::unique_lock lock(m_mutex);
    Answer<LogPage> answer = m_core.read(stream, from, limit, m_time.now());
    lock.unlock();
    deliver(m_time, std::move(answer), timeout, std::move(done));
}

Result<void> FakeLog::apply(const FaultCommand &command)
{
    const std::lock_guard lock(m_mutex);
    return m_core.apply(command);
}

void FakeLog::setOptions(LogCoreOptions options)
{
    const std::lock_guard lock(m_mutex);
    m_core.setOptions(options);
}

std::vector<StoredRecord> FakeLog::records(const std::string &stream)
{
    const std::lock_guard lock(m_mutex);
    return m_core.records(stream);
}

std::uint64_t FakeLog::appendCount()
{
    const std::lock_guard lock(m_mutex);
    return m_core.appendCount();
}

FakeInstanceList::FakeInstanceList(FakeTime &time, Duration lag)
    : m_time(time)
    , m_core(lag)
{ }

void FakeInstanceList::fetch(std::chrono::milliseconds timeout, Callback<std::vector<ListedMember>> done)
{
    std::unique_lock lock(m_mutex);
    Answer<std::vector<ListedMember>> answer = m_core.fetch(m_time.now());
    lock.unlock();
    deliver(m_time, std::move(answer), timeout, std::move(done));
}

void FakeInstanceList::put(const ListedMember &member)
{
    const std::lock_guard lock(m_mutex);
    m_core.put(member, m_time.now());
}

Result<void> FakeInstanceList::setState(const std::string &id, ListedState state)
{
    const std::lock_guard lock(m_mutex);
    return m_core.setState(id, state, m_time.now());
}

void FakeInstanceList::remove(const std::string &id)
{
    const std::lock_guard lock(m_mutex);
    m_core.remove(id, m_time.now());
}

void FakeInstanceList::setLag(Duration lag)
{
    const std::lock_guard lock(m_mutex);
    m_core.setLag(lag);
}

Result<void> FakeInstanceList::apply(const FaultCommand &command)
{
    const std::lock_guard lock(m_mutex);
    return m_core.apply(command);
}

FakeWeightStore::FakeWeightStore(FakeTime &time, WeightStoreOptions options)
    : m_time(time)
    , m_core(options)
{ }

void FakeWeightStore::published(const ModelId &model,
                                std::chrono::milliseconds timeout,
                                Callback<PublishedWeights> done)
{
    std::unique_lock lock(m_mutex);
    Answer<PublishedWeights> answer = m_core.published(model, m_time.now());
    lock.unlock();
    deliver(m_time, std::move(answer), timeout, std::move(done));
}

Result<void> FakeWeightStore::publish(const ModelId &model, WeightVersion version)
{
    const std::lock_guard lock(m_mutex);
    return m_core.publish(model, version);
}

Result<void> FakeWeightStore::apply(const FaultCommand &command)
{
    const std::lock_guard lock(m_mutex);
    return m_core.apply(command);
}

std::size_t FakeWeightStore::fetching()
{
    const std::lock_guard lock(m_mutex);
    return m_core.fetching();
}

std::uint64_t FakeWeightStore::fetchesRefused()
{
    const std::lock_guard lock(m_mutex);
    return m_core.fetchesRefused();
}

Result<Duration>
FakeWeightStore::beginFetch(const std::string &engine, const ModelId &model, WeightVersion version, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    return m_core.beginFetch(engine, model, version, now);
}

void FakeWeightStore::endFetch(const std::string &engine)
{
    const std::lock_guard lock(m_mutex);
    m_core.endFetch(engine);
}

FakeScoring::FakeScoring(FakeTime &time, Duration scoringTime)
    : m_time(time)
    , m_core(scoringTime)
{ }

void FakeScoring::score(const std::string &prompt,
                        const std::string &text,
                        std::chrono::milliseconds timeout,
                        Callback<double> done)
{
    std::unique_lock lock(m_mutex);
    Answer<double> answer = m_core.score(prompt, text);
    lock.unlock();
    deliver(m_time, std::move(answer), timeout, std::move(done));
}

Result<void> FakeScoring::apply(const FaultCommand &command)
{
    const std::lock_guard lock(m_mutex);
    return m_core.apply(command);
}

std::uint64_t FakeScoring::scoreCount()
{
    const std::lock_guard lock(m_mutex);
    return m_core.scoreCount();
}

} // namespace bergamot
