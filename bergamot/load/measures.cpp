#include "bergamot/load/measures.h"

#include <algorithm>
#include <numeric>

namespace bergamot
{

namespace
{

double inMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

Distribution distributionOf(std::vector<double> values)
{
    if (values.empty()) {
        return {};
    }
    std::sort(values.begin(), values.end());
    const auto at = [&values](double share) {
        return values[std::min(values.size() - 1,
                               static_cast<std::size_t>(share * static_cast<double>(values.size())))];
    };
    const double sum = std::accumulate(values.begin(), values.end(), 0.0);
    return {values.size(), sum / static_cast<double>(values.size()), at(0.5), at(0.99), values.back()};
}

void Measures::answered(const LatencyKey &key, Duration elapsed)
{
    const std::lock_guard lock(m_mutex);
    m_latencies[key].push_back(inMilliseconds(elapsed));
}

void Measures::outcome(const LatencyKey &key, const std::string &outcome)
{
    const std::lock_guard lock(m_mutex);
    ++m_outcomes[key][outcome];
}

void Measures::unanswered(const LatencyKey &key, const std::string &reason)
{
    constexpr std::size_t MostReasons = 5;
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> &reasons = m_reasons[key];
    if (reasons.size() < MostReasons) {
        reasons.push_back(reason);
    }
}

void Measures::trainer(const std::string &trainer, TrainerMeasures measures)
{
    const std::lock_guard lock(m_mutex);
    m_trainers[trainer] = std::move(measures);
}

void Measures::configurationSpread(Duration elapsed)
{
    const std::lock_guard lock(m_mutex);
    m_spreads.push_back(inMilliseconds(elapsed));
}

std::map<LatencyKey, std::vector<double>> Measures::latencies() const
{
    const std::lock_guard lock(m_mutex);
    return m_latencies;
}

std::map<LatencyKey, std::map<std::string, std::uint64_t>> Measures::outcomes() const
{
    const std::lock_guard lock(m_mutex);
    return m_outcomes;
}

std::map<LatencyKey, std::vector<std::string>> Measures::unansweredReasons() const
{
    const std::lock_guard lock(m_mutex);
    return m_reasons;
}

std::map<std::string, TrainerMeasures> Measures::trainers() const
{
    const std::lock_guard lock(m_mutex);
    return m_trainers;
}

std::vector<double> Measures::configurationSpreads() const
{
    const std::lock_guard lock(m_mutex);
    return m_spreads;
}

} // namespace bergamot
