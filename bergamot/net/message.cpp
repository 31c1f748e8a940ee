#include "bergamot/net/message.h"

#include <array>
#include <charconv>

namespace bergamot::net
{

namespace
{

constexpr std::array<std::string_view, 9> HopByHopFields{"Connection",
                                                         "Keep-Alive",
                                                         "Proxy-Connection",
                                                         "Proxy-Authenticate",
                                                         "TE",
                                                         "Trailer",
                                                         "Transfer-Encoding",
                                                         "Content-Length",
                                                         "Upgrade"};

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool listedInConnection(std::string_view connection, std::string_view field)
{
    while (!connection.empty()) {
        const std::size_t comma = connection.find(',');
        if (HeaderFields::sameName(trimmed(connection.substr(0, comma)), field)) {
            return true;
        }
        connection = comma == std::string_view::npos ? std::string_view() : connection.substr(comma + 1);
    }
    return false;
}

} // namespace

std::optional<std::string_view> Request::query(std::string_view name) const
{
    const std::size_t questionMark = target.find('?');
    std::string_view rest =
        questionMark == std::string::npos ? std::string_view() : std::string_view(target).substr(questionMark + 1);
    while (!rest.empty()) {
        const std::size_t end = rest.find('&');
        const std::string_view pair = rest.substr(0, end);
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name) {
            return equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1);
        }
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    }
    return std::nullopt;
}

HeaderFields withoutHopByHopFields(const HeaderFields &headers)
{
    const std::string_view connection = headers.find("Connection").value_or(std::string_view());
    HeaderFields kept;
    for (const HeaderField &field : headers.all()) {
        const bool hopByHop = std::any_of(HopByHopFields.begin(), HopByHopFields.end(), [&](std::string_view name) {
            return HeaderFields::sameName(name, field.name);
        });
        if (!hopByHop && !listedInConnection(connection, field.name)) {
            kept.add(field.name, field.value);
        }
    }
    return kept;
}

bool isEventStream(const ResponseHead &head)
{
    constexpr std::string_view EventStream = "text/event-stream";
    const std::string_view type = head.headers.find("Content-Type").value_or("");
    const bool success = head.status >= 200 && head.status < 300;
    return success && HeaderFields::sameName(type.substr(0, EventStream.size()), EventStream);
}

std::string percentDecoded(std::string_view text)
{
    constexpr int Hexadecimal = 16;
    std::string decoded;
    for (std::size_t position = 0; position < text.size(); ++position) {
        unsigned int byte = 0;
        const char *digits = text.data() + position + 1;
        const bool escaped = text[position] == '%' && position + 2 < text.size()
            && std::from_chars(digits, digits + 2, byte, Hexadecimal).ptr == digits + 2;
        decoded += escaped ? static_cast<char>(byte) : text[position];
        position += escaped ? 2 : 0;
    }
    return decoded;
}

} // namespace bergamot::net
