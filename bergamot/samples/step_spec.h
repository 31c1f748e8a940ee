#pragma once

// What a trainer hands in for one step: groups of samples, each group with one prompt.
//
//     Result<StepSpec> spec = parseStepSpec(body, StepLimits {});

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include <cpprest/json.h>

#include "bergamot/base/error.h"

namespace bergamot
{

struct GroupSpec
{
    std::string prompt;
    std::uint32_t samples = 0;
    std::uint32_t maxTokens = 0;

    bool operator==(const GroupSpec &) const = default;
};

struct StepLimits
{
    std::size_t maxSamples = 16384; // in one step
    std::size_t maxPromptBytes = 256U << 10U; // of one prompt
    std::size_t maxStepBytes = 8U << 20U; // of all prompts of a step
    std::uint64_t maxTokens = 1U << 20U; // of one sample
    std::size_t maxStepsPerTrainer = 4; // unfinished ones
};

/// The samples of a step are also numbered through, group by group; `offset` is that number.
struct StepSpec
{
    std::vector<GroupSpec> groups;
    std::vector<std::uint32_t> firstOffsets; // of each group
    std::uint32_t sampleCount = 0;
    std::size_t promptBytes = 0;
    std::uint64_t digest = 0; // equal for equal groups, on every instance

    /// Group and index of the sample at `offset`.
    std::pair<std::uint32_t, std::uint32_t> position(std::uint32_t offset) const;
    const GroupSpec &groupAt(std::uint32_t offset) const;
};

/// Numbers the samples and computes the digest.
StepSpec makeStepSpec(std::vector<GroupSpec> groups);

/// Reads the body of PUT /v1/trainers/{t}/steps/{n}. `InvalidArgument` lists every bad field.
Result<StepSpec> parseStepSpec(const web::json::value &body, const StepLimits &limits);

} // namespace bergamot
