#pragma once

// Serializes HTTP/1.1 responses.

#include <string>
#include <string_view>

#include "bergamot/net/message.h"

namespace bergamot::net::internal
{

/// The status line and header fields, without the blank line that ends the head.
std::string responseHead(int status, const HeaderFields &headers, bool close);
/// `data` framed as one chunk of a body with chunked transfer encoding.
std::string chunk(std::string_view data);

} // namespace bergamot::net::internal
