#pragma once

// A deterministic simulation of routers before endpoints, for the benchmark: the router's decisions are the real ones,
// network and endpoints are queues in simulated time.
//
//     SimulationResult result = simulate({.load = 2.0, .seed = 1});
//     result.percentile(TrafficClass::Interactive, 0.99);

#include <array>
#include <functional>
#include <optional>
#include <vector>

#include "bergamot/routing/router.h"

namespace bergamot::routing_internal
{

struct SimulationOptions
{
    double load = 1.0; // offered work over what the endpoints can do
    std::uint64_t seed = 1;
    std::size_t routers = 4;
    std::size_t endpoints = 9;
    std::size_t slots = 8; // requests that one endpoint works on at once
    Duration meanService = std::chrono::milliseconds(20);
    Duration length = std::chrono::seconds(30);
    Duration warmUp = std::chrono::seconds(5); // not counted
    bool reportsLoad = true; // slots and load, with `reportLag`
    Duration reportLag = std::chrono::milliseconds(500);
    std::size_t domains = 1; // routers and endpoints are dealt out to them in turn
    Duration remoteReportPeriod = std::chrono::seconds(5); // loads of other domains' endpoints are news this often
    bool remoteReports = true; // whether their load is known
    std::array<double, TrafficClassCount> classShare{0.3, 0.2, 0.5};
    std::array<Duration, TrafficClassCount> deadlines{
        std::chrono::seconds(2), std::chrono::seconds(2), std::chrono::seconds(10)};
    double slowFactor = 1; // of endpoint 0
    std::optional<Duration> crashAt; // endpoint 1 loses its work and refuses connections
    Duration crashFor = std::chrono::seconds(5);
    std::optional<Duration> domainGoneAt; // the endpoints of domain 0 crash for good
    std::optional<Duration> controlGoneAt; // no new views from then on
    double loadAtFirst = 0; // offered until `controlGoneAt` or `domainGoneAt`, if not 0
    double refusedShare = 0; // share of the time in which endpoint 0 refuses connections, in spells of a second
    double lostShare = 0; // share of the requests whose connection breaks under them
    std::function<void(RouterOptions &)> adjust; // changes the policy under test
};

struct SimulationResult
{
    std::array<std::vector<double>, TrafficClassCount> seconds; // of answered requests
    std::array<std::vector<double>, TrafficClassCount> secondsHere; // of them, before the last attempt
    std::array<std::vector<double>, TrafficClassCount> secondsThere; // of them, waiting inside the endpoint
    std::vector<double> answersByRouter;
    std::array<std::uint64_t, TrafficClassCount> arrived{};
    std::array<std::uint64_t, TrafficClassCount> answered{};
    std::uint64_t attempts = 0; // that reached an endpoint or were refused by it
    double usefulSeconds = 0; // of endpoints' time, spent on answers that reached their callers
    double capacitySeconds = 0; // that the endpoints had

    double percentile(TrafficClass trafficClass, double share) const;
    double percentileHere(TrafficClass trafficClass, double share) const;
    double percentileThere(TrafficClass trafficClass, double share) const;
    /// The least answers of a router over the mean.
    double leastShare() const;
    double answeredShare(TrafficClass trafficClass) const;
    /// Work that reached callers, of what the endpoints could do.
    double goodput() const;
    /// Attempts for each request.
    double amplification() const;
};

SimulationResult simulate(const SimulationOptions &options);

} // namespace bergamot::routing_internal
