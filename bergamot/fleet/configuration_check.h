#pragma once

// Checks a configuration before it is sent: what is wrong in it, what can never take effect, which limits contradict
// each other, and what differs from the version in force. Pure.
//
//     for (const Finding &finding : checkConfiguration(next)) { ... }
//     for (const Difference &difference : differences(inForce, next)) { ... }

#include <string>
#include <string_view>
#include <vector>

#include "bergamot/fleet/configuration.h"

namespace bergamot::fleet
{

enum class Severity {
    Error, // requests or batches would fail, or an entry can never take effect
    Warning, // valid, but probably not intended
};

std::string_view severityName(Severity severity);

struct Finding
{
    Severity severity = Severity::Error;
    std::string subject; // "route NAME (HOST PREFIX)", "service NAME", "tenant NAME", "limits" or "configuration"
    std::string problem;

    bool operator==(const Finding &) const = default;
};

/// What is wrong with the configuration, by subject. Keys of tenants appear nowhere.
std::vector<Finding> checkConfiguration(const Configuration &configuration);

/// Whether an instance on which `inForce` is in force would take `next`.
std::vector<Finding> checkSuccession(const Configuration &inForce, const Configuration &next);

struct Difference
{
    std::string subject; // as in `Finding`
    std::string change; // "added", "removed", or the fields that change

    bool operator==(const Difference &) const = default;
};

/// What `next` changes. Routes are told apart by host and path prefix.
std::vector<Difference> differences(const Configuration &inForce, const Configuration &next);

} // namespace bergamot::fleet
