#pragma once

// The endpoints of one target as this instance sees them: how loaded, how fast and how healthy each is, and which one
// takes the next request. Same failure domain first; others once the own one is nearly full.
//
//     EndpointPool pool(options, std::make_unique<SampledChoice>());
//     pool.update(target.endpoints, now);
//     std::optional<std::size_t> slot = pool.pick({.trafficClass = TrafficClass::Batch}, now, random);
//     pool.dispatched(*slot, now);
//     pool.answered(*slot, latency, 1.0, now, random);

#include <array>
#include <memory>
#include <span>
#include <unordered_map>
#include <vector>

#include "bergamot/routing/choice.h"
#include "bergamot/routing/concurrency_limit.h"
#include "bergamot/routing/endpoint_health.h"
#include "bergamot/routing/load_estimate.h"
#include "bergamot/routing/outcome.h"
#include "bergamot/routing/report_limit.h"
#include "bergamot/routing/routing_table.h"
#include "bergamot/routing/spill_limit.h"

namespace bergamot
{

struct EndpointPoolOptions
{
    std::string instance; // this one; chooses its subset
    FailureDomainId domain; // this one
    std::size_t localSubset = 180;
    std::size_t remoteSubset = 24;
    double spillThreshold = 0.85; // share of the limits in the own domain that is used before others are asked, and of
                                  // the slots of the others that is filled so
    bool spillByReports = true; // others are only asked for places that their reports show to be free
    double affinityBound = 1.25; // load of a prefix's owner over the mean
    std::array<double, TrafficClassCount> classShare{1.0, 0.97, 0.92}; // of the sum of the limits, by class
    double interactiveBurst = 2; // places beyond the sum of the limits for interactive requests, times its root: with
                                 // random arrivals two standard deviations, so that few of them wait
    double slotMargin = 0.125; // requests beyond an engine's slots, as a share, that cover the lag of its report
    double slowFactor = 4; // an endpoint slower than this multiple of the median is ejected
    double mostDoubtful = 0.34; // share of the endpoints that may be ejected although they take connections
    ConcurrencyLimitOptions limit; // of each endpoint, by latency
    ReportLimitOptions reportLimit; // of those of the own domain together, and of the others, by reported load
    EndpointHealthOptions health;
};

struct PickRequest
{
    TrafficClass trafficClass = TrafficClass::Interactive;
    std::uint64_t prefix = 0; // 0: no affinity
    std::span<const std::size_t> excluded{}; // slots that have been tried
};

/// Not thread-safe. Endpoints are named by slots, which stay valid while a request is in flight there.
class EndpointPool
{
public:
    EndpointPool(EndpointPoolOptions options, std::unique_ptr<ChoiceStrategy> strategy);

    /// Takes in the newest view. An endpoint that has gone gets no new work.
    void update(std::span<const RoutedEndpoint> endpoints, TimePoint now);

    /// An endpoint with room, or none.
    std::optional<std::size_t> pick(const PickRequest &request, TimePoint now, std::mt19937_64 &random);
    /// Whether any endpoint serves now, busy or not. If not, waiting is of no use before `nextProbe`.
    bool serviceable(TimePoint now) const;

    void dispatched(std::size_t slot, TimePoint now);
    /// `work` is the request's size, by which the latency is divided before endpoints are compared.
    void answered(std::size_t slot, Duration latency, double work, TimePoint now, std::mt19937_64 &random);
    void failed(std::size_t slot, EndpointFailure failure, TimePoint now, std::mt19937_64 &random);
    /// The endpoint refused for overload; it is well otherwise.
    void refused(std::size_t slot, TimePoint now);
    /// The attempt ended without a verdict on the endpoint.
    void withdrawn(std::size_t slot, TimePoint now);
    /// Connections to the endpoint that nobody uses have been closed.
    void connectionsDropped(std::size_t slot);
    /// Whether a connection that was used before may be open: the endpoint has answered since they were dropped.
    bool mayHaveIdleConnection(std::size_t slot) const;
    /// The endpoint itself says that it is leaving.
    void saidLeaving(std::size_t slot, TimePoint now);
    /// Ejects endpoints that have become several times slower than the others. Call it about twice a second.
    void review(TimePoint now, std::mt19937_64 &random);

    /// Sets an endpoint aside for one request that must run alone; `avoid` tells which endpoints may not be used.
    std::optional<std::size_t> reserveAlone(const std::function<bool(const EndpointId &)> &avoid, TimePoint now);
    /// Whether a reserved endpoint may still be used.
    bool admits(std::size_t slot, TimePoint now) const;
    /// Whether a reserved endpoint has finished everything else of this instance.
    bool idle(std::size_t slot) const;
    void releaseAlone(std::size_t slot);
    /// How many endpoints may be reserved at once.
    std::size_t mostReserved() const;

    const EndpointId &endpoint(std::size_t slot) const;
    const Address &address(std::size_t slot) const;
    std::uint32_t inFlight(std::size_t slot) const;
    std::uint32_t inFlight() const;
    std::size_t listed() const;
    /// Mean latency of one unit of work, and of one request whatever its size; zero before the first answer.
    Duration unitLatency() const;
    Duration requestDuration() const;

private:
    struct State
    {
        RoutedEndpoint listed;
        std::uint64_t identity = 0;
        bool present = false; // in the newest view
        bool reserved = false;
        bool mayHaveIdleConnection = false;
        std::uint32_t answers = 0; // since it was added or returned
        double unitSeconds = 0; // smoothed latency of one unit of work
        TimePoint leavingUntil{};
        LoadEstimate load;
        ConcurrencyLimit limit;
        EndpointHealth health;
    };
    /// The endpoints that are as far away: in the own domain, or in others.
    struct Group
    {
        std::vector<std::size_t> order; // slots of the subset
        std::uint32_t inFlight = 0;
        double allowed = 0; // sum of the limits of the endpoints that serve
        ReportLimit reportLimit;
    };
    /// Sum of the newest reports of a group's endpoints.
    struct GroupReport
    {
        double load = 0;
        double slots = 0; // 0: nobody reports
        Duration oldest{};
    };
    class View;

    std::size_t slotFor(const RoutedEndpoint &endpoint);
    Group &groupOf(const State &state);
    void countDispatched(State &state, TimePoint now);
    void countFinished(State &state, TimePoint now);
    void rebuildOrder(TimePoint now);
    void countInFlight();
    void takeReport(State &state, const RoutedEndpoint &endpoint, TimePoint now) const;
    bool usable(const State &state, TimePoint now) const;
    bool hasRoom(const State &state, double share, TimePoint now) const;
    /// Whether the class may take one more place in `share` of the group's limits.
    bool classHasRoom(const Group &group, TrafficClass trafficClass, double share) const;
    void sumLimits();
    GroupReport sumReports(const Group &group) const;
    void takeReports(TimePoint now);
    void takeSpillReport(const GroupReport &own, const GroupReport &others, TimePoint now);
    /// Whether the own domain works off requests and reports its load, so that others are only asked for what is free.
    bool ownServes() const;
    double cost(const State &state, TimePoint now) const;
    bool tooSlow(std::chrono::duration<double> perUnit) const;
    /// Whether one more endpoint may be ejected although it takes connections. If most of them fail, what they have
    /// in common fails, and leaving them all alone helps nobody.
    bool mayDoubtMore() const;
    std::optional<std::size_t>
    tryGroup(const Group &group, const PickRequest &request, double share, TimePoint now, std::mt19937_64 &random);
    void learnLatency(State &state, Duration latency, std::chrono::duration<double> perUnit);

    EndpointPoolOptions m_options;
    std::unique_ptr<ChoiceStrategy> m_strategy;
    std::vector<State> m_states;
    std::unordered_map<EndpointId, std::size_t> m_slots;
    std::vector<std::size_t> m_free;
    Group m_local;
    Group m_remote;
    SpillLimit m_spill;
    bool m_ownReports = false;
    std::uint32_t m_inFlight = 0;
    double m_unitSeconds = 0;
    double m_requestSeconds = 0;
    double m_medianUnitSeconds = 0;
};

} // namespace bergamot
