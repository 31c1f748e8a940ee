#pragma once

// Chooses the instance that sends a request for one that is cut off from the endpoints: first one of the own failure
// domain, else any other one; only instances that report that they reach endpoints.
//
//     PeerChoice choice("node-1", "a", {}, seed);
//     std::optional<batch::Instance> peer = choice.choose(index.instances(), tried, now);
//     choice.failed(peer->name, now);
//
// Load pattern: most of a failure domain is cut off at once, so its requests spread over the few instances that are
// left there and over all instances elsewhere; an instance that is gone or overloaded is left alone for a while.

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "bergamot/batch/instance_index.h"

namespace bergamot::relay
{

struct PeerChoiceOptions
{
    Duration avoidance = std::chrono::seconds(1); // of a peer that could not help
    std::size_t minInDomain = 2; // with fewer peers in the own domain, those of others are used as well
};

/// Not thread-safe.
class PeerChoice
{
public:
    PeerChoice(std::string instance, std::string zone, PeerChoiceOptions options, std::uint64_t seed);

    /// A peer that is not in `tried`; none if nobody is known to help now.
    std::optional<batch::Instance>
    choose(const std::map<std::string, batch::Instance> &instances, const std::set<std::string> &tried, TimePoint now);
    /// The peer could not be reached, reaches no endpoint or takes no more requests.
    void failed(const std::string &peer, TimePoint now);

private:
    std::string m_instance;
    std::string m_zone;
    PeerChoiceOptions m_options;
    std::mt19937_64 m_random;
    std::map<std::string, TimePoint> m_avoidUntil;
};

} // namespace bergamot::relay
