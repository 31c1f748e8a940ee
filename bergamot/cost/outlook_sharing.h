#pragma once

// Decides when an instance that sees much of the endpoints tells all others which of them are slow or have a queue.
//
//     OutlookSharing sharing;
//     if (const auto shared = sharing.due(known, now)) { ... append it to the log ... }
//
// Load pattern: a hundred instances, each of which sends a request in some seconds, and one that sends dozens a second
// to all endpoints of a service. While no endpoint is in need, nothing is told. What is told is bounded in number and
// rate.

#include <optional>
#include <vector>

#include "bergamot/base/endpoint_process.h"
#include "bergamot/cost/endpoint_outlook.h"

namespace bergamot::cost
{

struct SharedOutlook
{
    EndpointProcess process;
    ToldOutlook outlook;
};

struct OutlookSharingOptions
{
    Duration interval = std::chrono::milliseconds(250); // between two messages
    std::size_t maxEndpoints = 64; // in one message; those that are in need most
    double needySlowness = 1.5; // an endpoint is in need from this slowness on, or with a request that waits
    double changeToTell = 0.2; // share by which an outlook must have changed to be told again
    Duration repeatAfter = std::chrono::milliseconds(500); // the same outlook is told again
};

/// Not thread-safe.
class OutlookSharing
{
public:
    explicit OutlookSharing(OutlookSharingOptions options = {})
        : m_options(options)
    { }

    /// The message to send now: the endpoints in need, and those that were told to be and are not any more. Nothing if
    /// there is nothing to tell.
    std::optional<std::vector<SharedOutlook>> due(const std::vector<SharedOutlook> &known, TimePoint now);

private:
    bool needy(const ToldOutlook &outlook) const;

    OutlookSharingOptions m_options;
    std::vector<SharedOutlook> m_told; // the last message
    TimePoint m_toldAt{};
};

} // namespace bergamot::cost
