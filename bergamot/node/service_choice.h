#pragma once

// Weighted random choice among the services of a route.

#include <random>
#include <string>
#include <vector>

#include "bergamot/fleet/configuration.h"

namespace bergamot::node
{

/// Returns the name of the chosen service, or an empty string if no service of the route takes traffic.
inline std::string chooseService(const fleet::Route &route, std::mt19937_64 &random)
{
    double total = 0;
    for (const fleet::WeightedService &service : route.services) {
        total += service.weight;
    }
    const std::vector<std::string> active = fleet::activeServices(route);
    if (active.empty()) {
        return {};
    }
    double drawn = std::uniform_real_distribution<double>(0, total)(random);
    for (const fleet::WeightedService &service : route.services) {
        if (drawn < service.weight) {
            return service.service;
        }
        drawn -= service.weight;
    }
    return active.back(); // rounding
}

} // namespace bergamot::node
