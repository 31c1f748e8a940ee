#pragma once

// Seeded damage to a valid input: bits flipped, bytes cut off, inserted, repeated, and JSON values replaced by odd
// ones.
//
//     std::mt19937_64 random(seed);
//     const std::string damaged = mutate(valid, random);

#include <random>
#include <string>
#include <string_view>

namespace bergamot
{

/// The same for the same state of `random`.
std::string mutate(std::string_view valid, std::mt19937_64 &random);

} // namespace bergamot
