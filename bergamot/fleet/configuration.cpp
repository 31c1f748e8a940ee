#include "bergamot/fleet/configuration.h"

#include <algorithm>
#include <tuple>

namespace bergamot::fleet
{

Configuration::Configuration(std::uint64_t version,
                             std::vector<Route> routes,
                             std::vector<Service> services,
                             CallerLimits limits,
                             std::optional<tenants::TenantIndex> tenants)
    : m_version(version)
    , m_routes(std::move(routes))
    , m_limits(limits)
    , m_tenants(std::move(tenants))
{
    std::sort(m_routes.begin(), m_routes.end(), [](const Route &left, const Route &right) {
        return std::forward_as_tuple(left.host, right.pathPrefix.size(), left.pathPrefix)
            < std::forward_as_tuple(right.host, left.pathPrefix.size(), right.pathPrefix);
    });
    for (Service &service : services) {
        std::string name = service.name;
        m_services.insert_or_assign(std::move(name), std::move(service));
    }
}

const Route *Configuration::findRoute(std::string_view host, std::string_view path) const
{
    auto route =
        std::lower_bound(m_routes.begin(), m_routes.end(), host, [](const Route &other, std::string_view wanted) {
            return other.host < wanted;
        });
    const auto hostEnd = std::partition_point(route, m_routes.end(), [host](const Route &other) {
        return other.host == host;
    });
    while (route != hostEnd) { // the routes whose prefixes have the same length
        const std::size_t length = route->pathPrefix.size();
        const auto lengthEnd = std::partition_point(route, hostEnd, [length](const Route &other) {
            return other.pathPrefix.size() == length;
        });
        if (length <= path.size()) {
            const std::string_view prefix = path.substr(0, length);
            const auto found =
                std::lower_bound(route, lengthEnd, prefix, [](const Route &other, std::string_view wanted) {
                    return other.pathPrefix < wanted;
                });
            if (found != lengthEnd && found->pathPrefix == prefix) {
                return &*found;
            }
        }
        route = lengthEnd;
    }
    return nullptr;
}

bool Configuration::takesPublicBatches(std::string_view host) const
{
    return std::any_of(m_routes.begin(), m_routes.end(), [host](const Route &route) {
        return route.host == host && route.kind == RouteKind::Batch && route.isPublic;
    });
}

std::vector<std::string> activeServices(const Route &route)
{
    std::vector<std::string> names;
    for (const WeightedService &service : route.services) {
        if (service.weight > 0) {
            names.push_back(service.service);
        }
    }
    return names;
}

std::optional<std::uint64_t> Configuration::largestMemory(const Route &route) const
{
    std::optional<std::uint64_t> largest;
    for (const std::string &name : activeServices(route)) {
        const auto service = m_services.find(name);
        if (service == m_services.end() || !service->second.engine || service->second.engine->memoryTokens == 0) {
            return std::nullopt;
        }
        largest = std::max(largest.value_or(0), service->second.engine->memoryTokens);
    }
    return largest;
}

} // namespace bergamot::fleet
