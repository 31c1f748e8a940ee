#pragma once

// Identifiers of steps and samples. A sample is identified by its trainer, step, group and index, independently of the
// engine or attempt that produces it.
//
//     const SampleId id {.step = {TrainerId("quotes"), 12}, .group = 3, .index = 0};
//     toText(id); // "quotes/12/3/0"

#include <compare>
#include <cstdint>
#include <string>

#include "bergamot/base/ids.h"

namespace bergamot
{

struct StepKey
{
    TrainerId trainer;
    std::uint64_t step = 0;

    auto operator<=>(const StepKey &) const = default;
};

struct SampleId
{
    StepKey step;
    std::uint32_t group = 0;
    std::uint32_t index = 0; // within the group

    auto operator<=>(const SampleId &) const = default;
};

inline std::string toText(const StepKey &key)
{
    return key.trainer.value() + "/" + std::to_string(key.step);
}

inline std::string toText(const SampleId &id)
{
    return toText(id.step) + "/" + std::to_string(id.group) + "/" + std::to_string(id.index);
}

} // namespace bergamot
