#pragma once

// A plain service's endpoint: answers its callers' requests and reports its load with a lag.

#include <chrono>
#include <cstdint>

namespace bergamot
{

struct ServiceState
{
    std::uint32_t running = 0; // requests in work
    std::uint32_t waiting = 0; // requests queued before them
    std::uint32_t slots = 0; // requests that it works on at once; 0: it reports no load
    std::chrono::milliseconds loadAge{0}; // how old the load figures are
    bool leaving = false;

    bool operator==(const ServiceState &) const = default;
};

} // namespace bergamot
