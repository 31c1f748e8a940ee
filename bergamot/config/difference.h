#pragma once

// What changes between two configurations, in an order that depends on nothing but the two. Plans and the history
// show it to operators.
//
//     for (const ConfigurationChange &change : difference(before, after)) { ... }

#include <string>
#include <vector>

#include <cpprest/json.h>

#include "bergamot/config/configuration.h"

namespace bergamot
{

struct ConfigurationChange
{
    std::string kind; // "domains", "model", "trainer" or "service"
    std::string name; // of the entry; empty for "domains"
    web::json::value from; // null if it was not there
    web::json::value to; // null if it is removed
};

/// The entries that differ, by kind and then by name. Versions and offsets are not compared.
std::vector<ConfigurationChange> difference(const Configuration &from, const Configuration &to);

web::json::value toJson(const ConfigurationChange &change);

} // namespace bergamot
