#pragma once

// Responses as they go over a connection.

#include <string>
#include <string_view>

#include "bergamot/net/message.h"

namespace bergamot::net::internal
{

/// Status line and fields, without the blank line that ends them.
std::string responseHead(int status, const HeaderFields &headers, bool close);
/// One piece of a body that is sent in chunks.
std::string chunk(std::string_view data);

} // namespace bergamot::net::internal
