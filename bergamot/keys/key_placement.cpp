#include "bergamot/keys/key_placement.h"

#include "bergamot/base/hash.h"

namespace bergamot
{

namespace
{

template<typename Id>
std::optional<Id> highest(std::string_view key, const std::vector<Id> &candidates)
{
    const auto lighter = [key](const Id &left, const Id &right) {
        const std::uint64_t leftWeight = rendezvousWeight(key, left.value());
        const std::uint64_t rightWeight = rendezvousWeight(key, right.value());
        return leftWeight != rightWeight ? leftWeight < rightWeight : left < right;
    };
    const auto found = std::max_element(candidates.begin(), candidates.end(), lighter);
    return found == candidates.end() ? std::nullopt : std::optional(*found);
}

} // namespace

std::string keysStream(const FailureDomainId &domain)
{
    return "keys." + domain.value();
}

std::optional<FailureDomainId> keyHome(std::string_view key, const std::vector<FailureDomainId> &domains)
{
    return highest(key, domains);
}

std::optional<InstanceId> keyCommitter(const FailureDomainId &domain, const std::vector<InstanceId> &liveInstances)
{
    return highest("keys/" + domain.value(), liveInstances);
}

} // namespace bergamot
