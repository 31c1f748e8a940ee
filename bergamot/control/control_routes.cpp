#include "bergamot/control/control_routes.h"

namespace bergamot
{

namespace
{

web::json::value toJson(const InstanceStatus &status)
{
    web::json::value json = web::json::value::object();
    json["instance"] = web::json::value::string(status.instance.value());
    json["domain"] = web::json::value::string(status.domain.value());
    json["config_version"] = web::json::value::number(status.configVersion);
    json["condition"] = web::json::value::string(std::string(conditionName(status.condition)));
    json["draining"] = web::json::value::boolean(status.draining);
    return json;
}

} // namespace

HttpResponse readinessResponse(const Readiness &readiness)
{
    if (readiness.isDraining) {
        return {.status = 503, .body = R"({"ready":false,"reason":"draining"})"};
    }
    if (readiness.isCaughtUp || readiness.configVersion > 0) {
        return {.body = R"({"ready":true})"};
    }
    return {.status = 503, .body = R"({"ready":false,"reason":"neither the log nor a peer has answered yet"})"};
}

HttpResponse fleetResponse(const FleetStatus &status, const Dissemination &dissemination)
{
    web::json::value json = web::json::value::object();
    json["config_version"] = web::json::value::number(status.newestVersion);
    json["in_force"] = web::json::value::number(static_cast<std::uint64_t>(status.inForce));
    json["confirmed"] = web::json::value::boolean(dissemination.isConfirmed());
    json["relay"] = web::json::value::boolean(dissemination.isRelay());
    std::vector<web::json::value> instances;
    std::transform(status.instances.begin(), status.instances.end(), std::back_inserter(instances), toJson);
    json["instances"] = web::json::value::array(std::move(instances));
    std::vector<web::json::value> missing;
    for (const InstanceStatus &instance : status.missing()) {
        missing.push_back(web::json::value::string(instance.instance.value()));
    }
    json["missing"] = web::json::value::array(std::move(missing));
    return {.body = json.serialize()};
}

} // namespace bergamot
