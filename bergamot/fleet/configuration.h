#pragma once

// The configuration in force: which requests are served, by which service, under which bounds. A value without
// behaviour beyond the choice of a route; the adapter of the platform fills it.
//
//     const Route *route = configuration.match("shop.example", "/quotes/7");

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bergamot/base/clock.h"

namespace bergamot::fleet
{

enum class RouteKind {
    Idempotent, // may run more than once
    NonIdempotent, // runs at most once
    Streaming, // answered in events; at most once unless resumable
    Batch, // batches of samples
};

struct WeightedService
{
    std::string service;
    std::uint32_t weight = 1;

    bool operator==(const WeightedService &) const = default;
};

struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    RouteKind kind = RouteKind::NonIdempotent;
    std::vector<WeightedService> services; // one, or several that share the traffic by weight
    Duration timeout = std::chrono::seconds(10); // longest wait of a caller
    Duration latencyObjective = std::chrono::seconds(1);
    std::uint32_t maxAttempts = 1; // endpoints that one request may be sent to
    std::uint32_t priority = 0; // 0 is the most urgent
    bool resumable = false; // a broken stream may go on at another endpoint
    bool singleVersion = false; // a sample's text comes from one weight version
    Duration resultDeadline = std::chrono::seconds(60); // of a batch, from its submission
    Duration retention = std::chrono::seconds(120); // an item may be given up after it

    bool operator==(const Route &) const = default;
};

/// What engines of a service have in common.
struct EngineTraits
{
    std::uint32_t slots = 1;
    std::uint64_t memoryTokens = 0; // 0: not known
    std::vector<std::string> models;

    bool operator==(const EngineTraits &) const = default;
};

struct Service
{
    std::string name;
    std::uint32_t maxConnections = 0; // of one endpoint, from all callers; 0: not known
    std::optional<EngineTraits> engine; // absent: a plain service

    bool operator==(const Service &) const = default;
};

/// What a caller may send.
struct CallerLimits
{
    std::uint32_t headerBytes = 16384;
    std::uint64_t bodyBytes = 32 * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);

    bool operator==(const CallerLimits &) const = default;
};

class Configuration
{
public:
    Configuration() = default;
    Configuration(std::uint64_t version, std::vector<Route> routes, std::vector<Service> services, CallerLimits limits);

    std::uint64_t version() const
    {
        return m_version;
    }
    const std::vector<Route> &routes() const
    {
        return m_routes;
    }
    const std::map<std::string, Service> &services() const
    {
        return m_services;
    }
    const CallerLimits &limits() const
    {
        return m_limits;
    }
    /// The route of `host` with the longest prefix that begins `path`; null if there is none.
    const Route *match(std::string_view host, std::string_view path) const;

private:
    std::uint64_t m_version = 0;
    std::vector<Route> m_routes; // by host, then the longest prefix first
    std::map<std::string, Service> m_services;
    CallerLimits m_limits;
};

} // namespace bergamot::fleet
