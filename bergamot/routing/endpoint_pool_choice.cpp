#include <cmath>
#include <limits>

#include "bergamot/cost/background_share.h"
#include "bergamot/routing/endpoint_pool.h"

namespace bergamot
{

namespace
{

constexpr double LoadingPenalty = 4;
// A report with a lower freshness does not restrict dispatch.
constexpr double MinFreshness = 0.5;
constexpr double DefaultUnitSeconds = 1e-3;
// A request goes to another domain if it is expected to be complete there in clearly less time: the links between
// domains take some milliseconds, and those who are at home there are not pushed out for a small gain.
constexpr double OtherDomainFactor = 1.25;
constexpr double OtherDomainSeconds = 0.005;

} // namespace

/// The endpoints of one group, as candidates for a strategy.
class EndpointPool::CandidateView final : public Candidates
{
public:
    CandidateView(const EndpointPool &pool,
                  const std::vector<std::size_t> &memberSlots,
                  const PickRequest &request,
                  double share,
                  TimePoint now)
        : m_pool(pool)
        , m_memberSlots(memberSlots)
        , m_request(request)
        , m_share(share)
        , m_now(now)
    { }

    std::size_t size() const override
    {
        return m_memberSlots.size();
    }

    bool hasRoom(std::size_t index) const override
    {
        const std::size_t slot = m_memberSlots[index];
        const bool excluded =
            std::find(m_request.excluded.begin(), m_request.excluded.end(), slot) != m_request.excluded.end();
        const State &state = m_pool.m_states[slot];
        if (excluded || !m_pool.suits(slot, m_request) || !m_pool.hasRoom(state, m_share, m_now)) {
            return false;
        }
        const bool yields = m_pool.m_placesByCompletion && m_request.trafficClass == TrafficClass::Batch;
        return !yields || state.load.inFlight() < m_pool.batchRoom(state, m_pool.m_batchShare, m_now);
    }

    double cost(std::size_t index) const override
    {
        const State &state = m_pool.m_states[m_memberSlots[index]];
        if (m_pool.m_placesByCompletion && m_request.usualWork > Duration::zero()) {
            return m_pool.completionSeconds(state, m_request, m_now);
        }
        return m_request.prefix != 0 ? state.load.inFlight() : m_pool.cost(state, m_now);
    }

    std::uint64_t identity(std::size_t index) const override
    {
        return m_pool.m_states[m_memberSlots[index]].identity;
    }

private:
    const EndpointPool &m_pool;
    const std::vector<std::size_t> &m_memberSlots;
    const PickRequest &m_request;
    double m_share;
    TimePoint m_now;
};

std::optional<std::size_t> EndpointPool::pick(const PickRequest &request, TimePoint now, std::mt19937_64 &random)
{
    if (request.prefix != 0 && classHasRoom(m_local, request.trafficClass, 1.0)) {
        const CandidateView view(*this, m_local.memberSlots, request, 1.0, now);
        const double mean = (m_inFlight + 1.0) / static_cast<double>(std::max<std::size_t>(1, usedEndpoints()));
        if (const auto owner = choosePrefixOwner(view, request.prefix, m_options.affinityBound * mean + 1.0)) {
            return m_local.memberSlots[*owner];
        }
    }
    PickRequest plain = request;
    plain.prefix = 0;
    if (m_placesByCompletion && request.usualWork > Duration::zero()) {
        return pickByCompletion(plain, now, random);
    }
    const bool maySpill =
        !m_remote.memberSlots.empty() && (!ownDomainServes() || m_remote.inFlight < m_spill.allowed());
    if (maySpill) {
        if (const auto slot = tryGroup(m_local, plain, m_options.spillThreshold, now, random)) {
            return slot;
        }
        if (const auto slot = tryGroup(m_remote, plain, 1.0, now, random)) {
            return slot;
        }
    }
    return tryGroup(m_local, plain, 1.0, now, random);
}

std::optional<std::size_t>
EndpointPool::pickByCompletion(const PickRequest &request, TimePoint now, std::mt19937_64 &random)
{
    const std::optional<std::size_t> own = tryGroup(m_local, request, 1.0, now, random);
    const std::optional<std::size_t> other = tryGroup(m_remote, request, 1.0, now, random);
    if (!own || !other) {
        return own ? own : other;
    }
    const double ownSeconds = completionSeconds(m_states[*own], request, now);
    const double otherSeconds = completionSeconds(m_states[*other], request, now);
    return otherSeconds * OtherDomainFactor + OtherDomainSeconds < ownSeconds ? other : own;
}

double EndpointPool::batchRoom(const State &state, double share, TimePoint now) const
{
    const double slots = std::max(1U, state.routed.slots);
    return std::max(1.0, slots * share / std::max(1.0, state.outlook.slowness(now)));
}

std::size_t EndpointPool::sumBatchRoom(double share, TimePoint now) const
{
    double room = 0;
    for (const Group *group : {&m_local, &m_remote}) {
        for (const std::size_t slot : group->memberSlots) {
            const State &state = m_states[slot];
            room += usable(state, now) && !state.health.ejected() ? std::floor(batchRoom(state, share, now)) : 0;
        }
    }
    return static_cast<std::size_t>(room);
}

std::size_t EndpointPool::batchRoom(std::size_t waiting, Duration work, TimePoint now)
{
    if (!m_placesByCompletion) {
        return std::numeric_limits<std::size_t>::max();
    }
    const std::size_t least = sumBatchRoom(cost::backgroundShare(Duration::zero()), now);
    m_batchShare = cost::backgroundShare(work * waiting / std::max<std::size_t>(1, least));
    return sumBatchRoom(m_batchShare, now);
}

double EndpointPool::completionSeconds(const State &state, const PickRequest &request, TimePoint now) const
{
    const Duration expected = state.outlook.completion(
        {.work = request.usualWork, .queuedWork = request.queuedWork, .inFlight = state.load.inFlight()}, now);
    return std::chrono::duration<double>(expected).count() / state.health.share(now);
}

bool EndpointPool::serviceable(TimePoint now) const
{
    return serviceableFor({}, now);
}

bool EndpointPool::serviceableFor(const PickRequest &request, TimePoint now) const
{
    const auto serves = [&](std::size_t slot) {
        const State &state = m_states[slot];
        return suits(slot, request) && usable(state, now) && (!state.health.ejected() || state.health.admits(now));
    };
    return std::any_of(m_local.memberSlots.begin(), m_local.memberSlots.end(), serves)
        || std::any_of(m_remote.memberSlots.begin(), m_remote.memberSlots.end(), serves);
}

bool EndpointPool::suits(std::size_t slot, const PickRequest &request) const
{
    const RoutedEndpoint &routed = m_states[slot].routed;
    return (request.softwareVersion.empty() || routed.softwareVersion == request.softwareVersion)
        && (!request.beginsStream || routed.beginsStreams);
}

bool EndpointPool::suits(const EndpointId &endpoint, const PickRequest &request) const
{
    const auto slot = m_slots.find(endpoint);
    return slot != m_slots.end() && suits(slot->second, request);
}

std::optional<std::size_t> EndpointPool::reserveExclusive(const std::function<bool(const EndpointId &)> &avoid,
                                                          TimePoint now)
{
    std::optional<std::size_t> best;
    for (const Group *group : {&m_local, &m_remote}) {
        for (const std::size_t slot : group->memberSlots) {
            const State &state = m_states[slot];
            const bool fits =
                usable(state, now) && !state.reserved && state.health.admits(now) && !avoid(state.routed.id);
            if (fits && (!best || state.load.inFlight() < m_states[*best].load.inFlight())) {
                best = slot;
            }
        }
        if (best) {
            m_states[*best].reserved = true;
            return best;
        }
    }
    return std::nullopt;
}

bool EndpointPool::saidLeaving(const State &state, TimePoint now)
{
    const std::uint64_t incarnation = state.routed.incarnation;
    return incarnation == 0 ? now < state.leavingUntil : incarnation == state.leavingIncarnation;
}

bool EndpointPool::usable(const State &state, TimePoint now) const
{
    return state.present && !state.routed.leaving && !saidLeaving(state, now);
}

EndpointProcess EndpointPool::processOf(const State &state)
{
    return {.endpoint = state.routed.id, .incarnation = state.routed.incarnation};
}

bool EndpointPool::gateAdmits(std::size_t slot, TimePoint now) const
{
    return m_options.gate == nullptr || m_options.gate->admits(processOf(m_states[slot]), now);
}

bool EndpointPool::allGated(TimePoint now) const
{
    const auto mayServe = [&](std::size_t slot) {
        return admits(slot, now) && gateAdmits(slot, now);
    };
    return std::none_of(m_local.memberSlots.begin(), m_local.memberSlots.end(), mayServe)
        && std::none_of(m_remote.memberSlots.begin(), m_remote.memberSlots.end(), mayServe);
}

std::vector<EndpointProcess> EndpointPool::gatedEndpoints(TimePoint now) const
{
    std::vector<EndpointProcess> gated;
    if (m_options.gate == nullptr || !m_options.gate->limitsAny()) {
        return gated;
    }
    for (const Group *group : {&m_local, &m_remote}) {
        for (const std::size_t slot : group->memberSlots) {
            if (hasCapacity(m_states[slot], 1.0, now) && !gateAdmits(slot, now)) {
                gated.push_back(processOf(m_states[slot]));
            }
        }
    }
    return gated;
}

bool EndpointPool::hasRoom(const State &state, double share, TimePoint now) const
{
    const bool gated = m_options.gate != nullptr && m_options.gate->limitsAny();
    return hasCapacity(state, share, now) && (!gated || m_options.gate->admits(processOf(state), now));
}

bool EndpointPool::hasCapacity(const State &state, double share, TimePoint now) const
{
    if (!usable(state, now) || state.reserved || !state.health.admits(now)) {
        return false;
    }
    if (state.health.ejected()) {
        return true;
    }
    const double allowed = state.limit.allowed() * share * state.health.share(now);
    if (state.load.inFlight() + 1.0 > std::max(1.0, allowed)) {
        return false;
    }
    const double slots = state.routed.slots;
    const bool reportHolds = slots > 0 && state.load.freshness(now, requestDuration()) > MinFreshness;
    const double most = slots * share + std::max(1.0, slots * m_options.slotMargin);
    return !reportHolds || state.load.load(now, requestDuration()) < most;
}

bool EndpointPool::classHasRoom(const Group &group, TrafficClass trafficClass, double share) const
{
    const double classShare = m_options.classShare[static_cast<std::size_t>(trafficClass)];
    const double allowed = std::min(group.allowed, group.reportLimit.allowed());
    const double reservedForHigherClasses = std::floor(allowed * (1.0 - classShare));
    const bool isInteractive = trafficClass == TrafficClass::Interactive;
    const double burst = isInteractive ? m_options.interactiveBurst * std::sqrt(allowed) : 0.0;
    return group.inFlight + 1.0 <= std::max(1.0, (allowed - reservedForHigherClasses) * share + burst);
}

double EndpointPool::cost(const State &state, TimePoint now) const
{
    const double unitSeconds = state.unitSeconds > 0 ? state.unitSeconds : std::max(m_unitSeconds, DefaultUnitSeconds);
    const double width = std::max<double>(1, state.routed.slots);
    const double penalty =
        (state.routed.loading ? LoadingPenalty : 1.0) * (state.routed.reachable ? 1.0 : LoadingPenalty);
    return (state.load.load(now, requestDuration()) + 1.0) / width * unitSeconds * penalty / state.health.share(now);
}

std::optional<std::size_t> EndpointPool::tryGroup(
    const Group &group, const PickRequest &request, double share, TimePoint now, std::mt19937_64 &random)
{
    if (!classHasRoom(group, request.trafficClass, share)) {
        return std::nullopt;
    }
    const CandidateView view(*this, group.memberSlots, request, share, now);
    const std::optional<std::size_t> chosen = m_strategy->choose(view, random);
    return chosen ? std::optional(group.memberSlots[*chosen]) : std::nullopt;
}

} // namespace bergamot
