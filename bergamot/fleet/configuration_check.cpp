#include "bergamot/fleet/configuration_check.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <set>
#include <utility>

namespace bergamot::fleet
{

namespace
{

std::string subjectOf(const Route &route)
{
    return "route " + route.name + " (" + route.host + " " + route.pathPrefix + ")";
}

std::string subjectOf(const Service &service)
{
    return "service " + service.name;
}

std::string subjectOf(const tenants::Tenant &tenant)
{
    return "tenant " + tenant.name;
}

bool namesUnlistedService(const Configuration &configuration, const Route &route)
{
    return std::any_of(route.services.begin(), route.services.end(), [&configuration](const WeightedService &service) {
        return !configuration.services().contains(service.service);
    });
}

bool sendsBatchesToPlainService(const Configuration &configuration, const Route &route)
{
    return route.kind == RouteKind::Batch
        && std::any_of(route.services.begin(), route.services.end(), [&configuration](const WeightedService &service) {
               const auto found = configuration.services().find(service.service);
               return found != configuration.services().end() && !found->second.engine;
           });
}

bool isNamedByARoute(const Configuration &configuration, const Service &service)
{
    return std::any_of(configuration.routes().begin(), configuration.routes().end(), [&service](const Route &route) {
        return std::any_of(route.services.begin(), route.services.end(), [&service](const WeightedService &weighted) {
            return weighted.service == service.name;
        });
    });
}

template<typename Entry>
struct Rule
{
    Severity severity;
    std::string_view problem;
    bool (*broken)(const Configuration &configuration, const Entry &entry);
};

constexpr std::array<Rule<Route>, 11> RouteRules{{
    {Severity::Error,
     "no request matches, as the path prefix does not begin with '/'",
     [](const Configuration &, const Route &route) {
         return !route.pathPrefix.starts_with('/');
     }},
    {Severity::Error,
     "names no service",
     [](const Configuration &, const Route &route) {
         return route.services.empty();
     }},
    {Severity::Error, "names a service that is not listed", namesUnlistedService},
    {Severity::Error, "takes batches, but one of its services has no engines", sendsBatchesToPlainService},
    {Severity::Error,
     "lets a request be sent to no endpoint",
     [](const Configuration &, const Route &route) {
         return route.maxAttempts == 0;
     }},
    {Severity::Error,
     "has a time limit of zero",
     [](const Configuration &, const Route &route) {
         return route.kind == RouteKind::Batch ? route.retention <= Duration::zero()
                                               : route.timeout <= Duration::zero();
     }},
    {Severity::Warning,
     "takes no traffic, as all of its services have weight 0",
     [](const Configuration &, const Route &route) {
         return !route.services.empty() && activeServices(route).empty();
     }},
    {Severity::Warning,
     "its target latency is above its time limit",
     [](const Configuration &, const Route &route) {
         return route.kind != RouteKind::Batch && route.latencyObjective > route.timeout;
     }},
    {Severity::Warning,
     "its results are due after items may be given up",
     [](const Configuration &, const Route &route) {
         return route.kind == RouteKind::Batch && route.resultDeadline > route.retention;
     }},
    {Severity::Warning,
     "'resumable' has no effect, as it serves no streams",
     [](const Configuration &, const Route &route) {
         return route.resumable && route.kind != RouteKind::Streaming;
     }},
    {Severity::Warning,
     "'single version' has no effect, as it takes no batches",
     [](const Configuration &, const Route &route) {
         return route.singleVersion && route.kind != RouteKind::Batch;
     }},
}};

constexpr std::array<Rule<Service>, 3> ServiceRules{{
    {Severity::Error,
     "its engines run no request at a time",
     [](const Configuration &, const Service &service) {
         return service.engine && service.engine->slots == 0;
     }},
    {Severity::Warning,
     "its engines have no models",
     [](const Configuration &, const Service &service) {
         return service.engine && service.engine->models.empty();
     }},
    {Severity::Warning,
     "no route names it",
     [](const Configuration &configuration, const Service &service) {
         return !isNamedByARoute(configuration, service);
     }},
}};

constexpr std::array<Rule<tenants::Tenant>, 2> TenantRules{{
    {Severity::Error,
     "holds a key that another tenant holds as well, so nobody can use it",
     [](const Configuration &configuration, const tenants::Tenant &tenant) {
         return std::any_of(tenant.keys.begin(), tenant.keys.end(), [&configuration](const tenants::KeyDigest &key) {
             return configuration.tenants()->find(key) == nullptr;
         });
     }},
    {Severity::Warning,
     "has no key",
     [](const Configuration &, const tenants::Tenant &tenant) {
         return tenant.keys.empty();
     }},
}};

constexpr std::array<Rule<CallerLimits>, 2> LimitRules{{
    {Severity::Error,
     "a limit of zero lets no request in",
     [](const Configuration &, const CallerLimits &limits) {
         return limits.headerBytes == 0 || limits.bodyBytes == 0 || limits.headerTimeout <= Duration::zero()
             || limits.idleTimeout <= Duration::zero();
     }},
    {Severity::Warning,
     "a connection may be closed as idle before the time for its headers has passed",
     [](const Configuration &, const CallerLimits &limits) {
         return limits.idleTimeout < limits.headerTimeout;
     }},
}};

template<typename Entry, std::size_t Count>
void apply(const std::array<Rule<Entry>, Count> &rules,
           const Configuration &configuration,
           const Entry &entry,
           const std::string &subject,
           std::vector<Finding> &findings)
{
    for (const Rule<Entry> &rule : rules) {
        if (rule.broken(configuration, entry)) {
            findings.push_back({rule.severity, subject, std::string(rule.problem)});
        }
    }
}

void findDoubledRoutes(const Configuration &configuration, std::vector<Finding> &findings)
{
    std::set<std::pair<std::string, std::string>> seen;
    for (const Route &route : configuration.routes()) {
        if (!seen.emplace(route.host, route.pathPrefix).second) {
            findings.push_back({Severity::Error,
                                subjectOf(route),
                                "another route has the same host and path prefix, so one of them never matches"});
        }
    }
}

void checkTenants(const Configuration &configuration, std::vector<Finding> &findings)
{
    if (!configuration.tenants()) {
        return;
    }
    const std::vector<tenants::Tenant> &tenants = configuration.tenants()->tenants();
    const bool hasPublicRoute =
        std::any_of(configuration.routes().begin(), configuration.routes().end(), [](const Route &route) {
            return route.isPublic;
        });
    if (tenants.empty() && !hasPublicRoute) {
        findings.push_back({Severity::Error, "configuration", "nobody may call: it has no tenant and no public route"});
    }
    std::set<std::string> names;
    for (const tenants::Tenant &tenant : tenants) {
        if (!names.insert(tenant.name).second) {
            findings.push_back({Severity::Error, subjectOf(tenant), "is listed twice"});
        }
        apply(TenantRules, configuration, tenant, subjectOf(tenant), findings);
    }
}

template<typename Entry>
struct Field
{
    std::string_view name;
    bool (*differs)(const Entry &left, const Entry &right);
};

template<typename Entry, auto Member>
constexpr Field<Entry> field(std::string_view name)
{
    return {name, [](const Entry &left, const Entry &right) {
                return left.*Member != right.*Member;
            }};
}

constexpr std::array<Field<Route>, 12> RouteFields{{field<Route, &Route::name>("name"),
                                                    field<Route, &Route::kind>("kind"),
                                                    field<Route, &Route::services>("services"),
                                                    field<Route, &Route::timeout>("time limit"),
                                                    field<Route, &Route::latencyObjective>("target latency"),
                                                    field<Route, &Route::maxAttempts>("attempts"),
                                                    field<Route, &Route::priority>("priority"),
                                                    field<Route, &Route::resumable>("resumable"),
                                                    field<Route, &Route::isPublic>("public"),
                                                    field<Route, &Route::singleVersion>("single version"),
                                                    field<Route, &Route::resultDeadline>("due time of results"),
                                                    field<Route, &Route::retention>("retention")}};

constexpr std::array<Field<Service>, 2> ServiceFields{
    {field<Service, &Service::maxConnections>("connections"), field<Service, &Service::engine>("engines")}};

constexpr std::array<Field<tenants::Tenant>, 2> TenantFields{
    {field<tenants::Tenant, &tenants::Tenant::priority>("priority"),
     field<tenants::Tenant, &tenants::Tenant::keys>("keys")}};

constexpr std::array<Field<CallerLimits>, 4> LimitFields{
    {field<CallerLimits, &CallerLimits::headerBytes>("header bytes"),
     field<CallerLimits, &CallerLimits::bodyBytes>("body bytes"),
     field<CallerLimits, &CallerLimits::headerTimeout>("header time limit"),
     field<CallerLimits, &CallerLimits::idleTimeout>("idle time limit")}};

template<typename Entry, std::size_t Count>
std::string changedFields(const std::array<Field<Entry>, Count> &fields, const Entry &left, const Entry &right)
{
    std::string names;
    for (const Field<Entry> &field : fields) {
        if (field.differs(left, right)) {
            names += (names.empty() ? "" : ", ") + std::string(field.name);
        }
    }
    return names;
}

/// Entries by what tells them apart; of several with the same key, the first one.
template<typename Key, typename Entry>
using EntryMap = std::map<Key, std::reference_wrapper<const Entry>>;

template<typename Key, typename Entry, std::size_t Count>
void compare(const EntryMap<Key, Entry> &before,
             const EntryMap<Key, Entry> &after,
             const std::array<Field<Entry>, Count> &fields,
             std::vector<Difference> &found)
{
    for (const auto &[key, entry] : before) {
        if (!after.contains(key)) {
            found.push_back({subjectOf(entry.get()), "removed"});
        }
    }
    for (const auto &[key, entry] : after) {
        const auto earlier = before.find(key);
        if (earlier == before.end()) {
            found.push_back({subjectOf(entry.get()), "added"});
            continue;
        }
        const std::string changed = changedFields(fields, earlier->second.get(), entry.get());
        if (!changed.empty()) {
            found.push_back({subjectOf(entry.get()), changed});
        }
    }
}

EntryMap<std::pair<std::string, std::string>, Route> routesOf(const Configuration &configuration)
{
    EntryMap<std::pair<std::string, std::string>, Route> routes;
    for (const Route &route : configuration.routes()) {
        routes.emplace(std::pair(route.host, route.pathPrefix), std::cref(route));
    }
    return routes;
}

EntryMap<std::string, Service> servicesOf(const Configuration &configuration)
{
    EntryMap<std::string, Service> services;
    for (const auto &[name, service] : configuration.services()) {
        services.emplace(name, std::cref(service));
    }
    return services;
}

EntryMap<std::string, tenants::Tenant> tenantsOf(const Configuration &configuration)
{
    EntryMap<std::string, tenants::Tenant> tenants;
    if (configuration.tenants()) {
        for (const tenants::Tenant &tenant : configuration.tenants()->tenants()) {
            tenants.emplace(tenant.name, std::cref(tenant));
        }
    }
    return tenants;
}

} // namespace

std::string_view severityName(Severity severity)
{
    return severity == Severity::Error ? "error" : "warning";
}

std::vector<Finding> checkConfiguration(const Configuration &configuration)
{
    std::vector<Finding> findings;
    if (configuration.version() == 0) {
        findings.push_back({Severity::Error, "configuration", "version 0 is never in force"});
    }
    for (const Route &route : configuration.routes()) {
        apply(RouteRules, configuration, route, subjectOf(route), findings);
    }
    findDoubledRoutes(configuration, findings);
    for (const auto &[name, service] : configuration.services()) {
        apply(ServiceRules, configuration, service, subjectOf(service), findings);
    }
    checkTenants(configuration, findings);
    apply(LimitRules, configuration, configuration.limits(), "limits", findings);
    return findings;
}

std::vector<Finding> checkSuccession(const Configuration &inForce, const Configuration &next)
{
    std::vector<Finding> findings;
    if (next.version() <= inForce.version()) {
        findings.push_back({Severity::Error,
                            "configuration",
                            "version " + std::to_string(next.version()) + " is not above version "
                                + std::to_string(inForce.version()) + ", which is in force"});
    }
    if (inForce.tenants() && !next.tenants()) {
        findings.push_back({Severity::Warning, "configuration", "callers need no keys any longer"});
    }
    return findings;
}

std::vector<Difference> differences(const Configuration &inForce, const Configuration &next)
{
    std::vector<Difference> found;
    compare(routesOf(inForce), routesOf(next), RouteFields, found);
    compare(servicesOf(inForce), servicesOf(next), ServiceFields, found);
    compare(tenantsOf(inForce), tenantsOf(next), TenantFields, found);
    const std::string limits = changedFields(LimitFields, inForce.limits(), next.limits());
    if (!limits.empty()) {
        found.push_back({"limits", limits});
    }
    return found;
}

} // namespace bergamot::fleet
