#include "bergamot/samples/step_spec.h"

#include "bergamot/base/hash.h"
#include "bergamot/base/json.h"

namespace bergamot
{

namespace
{

GroupSpec
parseGroup(const web::json::value &json, const std::string &path, const StepLimits &limits, Result<void> &read)
{
    FieldReader reader(json, path);
    GroupSpec group;
    group.prompt = reader.requiredString("prompt");
    const std::uint64_t samples = reader.requiredUnsigned("samples");
    const std::uint64_t maxTokens = reader.requiredUnsigned("max_tokens");
    if (group.prompt.size() > limits.maxPromptBytes) {
        reader.reject("prompt", "must have at most " + std::to_string(limits.maxPromptBytes) + " bytes");
    }
    if (samples == 0 || samples > limits.maxSamples) {
        reader.reject("samples", "must be from 1 to " + std::to_string(limits.maxSamples));
    }
    if (maxTokens == 0 || maxTokens > limits.maxTokens) {
        reader.reject("max_tokens", "must be from 1 to " + std::to_string(limits.maxTokens));
    }
    group.samples = static_cast<std::uint32_t>(samples);
    group.maxTokens = static_cast<std::uint32_t>(maxTokens);
    read = reader.finish();
    return group;
}

Result<void> checkTotals(const StepSpec &spec, const StepLimits &limits)
{
    std::uint64_t samples = 0;
    for (const GroupSpec &group : spec.groups) {
        samples += group.samples;
    }
    if (samples > limits.maxSamples) {
        return failure(ErrorCode::InvalidArgument,
                       "step.groups must have at most " + std::to_string(limits.maxSamples) + " samples in all");
    }
    if (spec.promptBytes > limits.maxStepBytes) {
        return failure(ErrorCode::InvalidArgument,
                       "step.groups must have at most " + std::to_string(limits.maxStepBytes) + " prompt bytes in all");
    }
    return {};
}

} // namespace

std::pair<std::uint32_t, std::uint32_t> StepSpec::position(std::uint32_t offset) const
{
    const auto after = std::upper_bound(firstOffsets.begin(), firstOffsets.end(), offset);
    const auto group = static_cast<std::uint32_t>(after - firstOffsets.begin() - 1);
    return {group, offset - firstOffsets[group]};
}

const GroupSpec &StepSpec::groupAt(std::uint32_t offset) const
{
    return groups[position(offset).first];
}

StepSpec makeStepSpec(std::vector<GroupSpec> groups)
{
    StepSpec spec;
    for (const GroupSpec &group : groups) {
        spec.firstOffsets.push_back(spec.sampleCount);
        spec.sampleCount += group.samples;
        spec.promptBytes += group.prompt.size();
        spec.digest = stableHash(group.prompt, spec.digest);
        spec.digest = stableHash(std::to_string(group.samples) + "/" + std::to_string(group.maxTokens), spec.digest);
    }
    spec.groups = std::move(groups);
    return spec;
}

Result<StepSpec> parseStepSpec(const web::json::value &body, const StepLimits &limits)
{
    FieldReader reader(body, "step");
    const std::vector<web::json::value> entries = reader.optionalArray("groups");
    if (entries.empty() || entries.size() > limits.maxSamples) {
        reader.reject("groups", "must have 1 to " + std::to_string(limits.maxSamples) + " entries");
    }
    if (Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    std::vector<GroupSpec> groups;
    for (std::size_t i = 0; i < entries.size(); ++i) {
        Result<void> read;
        groups.push_back(parseGroup(entries[i], "step.groups[" + std::to_string(i) + "]", limits, read));
        if (!read) {
            return tl::unexpected(read.error());
        }
    }
    StepSpec spec = makeStepSpec(std::move(groups));
    if (Result<void> totals = checkTotals(spec, limits); !totals) {
        return tl::unexpected(totals.error());
    }
    return spec;
}

} // namespace bergamot
