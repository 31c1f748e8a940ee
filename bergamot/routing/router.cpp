#include "bergamot/routing/router.h"

namespace bergamot
{

namespace
{

constexpr Duration ReviewPeriod = std::chrono::milliseconds(500);
constexpr Duration MinRetryAfter = std::chrono::seconds(1);
constexpr Duration MaxRetryAfter = std::chrono::seconds(30);

int statusFor(const RefusalReason reason, RequestOutcome outcome, bool timedOut)
{
    switch (reason) {
    case RefusalReason::UnknownTarget:
        return 404;
    case RefusalReason::QueueFull:
    case RefusalReason::DeadlineTooShort:
        return outcome == RequestOutcome::RefusedNotRun ? 429 : 502;
    case RefusalReason::KeyInProgress:
        return 409;
    case RefusalReason::KeyMismatch:
        return 422;
    default:
        break;
    }
    if (outcome == RequestOutcome::RefusedNotRun) {
        return 503;
    }
    return timedOut || reason == RefusalReason::DeadlinePassed ? 504 : 502;
}

} // namespace

Router::Router(RouterOptions options, std::uint64_t seed)
    : m_options(std::move(options))
    , m_random(seed)
    , m_quarantine(m_options.quarantine)
{ }

Router::~Router() = default;

void Router::onView(const RoutingTable &table, TimePoint now)
{
    for (const auto &[name, target] : table.targets) {
        std::unique_ptr<TargetState> &state = m_targets[name];
        if (state == nullptr) {
            state = std::make_unique<TargetState>(m_options.target);
            state->pool.setPlacesByCompletion(m_placesByCompletion);
        }
        state->pool.update(target.endpoints, now);
    }
    for (auto &[name, state] : m_targets) {
        if (!table.targets.contains(name)) {
            state->pool.update({}, now);
        }
        dispatchQueued(*state, now);
    }
    std::vector<CrashReport> reports;
    reports.reserve(table.suspects.size());
    for (const SuspectReport &suspect : table.suspects) {
        reports.push_back(toCrashReport(suspect));
    }
    onCrashReports(reports, now);
}

void Router::onCrashReports(const std::vector<CrashReport> &reports, TimePoint now)
{
    if (reports.empty()) {
        return;
    }
    m_quarantine.merge(reports, now);
    reviewSuspects(now);
}

void Router::onRequest(CallerRequest request, TimePoint now)
{
    const RequestId id = request.id;
    Pending &pending = m_pending[id];
    pending.request = std::move(request);
    if (!m_accepting) {
        refuse(pending, {RefusalReason::ShuttingDown, "This instance is shutting down.", MinRetryAfter});
        return;
    }
    const auto target = m_targets.find(pending.request.target);
    if (target == m_targets.end() || target->second->pool.usedEndpoints() == 0) {
        const bool known = target != m_targets.end();
        refuse(pending,
               {known ? RefusalReason::NoEndpoint : RefusalReason::UnknownTarget,
                known ? "No endpoint of the target is registered now." : "No such service or model is configured.",
                MinRetryAfter});
        return;
    }
    pending.target = target->second.get();
    m_timers.push({pending.request.deadline - m_options.deadlineMargin, id, TimerKind::Deadline});
    if (!pending.request.key.empty()) {
        pending.stage = Stage::AwaitingKey;
        m_actions.emplace_back(ClaimKeyAction{id});
        return;
    }
    admit(pending, now);
}

void Router::onKeyState(RequestId id, KeyState state, Duration retryAfter, TimePoint now)
{
    Pending *pending = find(id);
    if (pending == nullptr || pending->stage != Stage::AwaitingKey) {
        if (state == KeyState::Granted) {
            m_actions.emplace_back(RecordKeyAction{id, RequestOutcome::RefusedNotRun, 0});
        }
        return;
    }
    const Duration retryDelay = std::max(retryAfter, MinRetryAfter);
    switch (state) {
    case KeyState::Granted:
        pending->keyClaimed = true;
        admit(*pending, now);
        return;
    case KeyState::Finished:
        m_actions.emplace_back(ForwardStoredAction{id});
        finish(id);
        return;
    case KeyState::InProgress:
        pending->outcome = RequestOutcome::MaybeRan;
        refuse(*pending, {RefusalReason::KeyInProgress, "A request with this key is running.", retryDelay});
        return;
    case KeyState::Mismatch:
        refuse(*pending, {RefusalReason::KeyMismatch, "The key was used with another request.", Duration::zero()});
        return;
    case KeyState::Unavailable:
        refuse(*pending, {RefusalReason::KeyUnavailable, "The key cannot be claimed now.", retryDelay});
        return;
    }
}

void Router::setCutOff(bool cutOff, TimePoint now)
{
    m_cutOff = cutOff;
    if (!cutOff) {
        return;
    }
    for (auto &[name, target] : m_targets) {
        refuseQueue(*target);
        for (const RequestId id : std::exchange(target->resumptions, {})) {
            if (Pending *pending = find(id)) {
                admit(*pending, now);
            }
        }
        for (const RequestId id : std::exchange(target->suspects, {})) {
            if (Pending *pending = find(id)) {
                admit(*pending, now);
            }
        }
    }
}

void Router::setPlacesByCompletion(bool places)
{
    m_placesByCompletion = places;
    for (auto &[name, target] : m_targets) {
        target->pool.setPlacesByCompletion(places);
    }
}

void Router::onLoadReport(const EndpointId &endpoint, const cost::LoadReport &report, TimePoint now)
{
    for (auto &[name, target] : m_targets) {
        if (const std::optional<std::size_t> slot = target->pool.slotOf(endpoint)) {
            target->pool.loadReported(*slot, report, now);
        }
    }
}

std::size_t Router::batchRoom(const std::string &target, std::size_t waiting, Duration work, TimePoint now)
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? 0 : found->second->pool.batchRoom(waiting, work, now);
}

void Router::onOutlookTold(const cost::SharedOutlook &told, TimePoint now)
{
    for (auto &[name, target] : m_targets) {
        const std::optional<std::size_t> slot = target->pool.slotOf(told.process.endpoint);
        if (slot && target->pool.incarnation(*slot) == told.process.incarnation) {
            target->pool.outlookTold(*slot, told.outlook, now);
        }
    }
}

std::vector<cost::SharedOutlook> Router::outlooks(TimePoint after, TimePoint now) const
{
    std::vector<cost::SharedOutlook> known;
    for (const auto &[name, target] : m_targets) {
        const std::vector<cost::SharedOutlook> ofTarget = target->pool.outlooks(after, now);
        known.insert(known.end(), ofTarget.begin(), ofTarget.end());
    }
    return known;
}

void Router::stopAccepting()
{
    m_accepting = false;
}

void Router::stop(TimePoint now)
{
    stopAccepting();
    std::vector<RequestId> ids;
    ids.reserve(m_pending.size());
    for (const auto &[id, pending] : m_pending) {
        ids.push_back(id);
    }
    for (const RequestId id : ids) {
        if (Pending *pending = find(id)) {
            endUnanswered(*pending, RefusalReason::ShuttingDown, "This instance is shutting down.", now);
        }
    }
}

void Router::tick(TimePoint now)
{
    runTimers(now);
    const bool review = now >= m_reviewAt;
    for (auto &[name, target] : m_targets) {
        if (review) {
            target->pool.review(now, m_random);
        }
        dispatchQueued(*target, now);
    }
    if (review) {
        m_reviewAt = now + ReviewPeriod;
    }
}

Actions Router::takeActions()
{
    return std::exchange(m_actions, {});
}

std::vector<CrashReport> Router::takeCrashReports(TimePoint now)
{
    return m_quarantine.takeChanges(now);
}

std::size_t Router::pending() const
{
    return m_pending.size();
}

std::size_t Router::queued() const
{
    std::size_t total = 0;
    for (const auto &[name, target] : m_targets) {
        total += target->queue.size() + target->resumptions.size();
    }
    return total;
}

std::uint64_t Router::retries() const
{
    return m_retries;
}

std::uint64_t Router::hedges() const
{
    return m_hedges;
}

void Router::admit(Pending &pending, TimePoint now)
{
    switch (quarantineStatus(pending.request, now)) {
    case QuarantineStatus::Refused:
        refuseSuspect(pending, now);
        return;
    case QuarantineStatus::Suspect:
        if (!m_cutOff) {
            quarantine(pending, now);
            return;
        }
        break;
    case QuarantineStatus::Clear:
        break;
    }
    if (m_cutOff) {
        refuse(pending, {RefusalReason::NoEndpoint, "This instance reaches no endpoint now.", MinRetryAfter});
        return;
    }
    if (!pending.request.softwareVersion.empty()) {
        admitResumption(pending, now);
        return;
    }
    if (!pending.target->pool.serviceableFor(pickRequest(pending), now)) {
        refuse(pending, {RefusalReason::NoEndpoint, "No endpoint of the target serves now.", MinRetryAfter});
        return;
    }
    const bool queueIsEmpty = pending.target->queue.size(pending.request.trafficClass) == 0;
    if (queueIsEmpty && tryDispatch(pending, now)) {
        return;
    }
    enqueue(pending, now);
}

void Router::admitResumption(Pending &pending, TimePoint now)
{
    TargetState &target = *pending.target;
    if (!target.pool.serviceableFor(pickRequest(pending), now)) {
        refuseResumption(pending);
        return;
    }
    if (tryDispatch(pending, now)) {
        return;
    }
    pending.stage = Stage::Queued;
    pending.tried.clear();
    target.resumptions.push_back(pending.request.id);
    m_timers.push({now + m_options.maxResumptionWait, pending.request.id, TimerKind::ResumptionWait});
}

void Router::enqueue(Pending &pending, TimePoint now)
{
    TargetState &target = *pending.target;
    const WaitingRequest waiting{.id = pending.request.id,
                                 .trafficClass = pending.request.trafficClass,
                                 .deadline = pending.request.deadline - m_options.deadlineMargin,
                                 .tenant = pending.request.tenant};
    const AdmissionQueue::Offer offer = target.queue.offer(waiting, target.serviceTimes(), now);
    if (!offer.queued) {
        refuse(pending,
               {RefusalReason::QueueFull,
                "The target is overloaded; the request would not be answered before its deadline.",
                retryAfter(target, offer.expectedWait)});
        return;
    }
    pending.stage = Stage::Queued;
    pending.tried.clear();
    if (Pending *evicted = offer.evicted ? find(*offer.evicted) : nullptr) {
        refuse(*evicted,
               {RefusalReason::QueueFull,
                "The target is overloaded; requests of a higher class go first.",
                retryAfter(target, offer.expectedWait)});
    }
}

void Router::refuse(Pending &pending, const Refusal &refusal)
{
    const RequestId id = pending.request.id;
    if (pending.keyClaimed) {
        recordKey(pending, pending.outcome, 0);
    }
    if (pending.streamStarted) {
        m_actions.emplace_back(AbortStreamAction{id});
    } else {
        m_actions.emplace_back(RefuseAction{.request = id,
                                            .outcome = pending.outcome,
                                            .reason = refusal.reason,
                                            .status = statusFor(refusal.reason, pending.outcome, pending.timedOut),
                                            .message = refusal.message,
                                            .retryAfter = refusal.retryAfter});
    }
    finish(id);
}

void Router::refuseSuspect(Pending &pending, TimePoint now)
{
    refuse(pending,
           {RefusalReason::CrashSuspect,
            "Endpoints crashed while running this request; it is not run again. Change it before sending it again.",
            m_quarantine.refusedFor(pending.request.fingerprint, now)});
}

void Router::refuseResumption(Pending &pending)
{
    // The caller may begin the stream anew at once.
    refuse(pending,
           {RefusalReason::NoSuchSoftware,
            "No endpoint of the software version that began this stream can resume it. Begin it anew.",
            Duration::zero()});
}

void Router::refuseQueue(TargetState &target)
{
    while (const std::optional<WaitingRequest> waiting = target.queue.front()) {
        target.queue.popFront();
        if (Pending *pending = find(waiting->id)) {
            refuse(*pending, {RefusalReason::NoEndpoint, "No endpoint of the target serves now.", MinRetryAfter});
        }
    }
}

void Router::finish(RequestId id)
{
    m_pending.erase(id);
}

Router::Pending *Router::find(RequestId id)
{
    const auto found = m_pending.find(id);
    return found == m_pending.end() ? nullptr : &found->second;
}

Duration Router::retryAfter(const TargetState &target, Duration expectedWait)
{
    const Duration base = std::clamp(expectedWait + target.pool.requestDuration(), MinRetryAfter, MaxRetryAfter);
    std::uniform_int_distribution<Duration::rep> spread(0, base.count());
    return std::min(base + Duration(spread(m_random)), MaxRetryAfter);
}

} // namespace bergamot
