#include "bergamot/routing/outcome.h"

#include <array>

namespace bergamot
{

namespace
{

constexpr std::array<std::string_view, 3> OutcomeNames{"answered", "not-run", "maybe-ran"};
constexpr std::array<std::string_view, TrafficClassCount> ClassNames{"interactive", "internal", "batch"};

} // namespace

std::string_view outcomeName(RequestOutcome outcome)
{
    return OutcomeNames.at(static_cast<std::size_t>(outcome));
}

RequestOutcome afterFailure(RequestOutcome before, DeliveryProof proof)
{
    return proof == DeliveryProof::NotRun ? before : RequestOutcome::MaybeRan;
}

std::string_view trafficClassName(TrafficClass trafficClass)
{
    return ClassNames.at(static_cast<std::size_t>(trafficClass));
}

Result<TrafficClass> parseTrafficClass(std::string_view name)
{
    const auto *const found = std::find(ClassNames.begin(), ClassNames.end(), name);
    if (found == ClassNames.end()) {
        return failure(ErrorCode::InvalidArgument, "X-Class must be interactive, internal or batch.");
    }
    return static_cast<TrafficClass>(found - ClassNames.begin());
}

} // namespace bergamot
