#pragma once

// The hash chain over evidence records. Each record's hash covers its canonical JSON and the hash before it, so a
// record cannot be changed, dropped or reordered without breaking every later hash.
//
//     std::string hash = chainStart("instance-1", incarnation);
//     hash = chainHash(hash, record);

#include <cstdint>
#include <string>
#include <string_view>

#include <cpprest/json.h>

namespace bergamot
{

/// The hash before the first record of a process.
std::string chainStart(std::string_view instance, std::uint64_t incarnation);

/// The hash after `record`. Object fields are hashed in the order of their names, whatever order they arrived in.
std::string chainHash(std::string_view previous, const web::json::value &record);

} // namespace bergamot
