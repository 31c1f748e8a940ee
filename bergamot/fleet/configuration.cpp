#include "bergamot/fleet/configuration.h"

#include <algorithm>

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
        if (left.host != right.host) {
            return left.host < right.host;
        }
        return left.pathPrefix.size() > right.pathPrefix.size();
    });
    for (Service &service : services) {
        std::string name = service.name;
        m_services.insert_or_assign(std::move(name), std::move(service));
    }
}

const Route *Configuration::findRoute(std::string_view host, std::string_view path) const
{
    const auto first =
        std::lower_bound(m_routes.begin(), m_routes.end(), host, [](const Route &route, std::string_view wanted) {
            return route.host < wanted;
        });
    for (auto route = first; route != m_routes.end() && route->host == host; ++route) {
        if (path.starts_with(route->pathPrefix)) {
            return &*route;
        }
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
