#pragma once

// Message types shared by the HTTP client and server: header fields, request and response.

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/beast/core/string.hpp>

namespace bergamot::net
{

struct HeaderField
{
    std::string name;
    std::string value;
};

/// Header fields in the order in which they were received or added; names compare case-insensitively.
class HeaderFields
{
public:
    void add(std::string_view name, std::string_view value)
    {
        m_fields.push_back({std::string(name), std::string(value)});
    }

    void set(std::string_view name, std::string_view value)
    {
        remove(name);
        add(name, value);
    }

    void remove(std::string_view name)
    {
        std::erase_if(m_fields, [name](const HeaderField &field) {
            return sameName(field.name, name);
        });
    }

    /// The value of the first field with this name.
    std::optional<std::string_view> find(std::string_view name) const
    {
        for (const HeaderField &field : m_fields) {
            if (sameName(field.name, name)) {
                return field.value;
            }
        }
        return std::nullopt;
    }

    bool has(std::string_view name) const
    {
        return find(name).has_value();
    }

    const std::vector<HeaderField> &all() const
    {
        return m_fields;
    }

    static bool sameName(std::string_view left, std::string_view right)
    {
        return boost::beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
    }

private:
    std::vector<HeaderField> m_fields;
};

struct Request
{
    std::string method;
    std::string target; // path and query
    HeaderFields headers;
    std::string body;

    std::string_view path() const
    {
        return std::string_view(target).substr(0, target.find('?'));
    }

    /// The value of a query parameter, still percent-encoded.
    std::optional<std::string_view> query(std::string_view name) const;
};

struct ResponseHead
{
    int status = 0;
    HeaderFields headers;
};

struct Response
{
    int status = 200;
    HeaderFields headers;
    std::string body;
};

/// Whether this is the head of a successful response with a `text/event-stream` body.
bool isEventStream(const ResponseHead &head);

/// Decodes the percent-encoding of a query value; malformed escapes stay as they are.
std::string percentDecoded(std::string_view text);

/// Returns `headers` without the hop-by-hop fields: `Connection` and the fields that it names, framing and upgrades.
HeaderFields withoutHopByHopFields(const HeaderFields &headers);

} // namespace bergamot::net
