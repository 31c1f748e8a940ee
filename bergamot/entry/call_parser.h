#pragma once

// Parses a caller's HTTP request into the target, the properties that the router needs, and the request to send to the
// endpoint.
//
//     Result<CallerCall> call = parseCall(request, *table.read(), now);

#include <optional>
#include <string>

#include "bergamot/http/message.h"
#include "bergamot/routing/request.h"
#include "bergamot/routing/routing_table.h"

namespace bergamot
{

/// A parsed request of a caller.
struct CallerCall
{
    CallerRequest facts; // `id` is not set
    std::string tenant; // "none" if the caller names none
    HttpRequest toEndpoint;
    std::optional<web::json::value> generation; // request body for an engine, without `request_id`
    std::string keyDigest; // digest of the request that the idempotency key identifies
};

/// Routes: `/v1/services/{service}/{path}` with any method and `POST /v1/models/{model}/generate`. An error names
/// the field and the accepted values; the request has not run.
Result<CallerCall> parseCall(const HttpRequest &request, const RoutingTable &table, TimePoint now);

/// Whether a header must not be forwarded because it concerns only one hop.
bool isConnectionHeader(std::string_view name);

} // namespace bergamot
