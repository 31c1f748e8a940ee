#pragma once

// What the request path knows of the fleet: one immutable value.
//
//     RoutingTable table;
//     table.targets["stock"].endpoints.push_back({.id = EndpointId("i-1"), .address = address});
//     router.onView(table, now);

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "bergamot/base/address.h"
#include "bergamot/base/clock.h"
#include "bergamot/base/ids.h"
#include "bergamot/routing/crash_quarantine.h"

namespace bergamot
{

struct RoutedEndpoint
{
    EndpointId id;
    FailureDomainId domain;
    Address address;
    bool leaving = false;
    bool reachable = true; // from the control processes
    bool loading = false; // an engine that is taking new weights
    std::uint32_t load = 0; // requests running and waiting, as reported
    std::uint32_t slots = 0; // requests that it runs at once; 0: unknown
    Duration loadAge{}; // of `load`; one that is too old says nothing

    /// Whether `load` still says something.
    bool reportsLoad() const;

    bool operator==(const RoutedEndpoint &) const = default;
};

/// One service or model.
struct RoutedTarget
{
    std::vector<RoutedEndpoint> endpoints;
    std::vector<std::string> repeatablePaths; // prefixes whose POSTs may run more than once
    Duration defaultTimeout = std::chrono::seconds(2); // for a caller that names no deadline

    bool operator==(const RoutedTarget &) const = default;
};

struct RoutingTable
{
    std::uint64_t configVersion = 0;
    std::map<std::string, RoutedTarget> targets; // by `serviceTarget` or `modelTarget`
    std::vector<SuspectReport> suspects;

    bool operator==(const RoutingTable &) const = default;
};

/// Whether a request may run more than once: safe and idempotent methods by the HTTP standard, and the paths that the
/// operators named.
bool isRepeatable(const RoutedTarget &target, std::string_view method, std::string_view path);

} // namespace bergamot
