#pragma once

// Strongly typed identifiers, so that a trainer id cannot be passed where an engine id is expected. An empty id
// means none; the constructor checks nothing. Ids compare and hash by value.
//
//     EndpointId engine("engine-3");
//     use(engine.value());

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace bergamot
{

template<typename Tag>
class StrongId
{
public:
    StrongId() = default;
    explicit StrongId(std::string value)
        : m_value(std::move(value))
    { }

    const std::string &value() const
    {
        return m_value;
    }

    bool empty() const
    {
        return m_value.empty();
    }

    auto operator<=>(const StrongId &) const = default;

private:
    std::string m_value;
};

using InstanceId = StrongId<struct InstanceTag>;
using FailureDomainId = StrongId<struct FailureDomainTag>;
using EndpointId = StrongId<struct EndpointTag>; // also the id of an engine, which is an endpoint
using ModelId = StrongId<struct ModelTag>;
using ServiceId = StrongId<struct ServiceTag>;
using TrainerId = StrongId<struct TrainerTag>;
using IntentId = StrongId<struct IntentTag>;
using PlanId = StrongId<struct PlanTag>;
using DutyId = StrongId<struct DutyTag>;

/// The weight version of a model increases by one with each publication; 0 means "none".
using WeightVersion = std::uint64_t;

/// The position of a record in one stream of the platform's log. The first record of a stream has offset 1.
using Offset = std::uint64_t;

/// Fencing token: the offset of the claim that gave its holder the duty. Endpoints that check it refuse a lower one.
using FencingNumber = std::uint64_t;

} // namespace bergamot

template<typename Tag>
struct std::hash<bergamot::StrongId<Tag>>
{
    std::size_t operator()(const bergamot::StrongId<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.value());
    }
};
