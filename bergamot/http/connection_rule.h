#pragma once

// Which of a server's connections are closed, and how gently. Pure; `HttpServer` runs it once a second.
//
//     for (std::size_t index = 0; index < connections.size(); ++index) {
//         switch (verdicts[index]) { ... }
//     }

#include <chrono>
#include <cstdint>
#include <vector>

namespace bergamot
{

struct ConnectionLimits
{
    std::size_t most = 8192; // above it the longest silent ones are closed as soon as they have no request
    std::chrono::milliseconds idle{120'000}; // without a byte from the caller
    std::chrono::milliseconds stalled{30'000}; // with bytes that the caller does not take
    std::uint64_t unansweredBytes = 80U << 20U; // received since the caller was last sent something
    std::chrono::milliseconds period{1'000}; // between two looks
};

/// What the operating system knows of one connection.
struct ConnectionState
{
    std::chrono::milliseconds sinceReceived{}; // data from the caller
    std::chrono::milliseconds sinceSent{}; // data to the caller
    std::uint64_t unsentBytes = 0; // that the caller has not acknowledged
    std::uint64_t unansweredBytes = 0; // received since the caller was last sent something
};

enum class ConnectionVerdict {
    Keep,
    StopReading, // an answer under way still goes out whole; the connection ends after it
    Cut,
};

/// One verdict for each connection.
std::vector<ConnectionVerdict> judgeConnections(const std::vector<ConnectionState> &connections,
                                                const ConnectionLimits &limits);

} // namespace bergamot
