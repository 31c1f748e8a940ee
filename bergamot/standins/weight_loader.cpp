#include "bergamot/standins/weight_loader.h"

#include "bergamot/base/invariant.h"

namespace bergamot
{

namespace
{

constexpr std::chrono::milliseconds StoreRetry{100};

} // namespace

WeightLoader::WeightLoader(WeightLoaderOptions options, WeightSource *source)
    : m_options(std::move(options))
    , m_source(source)
{ }

void WeightLoader::begin(const ModelId &model, WeightVersion version, TimePoint now)
{
    abort();
    m_phase = Phase::Waiting;
    m_model = model;
    m_version = version;
    m_due = now;
}

void WeightLoader::abort()
{
    if (m_phase == Phase::Fetching && m_source != nullptr) {
        m_source->endFetch(m_options.engine);
    }
    m_phase = Phase::None;
    m_version = 0;
    m_failing = false;
}

void WeightLoader::failNext(std::uint64_t count)
{
    m_failures = count;
}

bool WeightLoader::loading() const
{
    return m_phase != Phase::None;
}

const ModelId &WeightLoader::model() const
{
    return m_model;
}

WeightVersion WeightLoader::version() const
{
    return m_version;
}

std::optional<TimePoint> WeightLoader::due() const
{
    return loading() ? std::optional(m_due) : std::nullopt;
}

LoadStep WeightLoader::step()
{
    switch (m_phase) {
    case Phase::Waiting:
        return startFetch();
    case Phase::Fetching:
        return startSwap();
    case Phase::Swapping:
        return finish();
    case Phase::None:
        break;
    }
    checkInvariant(false, "A load that is not under way has no step.");
    return LoadStep::Failed;
}

LoadStep WeightLoader::startFetch()
{
    Result<Duration> time = m_options.fetchTime;
    if (m_source != nullptr) {
        time = m_source->beginFetch(m_options.engine, m_model, m_version, m_due);
    }
    if (time) {
        m_phase = Phase::Fetching;
        m_due += *time;
        return LoadStep::Waiting;
    }
    if (time.error().code == ErrorCode::NotFound) {
        abort();
        return LoadStep::Refused;
    }
    m_due += StoreRetry;
    return LoadStep::Waiting;
}

LoadStep WeightLoader::startSwap()
{
    if (m_source != nullptr) {
        m_source->endFetch(m_options.engine);
    }
    m_failing = m_failures > 0;
    m_failures -= m_failing ? 1 : 0;
    m_phase = Phase::Swapping;
    m_due += m_failing ? m_options.swapTime / 2 : m_options.swapTime;
    return LoadStep::SwapBegun;
}

LoadStep WeightLoader::finish()
{
    const LoadStep outcome = m_failing ? LoadStep::Failed : LoadStep::Installed;
    m_phase = Phase::None;
    m_failing = false;
    return outcome;
}

} // namespace bergamot
