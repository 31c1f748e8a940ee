#pragma once

// An IP number and a port. Names are never resolved.
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

/// Reads "a.b.c.d:port". The error names the text and the expected form.
Result<Address> parseAddress(std::string_view text);

/// The inverse of `parseAddress`.
std::string toString(const Address &address);

} // namespace bergamot
