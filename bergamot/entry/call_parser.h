#pragma once

// Reads a caller's HTTP request: which target it is for, what the router needs to know of it, and the request that its
// endpoint will get.
//
//     Result<CallerCall> call = parseCall(request, *table.read(), now);

#include <optional>
#include <string>

#include "bergamot/http/message.h"
#include "bergamot/routing/request.h"
#include "bergamot/routing/routing_table.h"

namespace bergamot
{

struct CallerCall
{
    CallerRequest facts; // without its id
    std::string tenant; // "none" if the caller names none
    HttpRequest toEndpoint;
    std::optional<web::json::value> generation; // the body for an engine, without its request_id
    std::string keyDigest; // of what a key stands for
};

/// Routes: `/v1/services/{service}/{path}` with any method and `POST /v1/models/{model}/generate`. Errors name the
/// field and the remedy; nothing has run then.
Result<CallerCall> parseCall(const HttpRequest &request, const RoutingTable &table, TimePoint now);

/// Whether a header describes one connection only and must not be passed on.
bool isConnectionHeader(std::string_view name);

} // namespace bergamot
