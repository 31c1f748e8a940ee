#pragma once

// Reads JSON from untrusted sources. All errors are reported at once, each with the field and the remedy.
//
//     Result<web::json::value> body = parseJson(text);
//     FieldReader reader(*body, "intent");
//     const std::string id = reader.requiredString("id");
//     const std::uint64_t bound = reader.optionalUnsigned("staleness_bound", 1);
//     if (Result<void> read = reader.finish(); !read) {
//         return tl::unexpected(read.error());
//     }

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <cpprest/json.h>

#include "bergamot/base/error.h"

namespace bergamot
{

/// Parses `text`; never throws. Returns `InvalidArgument` if it is not JSON or nested deeper than the parser allows.
Result<web::json::value> parseJson(std::string_view text);

/// Reads the fields of one JSON object and collects every error. Not thread-safe; `object` must outlive it.
class FieldReader
{
public:
    /// `path` prefixes the names of the fields in errors.
    FieldReader(const web::json::value &object, std::string path);

    std::string requiredString(const std::string &name);
    std::string optionalString(const std::string &name, std::string fallback);
    std::uint64_t requiredUnsigned(const std::string &name);
    std::uint64_t optionalUnsigned(const std::string &name, std::uint64_t fallback);
    double optionalNumber(const std::string &name, double fallback);
    bool optionalBool(const std::string &name, bool fallback);
    /// The array's elements, or none if the field is missing.
    std::vector<web::json::value> optionalArray(const std::string &name);
    /// The object, or an empty one if the field is missing.
    web::json::value optionalObject(const std::string &name);
    bool has(const std::string &name) const;
    /// Adds an error for each field of the object that is not in `known`.
    void rejectUnknown(const std::vector<std::string> &known);
    /// Adds an error for a field whose value is well formed but not allowed. `problem` follows the field's name.
    void reject(const std::string &name, const std::string &problem);

    /// Success, or one `InvalidArgument` that lists every error.
    Result<void> finish() const;

private:
    const web::json::value *find(const std::string &name) const;

    const web::json::value &m_object;
    std::string m_path;
    std::vector<std::string> m_errors;
};

} // namespace bergamot
