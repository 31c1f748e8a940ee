#pragma once

// Helpers to read the platform's JSON; for bergamot/platform only.

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include "bergamot/base/json.h"

namespace bergamot::platform_internal
{

/// An unsigned field that fits into 32 bits.
inline std::uint32_t unsigned32(FieldReader &reader, const std::string &name, std::uint32_t fallback)
{
    const std::uint64_t number = reader.optionalUnsigned(name, fallback);
    if (number > std::numeric_limits<std::uint32_t>::max()) {
        reader.reject(name, "must be below 4294967296");
        return fallback;
    }
    return static_cast<std::uint32_t>(number);
}

/// Reads each element of the required array `name` of `json` with `parse(element, path of the element)`.
template<typename T>
Result<std::vector<T>> readList(const web::json::value &json,
                                const std::string &path,
                                const std::string &name,
                                Result<T> (*parse)(const web::json::value &, const std::string &))
{
    FieldReader reader(json, path);
    const std::vector<web::json::value> elements = reader.optionalArray(name);
    if (!reader.has(name)) {
        reader.reject(name, "must be an array");
    }
    if (const Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    std::vector<T> list;
    list.reserve(elements.size());
    for (std::size_t i = 0; i < elements.size(); ++i) {
        Result<T> element = parse(elements[i], path + "." + name + "[" + std::to_string(i) + "]");
        if (!element) {
            return tl::unexpected(element.error());
        }
        list.push_back(std::move(*element));
    }
    return list;
}

} // namespace bergamot::platform_internal
