#include "bergamot/routing/routing_view.h"

#include "bergamot/routing/request.h"

namespace bergamot
{

namespace
{

constexpr Duration ModelTimeout = std::chrono::minutes(2);

std::map<std::string, RoutedTarget> configuredTargets(const Configuration &configuration)
{
    std::map<std::string, RoutedTarget> targets;
    for (const auto &[model, config] : configuration.models) {
        targets[modelTarget(model)].defaultTimeout = ModelTimeout;
    }
    for (const auto &[service, config] : configuration.services) {
        RoutedTarget &target = targets[serviceTarget(service)];
        target.repeatablePaths = config.repeatablePaths;
        target.defaultTimeout = std::chrono::milliseconds(config.timeoutMilliseconds);
    }
    return targets;
}

std::string targetOf(const inner::EndpointT &endpoint)
{
    return endpoint.kind == inner::EndpointKind::Engine ? modelTarget(ModelId(endpoint.serves))
                                                        : serviceTarget(ServiceId(endpoint.serves));
}

RoutedEndpoint routedEndpoint(const inner::EndpointT &endpoint, Address address)
{
    return {
        .id = EndpointId(endpoint.id),
        .domain = FailureDomainId(endpoint.domain),
        .address = std::move(address),
        .leaving = endpoint.leaving,
        .reachable = endpoint.reachable,
        .loading = endpoint.loading != 0,
        .load = endpoint.running + endpoint.waiting,
        .slots = endpoint.slots,
        .loadAge = std::chrono::milliseconds(endpoint.load_age_ms),
    };
}

} // namespace

RoutingTable routingTable(const inner::ViewT &view, const Configuration &configuration)
{
    RoutingTable table;
    table.configVersion = view.config_version;
    table.targets = configuredTargets(configuration);
    table.suspects = fromFrames(view.suspects);
    for (const std::unique_ptr<inner::EndpointT> &endpoint : view.endpoints) {
        const auto target = table.targets.find(targetOf(*endpoint));
        Result<Address> address = parseAddress(endpoint->address);
        if (target != table.targets.end() && address) {
            target->second.endpoints.push_back(routedEndpoint(*endpoint, std::move(*address)));
        }
    }
    return table;
}

std::vector<std::unique_ptr<inner::SuspectT>> toFrames(const std::vector<SuspectReport> &reports)
{
    std::vector<std::unique_ptr<inner::SuspectT>> frames;
    for (const SuspectReport &report : reports) {
        auto frame = std::make_unique<inner::SuspectT>();
        frame->fingerprint = report.fingerprint;
        frame->cleared = report.cleared;
        frame->ran_alone = report.ranAlone;
        for (const EndpointId &endpoint : report.endpoints) {
            frame->endpoints.push_back(endpoint.value());
        }
        frames.push_back(std::move(frame));
    }
    return frames;
}

std::vector<SuspectReport> fromFrames(const std::vector<std::unique_ptr<inner::SuspectT>> &frames)
{
    std::vector<SuspectReport> reports;
    for (const std::unique_ptr<inner::SuspectT> &frame : frames) {
        SuspectReport report{.fingerprint = frame->fingerprint,
                             .endpoints = {},
                             .ranAlone = frame->ran_alone,
                             .cleared = frame->cleared};
        for (const std::string &endpoint : frame->endpoints) {
            report.endpoints.insert(EndpointId(endpoint));
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

} // namespace bergamot
