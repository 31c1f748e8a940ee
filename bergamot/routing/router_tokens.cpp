#include "bergamot/routing/router.h"

namespace bergamot
{

namespace
{

constexpr Duration MinReturn =
    std::chrono::milliseconds(50); // a token that arises sooner is not worth a new connection

std::size_t useOf(const CallerRequest &request)
{
    return static_cast<std::size_t>(request.owed ? quota::TokenUse::Owed : quota::TokenUse::Caller);
}

} // namespace

std::vector<TokenRequest> Router::takeTokenRequests(TimePoint now)
{
    std::vector<TokenRequest> requests;
    if (m_options.target.pool.gate == nullptr || !m_options.target.pool.gate->limitsAny()) {
        return requests;
    }
    for (auto &[name, target] : m_targets) {
        if (target->tokenWait
            || (target->queue.size() == 0 && target->resumptions.empty() && target->reservations.empty())) {
            continue;
        }
        TokenRequest request{.id = m_lastTokenRequest + 1, .endpoints = target->pool.gatedEndpoints(now)};
        for (const QuarantineReservation &reservation : target->reservations) {
            if (gatedReservation(*target, reservation.request, now) != nullptr) {
                request.endpoints.push_back(
                    {target->pool.endpoint(reservation.slot), target->pool.incarnation(reservation.slot)});
            }
        }
        std::vector<RequestId> waiting = requestsWithoutToken(*target, now);
        if (request.endpoints.empty() || waiting.empty()) {
            continue;
        }
        for (const RequestId id : waiting) {
            ++request.wanted[useOf(find(id)->request)];
        }
        ++m_lastTokenRequest;
        target->tokenWait = TokenWait{.id = request.id, .requests = std::move(waiting)};
        requests.push_back(std::move(request));
    }
    return requests;
}

void Router::onTokens(std::uint64_t id, const std::array<quota::ReturnTimes, quota::TokenUses> &returns, TimePoint now)
{
    const auto found = std::find_if(m_targets.begin(), m_targets.end(), [id](const auto &entry) {
        return entry.second->tokenWait && entry.second->tokenWait->id == id;
    });
    if (found == m_targets.end()) {
        return;
    }
    TargetState &target = *found->second;
    const std::vector<RequestId> requests = std::move(target.tokenWait->requests);
    target.tokenWait.reset();
    dispatchQueued(target, now);
    std::array<std::uint32_t, quota::TokenUses> refused{};
    for (const RequestId request : requests) {
        Pending *pending = find(request);
        if (pending == nullptr) {
            continue;
        }
        const bool waits = pending->stage == Stage::Queued && target.pool.allGated(now);
        if (waits || gatedReservation(target, request, now) != nullptr) {
            const std::size_t use = useOf(pending->request);
            refuseForLimit(*pending, returns[use].first + returns[use].spacing * refused[use]++, now);
        }
    }
}

std::vector<RequestId> Router::requestsWithoutToken(const TargetState &target, TimePoint now)
{
    std::vector<RequestId> requests;
    for (const auto &[id, pending] : m_pending) {
        if (pending.target == &target
            && (pending.stage == Stage::Queued || gatedReservation(*pending.target, id, now) != nullptr)) {
            requests.push_back(id);
        }
    }
    std::sort(requests.begin(), requests.end()); // in the order of their arrival
    return requests;
}

QuarantineReservation *Router::gatedReservation(TargetState &target, RequestId id, TimePoint now)
{
    const auto found =
        std::find_if(target.reservations.begin(), target.reservations.end(), [&](const auto &reservation) {
            return reservation.request == id && !reservation.running && target.pool.idle(reservation.slot)
                && !target.pool.gateAdmits(reservation.slot, now);
        });
    return found == target.reservations.end() ? nullptr : &*found;
}

void Router::refuseForLimit(Pending &pending, Duration retryAfter, TimePoint now)
{
    TargetState &target = *pending.target;
    const RequestId id = pending.request.id;
    target.queue.remove(id);
    if (const QuarantineReservation *reservation = gatedReservation(target, id, now)) {
        target.pool.releaseExclusive(reservation->slot);
        target.reservations.erase(target.reservations.begin() + (reservation - target.reservations.data()));
    }
    refuse(pending,
           {RefusalReason::LimitReached,
            "The endpoints of the target take no more requests a second for now.",
            std::max(retryAfter, MinReturn)});
}

} // namespace bergamot
