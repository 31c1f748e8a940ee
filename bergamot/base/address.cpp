#include "bergamot/base/address.h"

#include <arpa/inet.h>

#include <charconv>

namespace bergamot
{

Result<Address> parseAddress(std::string_view text)
{
    const std::string errorMessage =
        "'" + std::string(text) + "' is not a valid address; expected IP:PORT, for example 127.0.0.1:8080";
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return failure(ErrorCode::InvalidArgument, errorMessage);
    }
    Address address;
    address.ip = std::string(text.substr(0, colon));
    in_addr parsed{};
    if (inet_pton(AF_INET, address.ip.c_str(), &parsed) != 1) {
        return failure(ErrorCode::InvalidArgument, errorMessage);
    }
    const std::string_view port = text.substr(colon + 1);
    const auto [end, status] = std::from_chars(port.data(), port.data() + port.size(), address.port);
    if (status != std::errc() || end != port.data() + port.size()) {
        return failure(ErrorCode::InvalidArgument, errorMessage);
    }
    return address;
}

std::string toString(const Address &address)
{
    return address.ip + ":" + std::to_string(address.port);
}

} // namespace bergamot
