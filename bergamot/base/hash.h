#pragma once

// Hash functions: xxHash for placement (fast, equal on all versions and machines), SHA-256 for the audit log and
// digests.

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace bergamot
{

/// A 64-bit hash that is equal on every instance and program version. Not cryptographic.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

/// The weight of `candidate` for `key` in rendezvous hashing, which chooses the candidate with the highest weight.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

using Sha256Digest = std::array<unsigned char, 32>;

Sha256Digest sha256(std::string_view text);

/// SHA-256 of `text`, as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view text);

} // namespace bergamot
