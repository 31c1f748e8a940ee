#pragma once

// The version that every program prints with --version.

#include <string_view>

namespace bergamot
{

inline constexpr std::string_view Version = "0.1.0";

} // namespace bergamot
