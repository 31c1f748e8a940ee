#pragma once

// Builds the message of a batch whose items have bodies of one size and no scoring call.
//
//     fleet.submit(0, "step-1", batchBody({.name = "step-1", .step = 1, .itemBytes = 600}));

#include <cstdint>
#include <string>

namespace bergamot::review
{

struct BatchBodyParameters
{
    std::string name; // the ids of the items begin with it
    std::uint64_t step = 0;
    std::uint64_t minVersion = 1;
    std::size_t items = 112; // as on the sheets of the small deployments
    std::size_t groupSize = 4;
    std::size_t itemBytes = 0;
};

std::string itemName(const std::string &batch, std::size_t index);
std::string batchBody(const BatchBodyParameters &batch);

} // namespace bergamot::review
