#include "bergamot/fuzz/targets.h"

#include "bergamot/fuzz/internal/target_groups.h"
#include "bergamot/fuzz/mutation.h"

namespace bergamot
{

namespace
{

FuzzVerdict judged(const FuzzTarget &target, std::string_view input)
{
    try {
        return target.judge(input);
    } catch (const std::exception &) {
        return FuzzVerdict::Broken;
    }
}

std::vector<FuzzTarget> allTargets()
{
    std::vector<FuzzTarget> all = fuzz_internal::textTargets();
    for (std::vector<FuzzTarget> group : {fuzz_internal::logTargets(), fuzz_internal::bodyTargets()}) {
        std::move(group.begin(), group.end(), std::back_inserter(all));
    }
    return all;
}

} // namespace

const std::vector<FuzzTarget> &fuzzTargets()
{
    static const std::vector<FuzzTarget> targets = allTargets();
    return targets;
}

FuzzReport fuzz(const FuzzTarget &target, const FuzzOptions &options)
{
    std::mt19937_64 random(options.seed);
    FuzzReport report;
    for (std::uint64_t round = 0; round < options.count; ++round) {
        const std::string input = mutate(target.valid[round % target.valid.size()], random);
        switch (judged(target, input)) {
        case FuzzVerdict::Refused:
            ++report.refused;
            break;
        case FuzzVerdict::Accepted:
            ++report.accepted;
            break;
        case FuzzVerdict::Broken:
            report.broken.push_back(input);
            break;
        }
    }
    return report;
}

} // namespace bergamot
