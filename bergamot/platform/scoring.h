#pragma once

// The scoring service that judges a trainer's samples.

#include <chrono>
#include <string>

#include "bergamot/base/error.h"

namespace bergamot
{

/// Thread-safe. Scoring a sample again gives the same score; calls may be repeated.
class ScoringService
{
public:
    virtual ~ScoringService() = default;
    virtual void score(const std::string &prompt,
                       const std::string &text,
                       std::chrono::milliseconds timeout,
                       Callback<double> done) = 0;
};

} // namespace bergamot
