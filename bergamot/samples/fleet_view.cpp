#include "bergamot/samples/fleet_view.h"

#include "bergamot/base/json.h"
#include "bergamot/routing/routing_view.h"

namespace bergamot
{

namespace
{

std::optional<EngineView> readEngine(const inner::EndpointT &endpoint)
{
    const Result<Address> address = parseAddress(endpoint.address);
    if (endpoint.kind != inner::EndpointKind::Engine || !address) {
        return std::nullopt;
    }
    return EngineView{.engine = EndpointId(endpoint.id),
                      .model = ModelId(endpoint.serves),
                      .address = *address,
                      .version = endpoint.version,
                      .loading = endpoint.loading,
                      .running = endpoint.running,
                      .waiting = endpoint.waiting,
                      .slots = endpoint.slots,
                      .leaving = endpoint.leaving,
                      .reachable = endpoint.reachable};
}

} // namespace

Result<FleetState> readFleetState(const inner::ViewT &view)
{
    FleetState fleetState;
    for (const auto &endpoint : view.endpoints) {
        if (std::optional<EngineView> engine = readEngine(*endpoint)) {
            fleetState.engines.push_back(std::move(*engine));
        }
    }
    for (const auto &published : view.published) {
        fleetState.published[ModelId(published->model)] = published->version;
    }
    fleetState.suspects = fromFrames(view.suspects);
    if (view.configuration.empty()) {
        return fleetState;
    }
    const Result<web::json::value> json = parseJson(view.configuration);
    if (!json) {
        return tl::unexpected(json.error());
    }
    Result<Configuration> configuration = parseConfiguration(*json);
    if (!configuration) {
        return tl::unexpected(configuration.error());
    }
    fleetState.trainers = std::move(configuration->trainers);
    fleetState.models = std::move(configuration->models);
    return fleetState;
}

} // namespace bergamot
