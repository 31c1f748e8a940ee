#pragma once

// Every reader of input from outside, with valid inputs to damage and the rules that hold whatever comes.
//
//     for (const FuzzTarget &target : fuzzTargets()) {
//         const FuzzReport report = fuzz(target, {.seed = 7, .count = 10'000});
//     }

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bergamot
{

enum class FuzzVerdict {
    Refused, // with an error that says what is wrong
    Accepted, // and reads the same when it is written and read again
    Broken, // breaks a rule
};

struct FuzzTarget
{
    std::string name;
    std::vector<std::string> valid; // at least one; each is accepted undamaged
    FuzzVerdict (*judge)(std::string_view input) = nullptr;
};

struct FuzzOptions
{
    std::uint64_t seed = 1;
    std::uint64_t count = 1000; // damaged inputs
};

struct FuzzReport
{
    std::uint64_t refused = 0;
    std::uint64_t accepted = 0;
    std::vector<std::string> broken; // the inputs
};

const std::vector<FuzzTarget> &fuzzTargets();

/// Deterministic for a seed. An exception that leaves the reader breaks a rule.
FuzzReport fuzz(const FuzzTarget &target, const FuzzOptions &options);

} // namespace bergamot
