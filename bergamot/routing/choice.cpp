#include "bergamot/routing/choice.h"

#include "bergamot/base/hash.h"

namespace bergamot
{

namespace
{

constexpr std::size_t MaxScannedCandidates = 16;

/// A random number in [0, bound). `bound` is far below 2^32, so that scaling the high 32 bits is nearly uniform.
std::size_t randomBelow(std::size_t bound, std::mt19937_64 &random)
{
    return ((random() >> 32U) * bound) >> 32U;
}

std::optional<std::size_t> firstWithRoom(const Candidates &candidates, std::size_t start)
{
    const std::size_t count = candidates.size();
    for (std::size_t step = 0; step < count; ++step) {
        const std::size_t index = (start + step) % count;
        if (candidates.hasRoom(index)) {
            return index;
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> cheapestWithRoom(const Candidates &candidates, std::size_t start)
{
    const std::size_t count = candidates.size();
    std::optional<std::size_t> best;
    double bestCost = 0;
    for (std::size_t step = 0; step < count; ++step) {
        const std::size_t index = (start + step) % count;
        if (!candidates.hasRoom(index)) {
            continue;
        }
        const double cost = candidates.cost(index);
        if (!best || cost < bestCost) {
            best = index;
            bestCost = cost;
        }
    }
    return best;
}

std::uint64_t mixBits(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

} // namespace

std::optional<std::size_t> SampledChoice::choose(const Candidates &candidates, std::mt19937_64 &random)
{
    const std::size_t count = candidates.size();
    if (count == 0) {
        return std::nullopt;
    }
    const std::size_t first = randomBelow(count, random);
    if (count <= MaxScannedCandidates) {
        return cheapestWithRoom(candidates, first);
    }
    const std::size_t second = (first + 1 + randomBelow(count - 1, random)) % count;
    const bool firstFits = candidates.hasRoom(first);
    const bool secondFits = candidates.hasRoom(second);
    if (firstFits && secondFits) {
        return candidates.cost(first) <= candidates.cost(second) ? first : second;
    }
    if (firstFits || secondFits) {
        return firstFits ? first : second;
    }
    return firstWithRoom(candidates, first);
}

std::optional<std::size_t> choosePrefixOwner(const Candidates &candidates, std::uint64_t prefix, double ceiling)
{
    const std::size_t count = candidates.size();
    std::optional<std::size_t> best;
    std::uint64_t bestWeight = 0;
    for (std::size_t index = 0; index < count; ++index) {
        const std::uint64_t weight = mixBits(prefix ^ candidates.identity(index));
        if ((best && weight <= bestWeight) || candidates.cost(index) > ceiling || !candidates.hasRoom(index)) {
            continue;
        }
        best = index;
        bestWeight = weight;
    }
    return best;
}

std::vector<std::size_t>
rendezvousSubset(std::string_view node, std::span<const std::string_view> names, std::size_t maxSize)
{
    std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
    ranked.reserve(names.size());
    for (std::size_t index = 0; index < names.size(); ++index) {
        ranked.emplace_back(rendezvousWeight(node, names[index]), index);
    }
    const std::size_t kept = std::min(maxSize, ranked.size());
    std::partial_sort(
        ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept), ranked.end(), std::greater<>());
    std::vector<std::size_t> subset;
    for (std::size_t rank = 0; rank < kept; ++rank) {
        subset.push_back(ranked[rank].second);
    }
    std::sort(subset.begin(), subset.end());
    return subset;
}

} // namespace bergamot
