#include "bergamot/membership/relay_choice.h"

#include <algorithm>

#include "bergamot/base/hash.h"

namespace bergamot
{

namespace
{

/// The `count` candidates with the highest weight for `key`, by descending weight and then descending name.
std::vector<InstanceId>
highestRanked(const std::string &key, const std::vector<InstanceId> &candidates, std::size_t count)
{
    const std::uint64_t seed = stableHash(key);
    std::vector<std::pair<std::uint64_t, const InstanceId *>> weighted;
    weighted.reserve(candidates.size());
    for (const InstanceId &candidate : candidates) {
        weighted.emplace_back(stableHash(candidate.value(), seed), &candidate);
    }
    count = std::min(count, weighted.size());
    const auto isBefore = [](const auto &left, const auto &right) {
        return left.first != right.first ? left.first > right.first : *left.second > *right.second;
    };
    const auto middle = weighted.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(weighted.begin(), middle, weighted.end(), isBefore);
    std::vector<InstanceId> first;
    first.reserve(count);
    for (auto entry = weighted.begin(); entry != middle; ++entry) {
        first.push_back(*entry->second);
    }
    return first;
}

} // namespace

std::vector<InstanceId> relaysOf(const FailureDomainId &domain, const std::vector<InstanceId> &candidates)
{
    return highestRanked("relay/" + domain.value(), candidates, RelaysPerDomain);
}

bool isRelay(const FailureDomainId &domain, const std::vector<InstanceId> &candidates, const InstanceId &instance)
{
    const std::vector<InstanceId> relays = relaysOf(domain, candidates);
    return std::find(relays.begin(), relays.end(), instance) != relays.end();
}

std::vector<InstanceId> contactOrder(const InstanceId &instance, const std::vector<InstanceId> &relays)
{
    return highestRanked("contact/" + instance.value(), relays, relays.size());
}

std::vector<InstanceId> pollersOf(const EndpointId &endpoint, const std::vector<InstanceId> &candidates)
{
    return highestRanked("poll/" + endpoint.value(), candidates, PollersPerEndpoint);
}

} // namespace bergamot
