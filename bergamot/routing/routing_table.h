#pragma once

// The immutable snapshot of the fleet from which requests are routed.
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
    bool reachable = true; // as seen by the control processes
    bool loading = false; // an engine that is loading new weights
    std::uint32_t load = 0; // requests running and waiting, as reported
    std::uint32_t slots = 0; // requests that the endpoint runs at once; 0: unknown
    Duration loadAge{}; // age of `load`
    std::uint64_t incarnation = 0; // changes with each start of the endpoint; 0: not known
    std::string softwareVersion; // empty: not known
    bool beginsStreams = true; // whether streams that callers may resume may begin here

    /// Whether the endpoint reports its load and the report is recent enough to use.
    bool reportsLoad() const;

    bool operator==(const RoutedEndpoint &) const = default;
};

/// A service or model and its endpoints.
struct RoutedTarget
{
    std::vector<RoutedEndpoint> endpoints;
    std::vector<std::string> repeatablePaths; // path prefixes under which a POST may run more than once
    Duration defaultTimeout = std::chrono::seconds(2); // for a request without a deadline

    bool operator==(const RoutedTarget &) const = default;
};

struct RoutingTable
{
    std::uint64_t configVersion = 0;
    std::map<std::string, RoutedTarget> targets; // by the name from `serviceTarget` or `modelTarget`
    std::vector<SuspectReport> suspects;

    bool operator==(const RoutingTable &) const = default;
};

/// Whether a request may run more than once: true for the methods that HTTP defines as safe or idempotent and for the
/// target's `repeatablePaths`.
bool isRepeatable(const RoutedTarget &target, std::string_view method, std::string_view path);

} // namespace bergamot
