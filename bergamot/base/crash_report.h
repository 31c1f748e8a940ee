#pragma once

// What instances tell each other about requests that may have crashed their endpoints.
//
//     CrashReport report{.fingerprint = 7, .crashes = {{.process = {EndpointId("e1"), 4}, .alone = true}}};

#include <compare>
#include <cstdint>
#include <vector>

#include "bergamot/base/ids.h"

namespace bergamot
{

/// A process of an endpoint. An endpoint that starts again under its id has another incarnation.
struct EndpointProcess
{
    EndpointId endpoint;
    std::uint64_t incarnation = 0; // 0: not known

    auto operator<=>(const EndpointProcess &) const = default;
};

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
