#pragma once

// The specification of a step that a trainer submits: groups of samples, each with one prompt.
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
    std::size_t maxSamples = 16384; // limit per step
    std::size_t maxPromptBytes = 256U << 10U; // limit per prompt
    std::size_t maxStepBytes = 8U << 20U; // limit for all prompts of a step together
    std::uint64_t maxTokens = 1U << 20U; // limit per sample
    std::size_t maxStepsPerTrainer = 4; // limit of unfinished steps
};

/// The samples of a step are numbered consecutively, group by group. `offset` is the number of a sample.
struct StepSpec
{
    std::vector<GroupSpec> groups;
    std::vector<std::uint32_t> firstOffsets; // offset of the first sample of each group
    std::uint32_t sampleCount = 0;
    std::size_t promptBytes = 0;
    std::uint64_t digest = 0; // hash of the groups; the same on every instance

    /// Returns the group of the sample at `offset` and its index within the group.
    std::pair<std::uint32_t, std::uint32_t> position(std::uint32_t offset) const;
    const GroupSpec &groupAt(std::uint32_t offset) const;
};

/// Builds a specification from groups: numbers the samples and computes the digest.
StepSpec makeStepSpec(std::vector<GroupSpec> groups);

/// Parses the body of PUT /v1/trainers/{t}/steps/{n}. Returns `InvalidArgument` with the fields that are invalid.
Result<StepSpec> parseStepSpec(const web::json::value &body, const StepLimits &limits);

} // namespace bergamot
