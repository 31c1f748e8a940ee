#pragma once

// What instances tell each other about requests that may have crashed their endpoints.
//
//     CrashReport report{.fingerprint = 7, .crashes = {{.process = {EndpointId("e1"), 4}, .alone = true}}};

#include <cstdint>
#include <vector>

#include "bergamot/base/endpoint_process.h"

namespace bergamot
{

/// A crash during a request.
struct CrashUnderRequest
{
    EndpointProcess process;
    bool alone = false; // it was the only request of the reporting instance at the endpoint

    bool operator==(const CrashUnderRequest &) const = default;
};

/// What one instance knows of a suspect, for all other instances. The crashes add to those that are known.
struct CrashReport
{
    std::uint64_t fingerprint = 0; // of the request, the same at every instance
    std::vector<CrashUnderRequest> crashes; // by ascending process
    bool cleared = false; // the request has finished since, so it is no suspect

    bool operator==(const CrashReport &) const = default;
};

} // namespace bergamot
