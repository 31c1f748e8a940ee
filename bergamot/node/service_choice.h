#pragma once

// Weighted random choice among the services of a route.

#include <random>
#include <string>

#include "bergamot/fleet/configuration.h"

namespace bergamot::node
{

/// Returns the name of the chosen service, or an empty string if the route has no services.
inline std::string chooseService(const fleet::Route &route, std::mt19937_64 &random)
{
    std::uint64_t total = 0;
    for (const fleet::WeightedService &service : route.services) {
        total += service.weight;
    }
    if (total == 0) {
        return route.services.empty() ? std::string() : route.services.front().service;
    }
    std::uint64_t drawn = std::uniform_int_distribution<std::uint64_t>(0, total - 1)(random);
    for (const fleet::WeightedService &service : route.services) {
        if (drawn < service.weight) {
            return service.service;
        }
        drawn -= service.weight;
    }
    return route.services.back().service;
}

} // namespace bergamot::node
