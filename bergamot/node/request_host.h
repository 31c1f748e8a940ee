#pragma once

// The host that a request names.
//
//     configuration.findRoute(hostOf(request), request.path());

#include <string_view>

#include "bergamot/net/message.h"

namespace bergamot::node
{

/// Without its port; empty if the request names none.
inline std::string_view hostOf(const net::Request &request)
{
    const std::string_view host = request.headers.find("Host").value_or("");
    return host.substr(0, host.find(':'));
}

} // namespace bergamot::node
