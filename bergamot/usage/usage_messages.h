#pragma once

// The message in which an instance tells the collecting one what it has counted.
//
//     Result<ToldTotals> told = parseTotals(totalsMessage({.instance = "node-7", .windows = counter.untold(owner)}));

#include "bergamot/base/error.h"
#include "bergamot/usage/usage_report.h"

namespace bergamot::usage
{

constexpr std::string_view TotalsPath = "/usage-totals";

struct ToldTotals
{
    std::string instance;
    WindowCounts windows;
};

std::string totalsMessage(const ToldTotals &totals);
/// Fails with `InvalidArgument` if the bytes are no such message, or it names no instance.
Result<ToldTotals> parseTotals(const std::string &bytes);

} // namespace bergamot::usage
