#include "bergamot/cost/learned_work.h"

#include <algorithm>
#include <bit>

namespace bergamot::cost
{

namespace
{

constexpr double UsualQuantile = 0.3; // below the middle, since troubles only add to a duration
constexpr double TailQuantile = 0.95;

std::string keyOf(const RequestKind &kind)
{
    return kind.route + '\n' + kind.tenant + '\n' + std::to_string(std::bit_width(kind.bytes));
}

} // namespace

LearnedWork::Learned::Learned()
    : usual(UsualQuantile)
    , tail(TailQuantile)
{ }

void LearnedWork::Learned::add(Duration duration, std::uint64_t number)
{
    usual.add(duration);
    tail.add(duration);
    ++samples;
    seen = number;
}

LearnedWork::LearnedWork(LearnedWorkOptions options)
    : m_options(options)
{ }

void LearnedWork::record(const RequestKind &kind, Duration duration)
{
    ++m_samples;
    m_all.add(duration, m_samples);
    m_kinds[kind.route].add(duration, m_samples);
    m_kinds[keyOf(kind)].add(duration, m_samples);
    while (m_kinds.size() > m_options.maxKinds) {
        forgetOldest();
    }
}

WorkEstimate LearnedWork::of(const RequestKind &kind) const
{
    const auto own = m_kinds.find(keyOf(kind));
    if (own != m_kinds.end() && own->second.samples >= m_options.minSamples) {
        return {.usual = own->second.usual.value(), .tail = own->second.tail.value()};
    }
    const auto route = m_kinds.find(kind.route);
    const Learned &known = route == m_kinds.end() ? m_all : route->second;
    return {.usual = known.usual.value(), .tail = known.tail.value()};
}

Duration LearnedWork::mean() const
{
    return m_all.usual.value();
}

void LearnedWork::forgetOldest()
{
    m_kinds.erase(std::min_element(m_kinds.begin(), m_kinds.end(), [](const auto &left, const auto &right) {
        return left.second.seen < right.second.seen;
    }));
}

} // namespace bergamot::cost
