#pragma once

// The endpoints of one target with the load, latency and health that this instance observes, and the choice of the
// endpoint for the next request. Endpoints of this instance's failure domain come first; those of other domains are
// used once the own domain is nearly full (spill).
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

#include "bergamot/cost/outlook_sharing.h"
#include "bergamot/quota/dispatch_gate.h"
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
    std::string instance; // name of this instance; seeds the choice of its subset
    FailureDomainId domain; // of this instance
    std::size_t localSubset = 180; // maximum number of endpoints used in the own domain
    std::size_t remoteSubset = 24; // the same over all other domains
    double spillThreshold = 0.85; // share of the own domain's limits that is used before requests spill to other
                                  // domains, and share of the other domains' slots that spilled requests may fill
    bool spillByReports = true; // spill only to slots that other domains report as free
    double affinityBound = 1.25; // maximum requests of this instance at a prefix's endpoint, less one, as a multiple
                                 // of its mean per endpoint
    std::array<double, TrafficClassCount> classShare{1.0, 0.97, 0.92}; // usable share of the limits, by class
    double interactiveBurst = 2; // interactive requests allowed beyond the sum of the limits, as a multiple of its
                                 // square root: two standard deviations of random arrivals, so that few of them wait
    double slotMargin = 0.125; // requests allowed beyond an engine's slots, as a share of them, because its reports lag
    double slowFactor = 4; // an endpoint slower than this multiple of the median is ejected
    double maxEjectedShare = 0.34; // maximum share of endpoints that may be ejected although they accept connections
    ConcurrencyLimitOptions limit; // of each endpoint, from its latency
    ReportLimitOptions reportLimit; // of the own domain's and of all other endpoints, from reported load
    EndpointHealthOptions health;
    quota::DispatchGate *gate = nullptr; // limits beyond load and health; null: none. Must outlive the pool
};

struct PickRequest
{
    TrafficClass trafficClass = TrafficClass::Interactive;
    std::uint64_t prefix = 0; // 0: no affinity
    std::span<const std::size_t> excluded{}; // slots that the request has tried
    std::string_view softwareVersion{}; // empty: any
    bool beginsStream = false; // only endpoints at which streams may begin
    Duration usualWork{}; // of the request; zero: not known
    Duration queuedWork{}; // usual work of the requests of the target; zero: not known
};

/// Not thread-safe. An endpoint is addressed by a slot index, which stays valid while a request is in flight there.
class EndpointPool
{
public:
    EndpointPool(EndpointPoolOptions options, std::unique_ptr<ChoiceStrategy> strategy);

    /// Applies the newest view. An endpoint that was removed gets no new requests.
    void update(std::span<const RoutedEndpoint> endpoints, TimePoint now);

    /// The slot of an endpoint with room; none if no endpoint has room.
    std::optional<std::size_t> pick(const PickRequest &request, TimePoint now, std::mt19937_64 &random);
    /// From now on the endpoint at which a request is expected to be complete first is chosen, whatever its domain, if
    /// the work of the request is known; or as the options say.
    void setPlacesByCompletion(bool places);
    /// Requests of class `Batch` that this instance may have in flight, so that slots are left for those that a caller
    /// waits for. `waiting` of them wait, each of which takes `work`. Unbounded unless requests are placed by
    /// completion.
    std::size_t batchRoom(std::size_t waiting, Duration work, TimePoint now);
    /// Records the load that an endpoint has reported in an answer.
    void loadReported(std::size_t slot, const cost::LoadReport &report, TimePoint now);
    /// Another instance has told what it knows of an endpoint.
    void outlookTold(std::size_t slot, const cost::ToldOutlook &outlook, TimePoint now);
    /// What this instance itself knows of the endpoints of which it has heard since `after`.
    std::vector<cost::SharedOutlook> outlooks(TimePoint after, TimePoint now) const;
    /// The slot of a present endpoint; none if it is not known.
    std::optional<std::size_t> slotOf(const EndpointId &endpoint) const;
    /// The endpoints that have room and get no request only because of the gate.
    std::vector<EndpointProcess> gatedEndpoints(TimePoint now) const;
    /// Whether the gate admits no request to any endpoint that works, so that waiting for a busy one does not help.
    bool allGated(TimePoint now) const;
    /// Whether the gate admits a request to the endpoint.
    bool gateAdmits(std::size_t slot, TimePoint now) const;
    /// Whether any endpoint, busy or not, may take requests now. If not, waiting does not help before the next probe.
    bool serviceable(TimePoint now) const;
    /// The same for endpoints that suit the request.
    bool serviceableFor(const PickRequest &request, TimePoint now) const;
    /// Whether the endpoint has the properties that the request needs.
    bool suits(std::size_t slot, const PickRequest &request) const;
    bool suits(const EndpointId &endpoint, const PickRequest &request) const;

    void dispatched(std::size_t slot, TimePoint now);
    /// A request of a kind of which few take longer than `tail` (zero: not known) took `duration`, or was given up
    /// after it.
    void durationObserved(std::size_t slot, Duration duration, Duration tail, TimePoint now);
    /// Records an answer. The latency is divided by `work`, the request's size, before endpoints are compared.
    void answered(std::size_t slot, Duration latency, double work, TimePoint now, std::mt19937_64 &random);
    void failed(std::size_t slot, EndpointFailure failure, TimePoint now, std::mt19937_64 &random);
    /// The endpoint refused the request because of overload, which is no failure of the endpoint.
    void refused(std::size_t slot, TimePoint now);
    /// The attempt ended without showing whether the endpoint works.
    void endedInconclusively(std::size_t slot, TimePoint now);
    /// The idle connections to the endpoint have been closed.
    void connectionsDropped(std::size_t slot);
    /// Whether a previously used connection may be open: the endpoint has answered since its connections were closed.
    bool mayHaveIdleConnection(std::size_t slot) const;
    /// The answer of this incarnation of the endpoint reports that it is leaving. It gets no new requests until the
    /// view has another incarnation of it, or for ten seconds if the incarnation is not known.
    void markLeaving(std::size_t slot, std::uint64_t incarnation, TimePoint now);
    /// Whether the endpoint is present and not leaving, so that requests may be sent to it if it works.
    bool takesRequests(std::size_t slot, TimePoint now) const;
    /// Ejects endpoints that have become several times slower than the others. To be called about twice a second.
    void review(TimePoint now, std::mt19937_64 &random);

    /// Reserves an endpoint for one request that must run alone, skipping endpoints for which `avoid` returns true.
    std::optional<std::size_t> reserveExclusive(const std::function<bool(const EndpointId &)> &avoid, TimePoint now);
    /// Whether a reserved endpoint may still be used.
    bool admits(std::size_t slot, TimePoint now) const;
    /// Whether this instance has no request in flight at the endpoint.
    bool idle(std::size_t slot) const;
    void releaseExclusive(std::size_t slot);
    /// The maximum number of endpoints that may be reserved at once.
    std::size_t maxReserved() const;

    const EndpointId &endpoint(std::size_t slot) const;
    const Address &address(std::size_t slot) const;
    std::uint64_t incarnation(std::size_t slot) const;
    const std::string &softwareVersion(std::size_t slot) const;
    std::uint32_t inFlight(std::size_t slot) const;
    std::uint32_t inFlight() const;
    /// The number of endpoints in use: present, not leaving, and in this instance's subset.
    std::size_t usedEndpoints() const;
    /// Mean latency of one unit of work; zero before the first answer.
    Duration unitLatency() const;
    /// Mean latency of one request of any size; zero before the first answer.
    Duration requestDuration() const;

private:
    struct State
    {
        RoutedEndpoint routed;
        std::uint64_t identity = 0;
        bool present = false; // in the newest view
        bool reserved = false;
        bool mayHaveIdleConnection = false;
        std::uint32_t answers = 0; // since the endpoint was added or reinstated
        double unitSeconds = 0; // smoothed latency of one unit of work
        std::uint64_t leavingIncarnation = 0; // the one whose answer said that it is leaving; 0: none
        TimePoint leavingUntil{}; // the same for an endpoint without a known incarnation
        LoadEstimate load;
        cost::EndpointOutlook outlook;
        ConcurrencyLimit limit;
        EndpointHealth health;
    };
    /// The endpoints of the own domain, or those of all other domains.
    struct Group
    {
        std::vector<std::size_t> memberSlots; // of the endpoints in this instance's subset
        std::uint32_t inFlight = 0;
        double allowed = 0; // sum of the limits of the endpoints that are not ejected
        ReportLimit reportLimit;
    };
    /// Sum of the newest reports of a group's endpoints.
    struct GroupReport
    {
        double load = 0;
        double slots = 0; // 0 if no endpoint reports its load
        Duration oldest{}; // age of the oldest report
    };
    class CandidateView;

    std::size_t slotFor(const RoutedEndpoint &endpoint);
    Group &groupOf(const State &state);
    void countDispatched(State &state, TimePoint now);
    void countFinished(State &state, TimePoint now);
    void rebuildGroups(TimePoint now);
    void countInFlight();
    void applyReport(State &state, const RoutedEndpoint &endpoint, TimePoint now) const;
    static bool saidLeaving(const State &state, TimePoint now);
    bool usable(const State &state, TimePoint now) const;
    bool hasRoom(const State &state, double share, TimePoint now) const;
    /// The same without the gate.
    bool hasCapacity(const State &state, double share, TimePoint now) const;
    static EndpointProcess processOf(const State &state);
    /// Whether one more request of the class fits into `share` of the group's limits.
    bool classHasRoom(const Group &group, TrafficClass trafficClass, double share) const;
    void sumLimits();
    GroupReport sumReports(const Group &group) const;
    void applyReports(TimePoint now);
    void applySpillReport(const GroupReport &own, const GroupReport &others, TimePoint now);
    /// Whether the own domain serves requests and reports its load, and `spillByReports` is set. Requests then spill
    /// only to free slots of others.
    bool ownDomainServes() const;
    double cost(const State &state, TimePoint now) const;
    /// The same for one endpoint.
    double batchRoom(const State &state, double share, TimePoint now) const;
    std::size_t sumBatchRoom(double share, TimePoint now) const;
    /// Expected seconds until the answer to the request, if it is sent to the endpoint now.
    double completionSeconds(const State &state, const PickRequest &request, TimePoint now) const;
    std::optional<std::size_t> pickByCompletion(const PickRequest &request, TimePoint now, std::mt19937_64 &random);
    bool tooSlow(std::chrono::duration<double> perUnit) const;
    /// Whether one more endpoint may be ejected although it accepts connections. If most endpoints fail, the cause is
    /// something they share, and ejecting all of them would not help.
    bool mayEjectMore() const;
    std::optional<std::size_t>
    tryGroup(const Group &group, const PickRequest &request, double share, TimePoint now, std::mt19937_64 &random);
    void updateLatency(State &state, Duration latency, std::chrono::duration<double> perUnit);

    EndpointPoolOptions m_options;
    std::unique_ptr<ChoiceStrategy> m_strategy;
    std::vector<State> m_states;
    std::unordered_map<EndpointId, std::size_t> m_slots;
    std::vector<std::size_t> m_free;
    Group m_local;
    Group m_remote;
    SpillLimit m_spill;
    bool m_placesByCompletion = false;
    double m_batchShare = 1; // share of an endpoint's slots for requests of class `Batch`
    bool m_ownDomainReports = false;
    std::uint32_t m_inFlight = 0;
    double m_unitSeconds = 0;
    double m_requestSeconds = 0;
    double m_medianUnitSeconds = 0;
};

} // namespace bergamot
