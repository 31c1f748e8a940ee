#include "bergamot/routing/endpoint_pool.h"

#include "bergamot/base/hash.h"

namespace bergamot
{

namespace
{

constexpr double LatencySmoothing = 0.2;
constexpr double PoolSmoothing = 0.05;
constexpr std::uint32_t MinAnswersToCompare = 5;
constexpr std::size_t MinEndpointsToCompare = 3;
constexpr double ReservableShare = 1.0 / 3.0;
// The view reports an endpoint without a known incarnation as leaving within this time after its own answer did.
constexpr Duration LeavingHoldTime = std::chrono::seconds(10);

/// Derives the rounding from a hash of the instance's name: constant per instance and uniform over all instances.
ReportLimitOptions withRounding(ReportLimitOptions options, const std::string &instance)
{
    constexpr double HashRange = 18446744073709551616.0;
    options.rounding = static_cast<double>(stableHash(instance)) / HashRange;
    return options;
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

void smooth(double &mean, double value, double share)
{
    mean = mean <= 0 ? value : mean + share * (value - mean);
}

} // namespace

EndpointPool::EndpointPool(EndpointPoolOptions options, std::unique_ptr<ChoiceStrategy> strategy)
    : m_options(std::move(options))
    , m_strategy(std::move(strategy))
    , m_spill(m_options.spillThreshold)
{
    m_local.reportLimit = ReportLimit(withRounding(m_options.reportLimit, m_options.instance));
    m_remote.reportLimit = m_local.reportLimit;
}

void EndpointPool::update(std::span<const RoutedEndpoint> endpoints, TimePoint now)
{
    for (State &state : m_states) {
        state.present = false;
    }
    for (const RoutedEndpoint &endpoint : endpoints) {
        State &state = m_states[slotFor(endpoint)];
        state.present = true;
        applyReport(state, endpoint, now);
        state.routed = endpoint;
    }
    for (std::size_t slot = 0; slot < m_states.size(); ++slot) {
        const State &state = m_states[slot];
        if (state.present || state.load.inFlight() > 0 || state.reserved) {
            continue;
        }
        // An endpoint that was removed and added again may have another slot now.
        const auto found = m_slots.find(state.routed.id);
        if (found != m_slots.end() && found->second == slot) {
            m_slots.erase(found);
            m_free.push_back(slot);
        }
    }
    rebuildGroups(now);
    countInFlight();
    applyReports(now);
}

void EndpointPool::dispatched(std::size_t slot, TimePoint now)
{
    State &state = m_states[slot];
    countDispatched(state, now);
    state.health.dispatched(now);
    if (m_options.gate != nullptr) {
        m_options.gate->dispatched(processOf(state), now);
    }
}

void EndpointPool::setPlacesByCompletion(bool places)
{
    m_placesByCompletion = places;
}

std::optional<std::size_t> EndpointPool::slotOf(const EndpointId &endpoint) const
{
    const auto found = m_slots.find(endpoint);
    return found == m_slots.end() ? std::nullopt : std::optional(found->second);
}

void EndpointPool::loadReported(std::size_t slot, const cost::LoadReport &report, TimePoint now)
{
    m_states[slot].outlook.reported(report, now);
}

void EndpointPool::outlookTold(std::size_t slot, const cost::ToldOutlook &outlook, TimePoint now)
{
    m_states[slot].outlook.told(outlook, now);
}

std::vector<cost::SharedOutlook> EndpointPool::outlooks(TimePoint after, TimePoint now) const
{
    std::vector<cost::SharedOutlook> known;
    for (const State &state : m_states) {
        if (state.present && state.outlook.heardAt() > after) {
            known.push_back({.process = processOf(state),
                             .outlook = {.slowness = state.outlook.slowness(now),
                                         .queued = state.outlook.queued(state.load.inFlight(), now)}});
        }
    }
    return known;
}

void EndpointPool::durationObserved(std::size_t slot, Duration duration, Duration tail, TimePoint now)
{
    m_states[slot].outlook.answered(duration, tail, now);
}

void EndpointPool::answered(std::size_t slot, Duration latency, double work, TimePoint now, std::mt19937_64 &random)
{
    State &state = m_states[slot];
    state.mayHaveIdleConnection = true;
    const std::chrono::duration<double> perUnit = latency / std::max(1.0, work);
    const std::uint32_t inFlightBefore = state.load.inFlight();
    countFinished(state, now);
    if (state.health.ejected() && tooSlow(perUnit)) {
        state.health.failed(EndpointFailure::Slow, now, random);
        return;
    }
    if (state.health.ejected()) {
        state.unitSeconds = 0;
        state.answers = 0;
    }
    state.health.succeeded(now);
    const std::uint32_t allowedBefore = state.limit.allowed();
    state.limit.answered(fromSeconds(perUnit.count()), inFlightBefore);
    groupOf(state).allowed += static_cast<double>(state.limit.allowed()) - allowedBefore;
    updateLatency(state, latency, perUnit);
}

void EndpointPool::failed(std::size_t slot, EndpointFailure failure, TimePoint now, std::mt19937_64 &random)
{
    State &state = m_states[slot];
    countFinished(state, now);
    if (failure != EndpointFailure::Refused && !state.health.ejected() && !mayEjectMore()) {
        return;
    }
    state.health.failed(failure, now, random);
    if (failure == EndpointFailure::Stalled) {
        state.limit.overloaded();
    }
}

void EndpointPool::refused(std::size_t slot, TimePoint now)
{
    State &state = m_states[slot];
    state.mayHaveIdleConnection = true;
    countFinished(state, now);
    state.health.succeeded(now);
    state.limit.overloaded();
}

void EndpointPool::endedInconclusively(std::size_t slot, TimePoint now)
{
    State &state = m_states[slot];
    countFinished(state, now);
    state.health.endedInconclusively();
}

void EndpointPool::connectionsDropped(std::size_t slot)
{
    m_states[slot].mayHaveIdleConnection = false;
}

bool EndpointPool::mayHaveIdleConnection(std::size_t slot) const
{
    return m_states[slot].mayHaveIdleConnection;
}

void EndpointPool::markLeaving(std::size_t slot, std::uint64_t incarnation, TimePoint now)
{
    State &state = m_states[slot];
    if (incarnation == state.routed.incarnation) {
        state.leavingIncarnation = incarnation;
        state.leavingUntil = now + LeavingHoldTime;
    }
}

bool EndpointPool::takesRequests(std::size_t slot, TimePoint now) const
{
    return usable(m_states[slot], now);
}

void EndpointPool::review(TimePoint now, std::mt19937_64 &random)
{
    sumLimits();
    std::vector<double> speeds;
    for (const State &state : m_states) {
        if (state.present && state.answers >= MinAnswersToCompare && !state.health.ejected()) {
            speeds.push_back(state.unitSeconds);
        }
    }
    if (speeds.size() < MinEndpointsToCompare) {
        m_medianUnitSeconds = 0;
        return;
    }
    const auto middle = speeds.begin() + static_cast<std::ptrdiff_t>(speeds.size() / 2);
    std::nth_element(speeds.begin(), middle, speeds.end());
    m_medianUnitSeconds = *middle;
    for (State &state : m_states) {
        const bool compared = state.present && state.answers >= MinAnswersToCompare && !state.health.ejected();
        if (compared && tooSlow(std::chrono::duration<double>(state.unitSeconds)) && mayEjectMore()) {
            state.health.failed(EndpointFailure::Slow, now, random);
        }
    }
}

bool EndpointPool::admits(std::size_t slot, TimePoint now) const
{
    return usable(m_states[slot], now) && m_states[slot].health.admits(now);
}

bool EndpointPool::idle(std::size_t slot) const
{
    return m_states[slot].load.inFlight() == 0;
}

void EndpointPool::releaseExclusive(std::size_t slot)
{
    m_states[slot].reserved = false;
}

std::size_t EndpointPool::maxReserved() const
{
    const double share = ReservableShare * static_cast<double>(usedEndpoints());
    return std::max<std::size_t>(1, static_cast<std::size_t>(share));
}

const EndpointId &EndpointPool::endpoint(std::size_t slot) const
{
    return m_states[slot].routed.id;
}

const Address &EndpointPool::address(std::size_t slot) const
{
    return m_states[slot].routed.address;
}

const std::string &EndpointPool::softwareVersion(std::size_t slot) const
{
    return m_states[slot].routed.softwareVersion;
}

std::uint64_t EndpointPool::incarnation(std::size_t slot) const
{
    return m_states[slot].routed.incarnation;
}

std::uint32_t EndpointPool::inFlight(std::size_t slot) const
{
    return m_states[slot].load.inFlight();
}

std::uint32_t EndpointPool::inFlight() const
{
    return m_inFlight;
}

std::size_t EndpointPool::usedEndpoints() const
{
    return m_local.memberSlots.size() + m_remote.memberSlots.size();
}

Duration EndpointPool::unitLatency() const
{
    return fromSeconds(m_unitSeconds);
}

Duration EndpointPool::requestDuration() const
{
    return fromSeconds(m_requestSeconds);
}

std::size_t EndpointPool::slotFor(const RoutedEndpoint &endpoint)
{
    const auto found = m_slots.find(endpoint.id);
    if (found != m_slots.end()) {
        return found->second;
    }
    std::size_t slot = m_states.size();
    if (m_free.empty()) {
        m_states.emplace_back();
    } else {
        slot = m_free.back();
        m_free.pop_back();
        m_states[slot] = State();
    }
    State &state = m_states[slot];
    state.identity = stableHash(endpoint.id.value());
    state.limit = ConcurrencyLimit(m_options.limit);
    state.health = EndpointHealth(m_options.health);
    m_slots.emplace(endpoint.id, slot);
    return slot;
}

void EndpointPool::rebuildGroups(TimePoint now)
{
    std::vector<std::size_t> local;
    std::vector<std::size_t> remote;
    for (const auto &[id, slot] : m_slots) {
        if (usable(m_states[slot], now)) {
            (m_states[slot].routed.domain == m_options.domain ? local : remote).push_back(slot);
        }
    }
    const auto subset = [&](std::vector<std::size_t> &from, std::size_t maxSize) {
        std::sort(from.begin(), from.end());
        std::vector<std::string_view> names;
        names.reserve(from.size());
        for (const std::size_t slot : from) {
            names.push_back(m_states[slot].routed.id.value());
        }
        std::vector<std::size_t> kept;
        for (const std::size_t position : rendezvousSubset(m_options.instance, names, maxSize)) {
            kept.push_back(from[position]);
        }
        return kept;
    };
    m_local.memberSlots = subset(local, m_options.localSubset);
    m_remote.memberSlots = subset(remote, m_options.remoteSubset);
    sumLimits();
}

void EndpointPool::applyReport(State &state, const RoutedEndpoint &endpoint, TimePoint now) const
{
    state.limit.setReportedSlots(endpoint.reportsLoad() ? endpoint.slots : 0);
    if (endpoint.reportsLoad()) {
        state.load.reported(endpoint.load, now - endpoint.loadAge);
    }
}

bool EndpointPool::tooSlow(std::chrono::duration<double> perUnit) const
{
    return m_medianUnitSeconds > 0 && perUnit.count() > m_options.slowFactor * m_medianUnitSeconds;
}

EndpointPool::Group &EndpointPool::groupOf(const State &state)
{
    return state.routed.domain == m_options.domain ? m_local : m_remote;
}

void EndpointPool::countDispatched(State &state, TimePoint now)
{
    state.load.dispatched(now);
    ++m_inFlight;
    Group &group = groupOf(state);
    ++group.inFlight;
    group.reportLimit.dispatched(group.inFlight);
    m_spill.dispatched(m_remote.inFlight);
}

void EndpointPool::countFinished(State &state, TimePoint now)
{
    state.load.finished(now);
    --m_inFlight;
    --groupOf(state).inFlight;
}

void EndpointPool::countInFlight()
{
    m_local.inFlight = 0;
    m_remote.inFlight = 0;
    for (const State &state : m_states) {
        groupOf(state).inFlight += state.load.inFlight();
    }
}

void EndpointPool::sumLimits()
{
    for (Group *group : {&m_local, &m_remote}) {
        group->allowed = 0;
        for (const std::size_t slot : group->memberSlots) {
            group->allowed += m_states[slot].health.ejected() ? 0.0 : m_states[slot].limit.allowed();
        }
    }
}

EndpointPool::GroupReport EndpointPool::sumReports(const Group &group) const
{
    GroupReport sum;
    for (const std::size_t slot : group.memberSlots) {
        const RoutedEndpoint &routed = m_states[slot].routed;
        if (!routed.reportsLoad()) {
            continue;
        }
        sum.load += routed.load;
        sum.slots += routed.slots;
        sum.oldest = std::max(sum.oldest, routed.loadAge);
    }
    return sum;
}

void EndpointPool::applyReports(TimePoint now)
{
    const GroupReport own = sumReports(m_local);
    const GroupReport others = sumReports(m_remote);
    for (const auto &[group, report] : {std::pair(&m_local, own), std::pair(&m_remote, others)}) {
        if (report.slots > 0) {
            group->reportLimit.reported(report.load / report.slots, now - report.oldest);
        } else {
            group->reportLimit.reportsStopped();
        }
    }
    m_ownDomainReports = own.slots > 0;
    applySpillReport(own, others, now);
}

void EndpointPool::applySpillReport(const GroupReport &own, const GroupReport &others, TimePoint now)
{
    if (own.slots <= 0 || others.slots <= 0) {
        m_spill.reportsStopped();
        return;
    }
    std::set<FailureDomainId> domains;
    for (const std::size_t slot : m_remote.memberSlots) {
        domains.insert(m_states[slot].routed.domain);
    }
    // The instances share the free slots of other domains in the same proportion as the slots of their own domain.
    const double ownShare = std::min(1.0, m_local.reportLimit.allowed() / own.slots);
    m_spill.reported({.requestsPerSlot = others.load / others.slots,
                      .slots = others.slots,
                      .share = ownShare / static_cast<double>(domains.size())},
                     now - others.oldest);
}

bool EndpointPool::ownDomainServes() const
{
    return m_options.spillByReports && m_ownDomainReports && m_local.allowed > 0;
}

bool EndpointPool::mayEjectMore() const
{
    const auto ejected = std::count_if(m_states.begin(), m_states.end(), [](const State &state) {
        return state.present && state.health.ejected();
    });
    return static_cast<double>(ejected + 1) <= m_options.maxEjectedShare * static_cast<double>(usedEndpoints());
}

void EndpointPool::updateLatency(State &state, Duration latency, std::chrono::duration<double> perUnit)
{
    ++state.answers;
    smooth(state.unitSeconds, perUnit.count(), LatencySmoothing);
    smooth(m_unitSeconds, perUnit.count(), PoolSmoothing);
    smooth(m_requestSeconds, seconds(latency), PoolSmoothing);
}

} // namespace bergamot
