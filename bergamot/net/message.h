#pragma once

// What the HTTP client and server of this package hand to their users: header fields in order, request, response.

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

/// Header fields in the order in which they came; names compare without regard to case.
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

    /// The value of the first field of that name.
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

    /// The raw value of a query parameter.
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

/// Undoes the percent-encoding of a query value.
std::string percentDecoded(std::string_view text);

/// Drops the fields that concern a single connection: `Connection` and what it names, framing, upgrades.
HeaderFields endToEnd(const HeaderFields &headers);

} // namespace bergamot::net
