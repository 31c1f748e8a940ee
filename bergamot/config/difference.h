#pragma once

// Computes the changes between two configurations, in a deterministic order. Plans and the history show them to
// operators.
//
//     for (const ConfigurationChange &change : difference(before, after)) { ... }

#include <string>
#include <vector>

#include <cpprest/json.h>

#include "bergamot/config/configuration.h"

namespace bergamot
{

/// One entry that was added, changed or removed.
struct ConfigurationChange
{
    std::string kind; // "domains", "model", "trainer" or "service"
    std::string name; // name of the entry; empty for "domains"
    web::json::value from; // null if the entry was added
    web::json::value to; // null if the entry was removed
};

/// The entries that differ, in the order domains, models, trainers, services, and by name within each. The version and
/// offset of the configurations are ignored.
std::vector<ConfigurationChange> difference(const Configuration &from, const Configuration &to);

web::json::value toJson(const ConfigurationChange &change);

} // namespace bergamot
