#include "bergamot/net/internal/response_text.h"

#include <array>
#include <cstdio>

#include <boost/beast/http/status.hpp>

namespace bergamot::net::internal
{

namespace
{

std::string_view reasonPhrase(int status)
{
    const boost::beast::string_view phrase =
        boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(static_cast<unsigned>(status)));
    return {phrase.data(), phrase.size()};
}

} // namespace

std::string responseHead(int status, const HeaderFields &headers, bool close)
{
    std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
    head += reasonPhrase(status);
    head += "\r\n";
    for (const HeaderField &field : headers.all()) {
        head += field.name + ": " + field.value + "\r\n";
    }
    if (close) {
        head += "Connection: close\r\n";
    }
    return head;
}

std::string chunk(std::string_view data)
{
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    std::string framed(size.data());
    framed += data;
    return framed + "\r\n";
}

} // namespace bergamot::net::internal
