#include "bergamot/standins/weight_store_core.h"

namespace bergamot
{

namespace
{

constexpr std::chrono::milliseconds RetryAfter{100};

} // namespace

WeightStoreCore::WeightStoreCore(WeightStoreOptions options)
    : m_options(options)
    , m_faults({"published", "fetch"})
    , m_limit(options.questionsPerSecond)
{ }

Result<void> WeightStoreCore::publish(const ModelId &model, WeightVersion version)
{
    WeightVersion &newest = m_newest[model];
    if (version <= newest) {
        return failure(ErrorCode::Conflict,
                       "version " + std::to_string(version) + " must be above the newest one, "
                           + std::to_string(newest));
    }
    newest = version;
    return {};
}

Answer<PublishedWeights> WeightStoreCore::published(const ModelId &model, TimePoint now)
{
    if (const std::optional<Error> refused = m_faults.refusal("published")) {
        return {tl::unexpected(*refused)};
    }
    if (m_limit.take(now)) {
        return {failure(ErrorCode::Overloaded, "too many questions a second; ask again later", RetryAfter)};
    }
    const auto found = m_newest.find(model);
    const WeightVersion newest = found == m_newest.end() ? 0 : found->second;
    return m_faults.answer<PublishedWeights>("published", PublishedWeights{newest, m_options.concurrentFetches});
}

Result<Duration>
WeightStoreCore::beginFetch(const std::string &engine, const ModelId &model, WeightVersion version, TimePoint /*now*/)
{
    if (const std::optional<Error> refused = m_faults.refusal("fetch")) {
        return tl::unexpected(*refused);
    }
    const auto found = m_newest.find(model);
    if (found == m_newest.end() || version == 0 || version > found->second) {
        return failure(ErrorCode::NotFound, "version " + std::to_string(version) + " is not published");
    }
    if (m_fetching.size() >= m_options.concurrentFetches && !m_fetching.contains(engine)) {
        ++m_fetchesRefused;
        return failure(ErrorCode::Overloaded, "too many engines fetch at once", RetryAfter);
    }
    m_fetching.insert(engine);
    const Answer<Duration> answer = m_faults.answer<Duration>("fetch", m_options.fetchTime);
    return m_options.fetchTime + answer.delay;
}

void WeightStoreCore::endFetch(const std::string &engine)
{
    m_fetching.erase(engine);
}

std::size_t WeightStoreCore::fetching() const
{
    return m_fetching.size();
}

std::uint64_t WeightStoreCore::fetchesRefused() const
{
    return m_fetchesRefused;
}

Result<void> WeightStoreCore::apply(const FaultCommand &command)
{
    return m_faults.apply(command);
}

} // namespace bergamot
