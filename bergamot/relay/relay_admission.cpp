#include "bergamot/relay/relay_admission.h"

#include <algorithm>

namespace bergamot::relay
{

namespace
{

RelayDecision outdated(std::string_view reason)
{
    return {.verdict = RelayVerdict::Outdated, .reason = reason};
}

RelayDecision notReadYet(std::string_view reason)
{
    return {.verdict = RelayVerdict::NotReadYet, .reason = reason};
}

/// Whether the configuration still admits the caller.
bool admitsCaller(const RequestBasis &basis, std::string_view tenant, const LocalView &view)
{
    if (view.tenants == nullptr) {
        return true;
    }
    if (basis.callerKey) {
        const tenants::Tenant *holder = view.tenants->find(*basis.callerKey);
        return holder != nullptr && holder->name == tenant;
    }
    if (tenant.empty()) {
        return view.route->isPublic;
    }
    // An earlier build of this program tells no key.
    const std::vector<tenants::Tenant> &tenants = view.tenants->tenants();
    return std::any_of(tenants.begin(), tenants.end(), [tenant](const tenants::Tenant &known) {
        return known.name == tenant;
    });
}

/// The decision by the own configuration, which is not older than that of the other instance.
RelayDecision decideByOwnRoute(const RelayedRequest &request, std::string_view tenant, const LocalView &view)
{
    if (view.route == nullptr) {
        return outdated("the route was removed");
    }
    if (view.route->kind != request.route.kind) {
        return outdated("the route is of another kind");
    }
    const bool scores = !request.basis.batch.empty();
    if (!scores && !admitsCaller(request.basis, tenant, view)) {
        return outdated("the caller's key was revoked");
    }
    const std::vector<std::string> services = fleet::activeServices(*view.route);
    if (services.empty()) {
        return outdated("no service of the route takes traffic");
    }
    const bool keepsService = std::find(services.begin(), services.end(), request.service) != services.end();
    if (!keepsService && !request.softwareVersion.empty()) {
        return outdated("the service that began the stream takes no traffic of the route");
    }
    RelayDecision decision{.route = *view.route, .service = keepsService ? request.service : std::string()};
    decision.route.maxAttempts = std::min(request.route.maxAttempts, std::max(1U, view.route->maxAttempts));
    decision.route.timeout = std::min(request.deadlineLeft, view.route->timeout);
    return decision;
}

} // namespace

RelayDecision decideScoring(const RequestBasis &basis, const LocalView &view)
{
    if (basis.batch.empty()) {
        return {};
    }
    if (view.ownerEpoch > basis.ownerEpoch) {
        return outdated("another instance owns the pool");
    }
    if (view.batchOpen == false) {
        return outdated("the batch has ended");
    }
    if (view.ownerEpoch < basis.ownerEpoch) {
        return notReadYet("the owner of the pool is not known here");
    }
    if (!view.batchOpen) {
        return notReadYet("the batch is not known here");
    }
    return {};
}

RelayDecision decideRelay(const RelayedRequest &request, std::string_view tenant, const LocalView &view)
{
    if (request.owed && request.basis.batch.empty()) {
        return notReadYet("the scored batch is not named"); // by an earlier build of this program
    }
    if (RelayDecision scoring = decideScoring(request.basis, view); scoring.verdict != RelayVerdict::Send) {
        return scoring;
    }
    if (view.configuration == 0) {
        return notReadYet("no configuration yet");
    }
    if (view.configuration >= request.basis.configuration) {
        return decideByOwnRoute(request, tenant, view);
    }
    RelayDecision decision{.route = request.route, .service = request.service};
    decision.route.timeout = request.deadlineLeft;
    return decision;
}

std::string_view relayVerdictName(RelayVerdict verdict)
{
    switch (verdict) {
    case RelayVerdict::Outdated:
        return "outdated";
    case RelayVerdict::NotReadYet:
        return "not-read-yet";
    case RelayVerdict::Send:
        break;
    }
    return "send";
}

} // namespace bergamot::relay
