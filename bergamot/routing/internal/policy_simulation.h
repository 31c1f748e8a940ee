#pragma once

// A deterministic discrete-event simulation of routers and endpoints, for the benchmark. It runs the production router;
// the network and the endpoints are queues in simulated time.
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
    double load = 1.0; // offered work over the capacity of the endpoints
    std::uint64_t seed = 1;
    std::size_t routers = 4;
    std::size_t endpoints = 9;
    std::size_t slots = 8; // requests that one endpoint runs at once
    Duration meanService = std::chrono::milliseconds(20);
    Duration length = std::chrono::seconds(30);
    Duration warmUp = std::chrono::seconds(5); // before the results are counted
    bool reportsLoad = true; // endpoints report slots and load, delayed by `reportLag`
    Duration reportLag = std::chrono::milliseconds(500);
    std::size_t domains = 1; // routers and endpoints are assigned to them round robin
    Duration remoteReportPeriod = std::chrono::seconds(5); // between two load reports of other domains
    bool remoteReports = true; // whether other domains' load is known
    std::array<double, TrafficClassCount> classShare{0.3, 0.2, 0.5};
    std::array<Duration, TrafficClassCount> deadlines{
        std::chrono::seconds(2), std::chrono::seconds(2), std::chrono::seconds(10)};
    double slowFactor = 1; // of the service time at endpoint 0
    std::optional<Duration> crashAt; // endpoint 1 loses its requests and refuses connections
    Duration crashFor = std::chrono::seconds(5);
    std::optional<Duration> domainLostAt; // the endpoints of domain 0 crash and do not restart
    std::optional<Duration> controlLostAt; // routers get no new views from then on
    double initialLoad = 0; // offered until `controlLostAt` or `domainLostAt`, if not 0
    double refusedShare = 0; // share of time in which endpoint 0 refuses connections, for one second at a time
    double lostShare = 0; // share of attempts whose connection breaks
    std::function<void(RouterOptions &)> adjust; // changes the options of the routers
};

struct SimulationResult
{
    std::array<std::vector<double>, TrafficClassCount> seconds; // latency of answered requests, by class
    std::array<std::vector<double>, TrafficClassCount> routerWaitSeconds; // part before the answered attempt was sent
    std::array<std::vector<double>, TrafficClassCount> endpointWaitSeconds; // part of it waiting inside the endpoint
    std::vector<double> answersByRouter;
    std::array<std::uint64_t, TrafficClassCount> arrived{};
    std::array<std::uint64_t, TrafficClassCount> answered{};
    std::uint64_t attempts = 0; // attempts that were sent to an endpoint
    double usefulSeconds = 0; // endpoint time spent on answers that reached their callers
    double capacitySeconds = 0; // total endpoint time available

    double percentile(TrafficClass trafficClass, double share) const;
    double routerWaitPercentile(TrafficClass trafficClass, double share) const;
    double endpointWaitPercentile(TrafficClass trafficClass, double share) const;
    /// The minimum over the routers of their number of answers, divided by the mean.
    double minRouterShare() const;
    double answeredShare(TrafficClass trafficClass) const;
    /// Endpoint time spent on delivered answers as a share of the capacity.
    double goodput() const;
    /// Attempts per request.
    double amplification() const;
};

SimulationResult simulate(const SimulationOptions &options);

} // namespace bergamot::routing_internal
