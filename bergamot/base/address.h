#pragma once

// An IPv4 address and a port. Host names are rejected; nothing is resolved through DNS.
//
//     Result<Address> address = parseAddress("127.0.0.1:8080");

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "bergamot/base/error.h"

namespace bergamot
{

struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const Address &) const = default;
};

/// Parses "a.b.c.d:port". The `InvalidArgument` error quotes `text` and gives the expected form.
Result<Address> parseAddress(std::string_view text);

/// Formats `address` as "a.b.c.d:port", the inverse of `parseAddress`.
std::string toString(const Address &address);

} // namespace bergamot
