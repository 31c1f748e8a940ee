#pragma once

// Chooses the instances of a failure domain that relay the log and the domain's state to the others: those with the
// highest rendezvous weight among its live members. Every instance computes the choice by itself. A temporary
// disagreement between two instances only costs additional messages.
//
//     const std::vector<InstanceId> relays = relaysOf(domain, liveMembers);

#include <vector>

#include "bergamot/base/ids.h"

namespace bergamot
{

inline constexpr std::size_t RelaysPerDomain = 2;
inline constexpr std::size_t PollersPerEndpoint = 2;

/// The relays of `domain`, by descending weight.
std::vector<InstanceId> relaysOf(const FailureDomainId &domain, const std::vector<InstanceId> &candidates);

/// True if `instance` is one of the relays of `domain`.
bool isRelay(const FailureDomainId &domain, const std::vector<InstanceId> &candidates, const InstanceId &instance);

/// `relays` in the order in which `instance` contacts them. The order differs between instances, which balances the
/// load of the relays.
std::vector<InstanceId> contactOrder(const InstanceId &instance, const std::vector<InstanceId> &relays);

/// The instances that poll `endpoint`.
std::vector<InstanceId> pollersOf(const EndpointId &endpoint, const std::vector<InstanceId> &candidates);

} // namespace bergamot
