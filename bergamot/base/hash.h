#pragma once

// Hashes by libraries: xxHash for placement (fast, stable over versions and machines), SHA-256 for evidence.

#include <cstdint>
#include <string>
#include <string_view>

namespace bergamot
{

/// A stable 64-bit hash; equal on every instance and program version.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

/// The weight of `candidate` for `key` in rendezvous hashing: the candidate with the highest one is chosen.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

/// SHA-256 of `text`, as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view text);

} // namespace bergamot
