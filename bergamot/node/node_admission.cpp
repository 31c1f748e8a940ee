// Callers: who they are, and whether their calls are served.

#include "bergamot/net/status.h"
#include "bergamot/node/node.h"
#include "bergamot/node/request_host.h"

namespace bergamot::node
{

using namespace net::status;

void Node::handleCall(std::shared_ptr<net::Exchange> exchange)
{
    const ServiceCall call = m_codec.parseServiceCall(exchange->request());
    if (std::holds_alternative<ReadinessCall>(call)) {
        handleReadiness(exchange);
    } else if (const auto *bad = std::get_if<MalformedCall>(&call)) {
        refuse(*exchange, BadRequest, bad->problem);
    } else {
        admitCall(call, std::move(exchange), false);
    }
}

bool Node::isPublic(const ServiceCall &call, const net::Request &request) const
{
    const std::string_view host = hostOf(request);
    if (!std::holds_alternative<RoutedCall>(call)) {
        return m_view.configuration().takesPublicBatches(host);
    }
    const fleet::Route *route = m_view.configuration().findRoute(host, request.path());
    return route == nullptr || route->isPublic; // what no route serves is denied to everybody alike
}

void Node::admitCall(const ServiceCall &call, std::shared_ptr<net::Exchange> exchange, bool confirmed)
{
    const std::optional<tenants::TenantIndex> &index = m_view.configuration().tenants();
    if (!index) {
        if (m_view.configuration().version() == 0 && exchange->request().headers.has(m_codec.headers().credentials)) {
            refuse(*exchange, Unavailable, "no configuration yet");
        } else {
            serveCall(call, {}, std::move(exchange));
        }
        return;
    }
    const HeaderNames &names = m_codec.headers();
    const net::Request &request = exchange->request();
    const tenants::Credentials credentials =
        tenants::parseCredentials(request.headers, names.credentials, names.keyScheme);
    const tenants::Admission admission = tenants::admit(*index, isPublic(call, request), credentials);
    const bool outdated =
        m_options.strictRevocation && m_view.configurationAge(BootClock::now()) > m_options.revocationBound;
    if (admission.verdict == tenants::Verdict::Admitted && admission.tenant != nullptr && outdated) {
        refuse(*exchange, Unavailable, "the keys of the configuration may have been revoked");
    } else if (admission.verdict == tenants::Verdict::Admitted) {
        Caller caller{.known = true};
        if (admission.tenant != nullptr) {
            caller.tenant = admission.tenant->name;
            caller.key = credentials.key;
        }
        serveCall(call, caller, std::move(exchange));
    } else if (admission.verdict == tenants::Verdict::UnknownKey && !confirmed) {
        admitUnknownKey(call, exchange);
    } else {
        refuse(*exchange, Unauthorized, admission.reason);
    }
}

void Node::admitUnknownKey(const ServiceCall &call, const std::shared_ptr<net::Exchange> &exchange)
{
    const auto disconnected = std::make_shared<bool>(false);
    exchange->onCallerDisconnected([disconnected] {
        *disconnected = true;
    });
    m_view.confirmConfiguration([this, call, exchange, disconnected](bool confirmed) {
        if (*disconnected) {
            return;
        }
        if (confirmed) {
            admitCall(call, exchange, true);
        } else {
            refuse(*exchange, Unavailable, "unknown key in a configuration that may be stale");
        }
    });
}

void Node::serveCall(const ServiceCall &call, const Caller &caller, std::shared_ptr<net::Exchange> exchange)
{
    const auto scoped = [&caller](const std::string &batch) {
        return caller.known ? tenants::scopedId(caller.tenant, batch) : batch;
    };
    const Duration timeLeft = m_stopPolicy.timeLeft(BootClock::now());
    if (timeLeft == Duration::zero()) {
        refuse(*exchange, Unavailable, "stopping", retryAfterStop());
    } else if (std::holds_alternative<RoutedCall>(call)) {
        routeRequest(caller, std::move(exchange));
    } else if (const auto *read = std::get_if<ReadResultsCall>(&call)) {
        m_batchService.readResults(
            {.batch = scoped(read->batch), .after = read->after, .wait = std::min(read->wait, timeLeft)},
            std::move(exchange));
    } else if (const auto *item = std::get_if<ReadItemCall>(&call)) {
        m_batchService.readItem({.batch = scoped(item->batch), .item = item->item}, std::move(exchange));
    } else if (const auto *end = std::get_if<EndBatchCall>(&call)) {
        m_batchService.end({.batch = scoped(end->batch)}, std::move(exchange));
    }
}

} // namespace bergamot::node
