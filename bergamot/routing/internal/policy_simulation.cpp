#include "bergamot/routing/internal/policy_simulation.h"

#include <deque>

namespace bergamot::routing_internal
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration OneWayDelay = 1ms;
constexpr Duration TickPeriod = 5ms;
constexpr Duration ViewPeriod = 500ms;
constexpr Duration RefusalDuration = 1s;
constexpr Duration DetectionTime = 2s; // until the views show an endpoint as unreachable
constexpr Duration UnknownLoadAge = 25500ms; // age reported for an unknown load
constexpr double ServiceSpread = 0.5; // sigma of the log-normal service time
const TimePoint Start(1h);

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

struct Job
{
    std::size_t router = 0;
    AttemptId attempt = 0;
    Duration service{};
    bool breaks = false;
    TimePoint reachedAt;
};

struct Endpoint
{
    std::unordered_map<std::uint64_t, Job> running;
    std::deque<Job> waiting;
    std::deque<std::pair<TimePoint, std::uint32_t>> history; // load over time, for delayed reports
};

struct Request
{
    TrafficClass trafficClass = TrafficClass::Interactive;
    TimePoint arrivedAt;
    Duration service{};
};

struct Attempt
{
    RequestId request = 0;
    Duration service{};
    TimePoint sentAt;
    Duration endpointWait{};
};

class Simulation
{
public:
    explicit Simulation(const SimulationOptions &options)
        : m_options(options)
        , m_random(options.seed)
        , m_endpoints(options.endpoints)
    {
        for (std::size_t index = 0; index < options.routers; ++index) {
            RouterOptions routerOptions;
            routerOptions.target.pool.instance = "entry-" + std::to_string(index);
            routerOptions.target.pool.domain = domainOf(index);
            if (options.adjust) {
                options.adjust(routerOptions);
            }
            m_routers.push_back(std::make_unique<Router>(routerOptions, options.seed * 1000 + index));
            m_attempts.emplace_back();
        }
    }

    SimulationResult run()
    {
        const TimePoint end = Start + m_options.warmUp + m_options.length;
        publishViews();
        schedule(m_now + TickPeriod, [this] {
            tickAll();
        });
        schedule(m_now + ViewPeriod, [this] {
            publishViewsPeriodically();
        });
        scheduleFaults();
        scheduleArrival();
        m_result.answersByRouter.resize(m_routers.size());
        while (!m_events.empty() && m_events.begin()->first < end) {
            auto node = m_events.extract(m_events.begin());
            m_now = node.key();
            node.mapped()();
        }
        m_result.capacitySeconds =
            secondsOf(m_options.length) * static_cast<double>(m_options.endpoints * m_options.slots);
        return std::move(m_result);
    }

private:
    void schedule(TimePoint time, std::function<void()> task)
    {
        m_events.emplace(time, std::move(task));
    }

    bool counted() const
    {
        return m_now >= Start + m_options.warmUp;
    }

    FailureDomainId domainOf(std::size_t index) const
    {
        return FailureDomainId("domain-" + std::to_string(index % m_options.domains));
    }

    void scheduleFaults()
    {
        if (m_options.crashAt) {
            schedule(Start + *m_options.crashAt, [this] {
                crash(1);
            });
        }
        if (m_options.domainLostAt) {
            schedule(Start + *m_options.domainLostAt, [this] {
                for (std::size_t target = 0; target < m_endpoints.size(); target += m_options.domains) {
                    crash(target);
                }
            });
        }
    }

    void crash(std::size_t target)
    {
        Endpoint &endpoint = m_endpoints[target];
        std::vector<Job> lost(endpoint.waiting.begin(), endpoint.waiting.end());
        for (const auto &[number, job] : endpoint.running) {
            lost.push_back(job);
        }
        endpoint.running.clear();
        endpoint.waiting.clear();
        recordLoad(endpoint);
        for (Job &job : lost) {
            job.breaks = true;
            schedule(m_now + OneWayDelay, [this, job] {
                deliverResult(job);
            });
        }
    }

    /// The time since which the endpoint has been down; none if it is up.
    std::optional<TimePoint> downSince(std::size_t target) const
    {
        if (m_options.domainLostAt && target % m_options.domains == 0 && m_now >= Start + *m_options.domainLostAt) {
            return Start + *m_options.domainLostAt;
        }
        const bool crashed = m_options.crashAt && target == 1 && m_now >= Start + *m_options.crashAt
            && m_now < Start + *m_options.crashAt + m_options.crashFor;
        return crashed ? std::optional(Start + *m_options.crashAt) : std::nullopt;
    }

    bool controlIsUnavailable() const
    {
        return m_options.controlLostAt && m_now >= Start + *m_options.controlLostAt;
    }

    double offeredLoad() const
    {
        const bool isFirst = m_now < Start
                + std::max(m_options.controlLostAt.value_or(Duration::zero()),
                           m_options.domainLostAt.value_or(Duration::zero()));
        return isFirst && m_options.initialLoad > 0 ? m_options.initialLoad : m_options.load;
    }

    void scheduleArrival()
    {
        const double workers = static_cast<double>(m_options.endpoints * m_options.slots);
        const double rate = offeredLoad() * workers / secondsOf(m_options.meanService);
        std::exponential_distribution<double> gap(rate);
        schedule(m_now + fromSeconds(gap(m_random)), [this] {
            createRequest();
            scheduleArrival();
        });
    }

    void createRequest()
    {
        std::discrete_distribution<std::size_t> classes(m_options.classShare.begin(), m_options.classShare.end());
        const std::size_t index = classes(m_random);
        std::lognormal_distribution<double> spread(-ServiceSpread * ServiceSpread / 2, ServiceSpread);
        const RequestId id = ++m_lastRequest;
        m_requests[id] = {.trafficClass = static_cast<TrafficClass>(index),
                          .arrivedAt = m_now,
                          .service = fromSeconds(secondsOf(m_options.meanService) * spread(m_random))};
        m_result.arrived.at(index) += counted() ? 1 : 0;
        CallerRequest request;
        request.id = id;
        request.target = "service/stock";
        request.trafficClass = static_cast<TrafficClass>(index);
        request.deadline = m_now + m_options.deadlines.at(index);
        request.repeatable = true;
        request.fingerprint = id;
        const std::size_t router = id % m_routers.size();
        m_routers[router]->onRequest(request, m_now);
        applyActions(router);
    }

    void applyActions(std::size_t router)
    {
        for (const Action &action : m_routers[router]->takeActions()) {
            if (const auto *dispatch = std::get_if<DispatchAction>(&action)) {
                send(router, *dispatch);
            } else if (const auto *forward = std::get_if<ForwardAction>(&action)) {
                answered(router, *forward);
            } else if (const auto *refuse = std::get_if<RefuseAction>(&action)) {
                m_requests.erase(refuse->request);
            } else if (const auto *cancel = std::get_if<CancelAction>(&action)) {
                m_attempts[router].erase(cancel->attempt);
            }
        }
    }

    void answered(std::size_t router, const ForwardAction &forward)
    {
        const RequestId id = forward.request;
        const Request request = m_requests.at(id);
        m_requests.erase(id);
        if (!counted()) {
            return;
        }
        const auto index = static_cast<std::size_t>(request.trafficClass);
        ++m_result.answered.at(index);
        m_result.seconds.at(index).push_back(secondsOf(m_now - request.arrivedAt));
        m_result.routerWaitSeconds.at(index).push_back(secondsOf(m_endedAttempt.sentAt - request.arrivedAt));
        m_result.endpointWaitSeconds.at(index).push_back(secondsOf(m_endedAttempt.endpointWait));
        m_result.usefulSeconds += secondsOf(request.service);
        m_result.answersByRouter[router] += 1;
    }

    void send(std::size_t router, const DispatchAction &dispatch)
    {
        const std::size_t target = dispatch.address.port;
        m_attempts[router][dispatch.attempt] = {.request = dispatch.request,
                                                .service = m_requests.at(dispatch.request).service,
                                                .sentAt = m_now,
                                                .endpointWait = Duration::zero()};
        const Duration slowness = m_requests.at(dispatch.request).service;
        const double factor = target == 0 ? m_options.slowFactor : 1.0;
        std::bernoulli_distribution breaks(m_options.lostShare);
        const Job job{.router = router,
                      .attempt = dispatch.attempt,
                      .service = fromSeconds(secondsOf(slowness) * factor),
                      .breaks = breaks(m_random)};
        m_result.attempts += counted() ? 1 : 0;
        schedule(m_now + OneWayDelay, [this, target, job] {
            receiveJob(target, job);
        });
        const AttemptId attempt = dispatch.attempt;
        schedule(m_now + dispatch.timeout, [this, router, attempt] {
            endAttempt(router, attempt, [this, router, attempt] {
                m_routers[router]->onFailed(attempt, {.proof = DeliveryProof::MaybeRan, .timedOut = true}, m_now);
            });
        });
    }

    /// Removes an attempt that is still in flight and delivers its final event to the router.
    void endAttempt(std::size_t router, AttemptId attempt, const std::function<void()> &event)
    {
        const auto found = m_attempts[router].find(attempt);
        if (found != m_attempts[router].end()) {
            m_endedAttempt = found->second;
            m_attempts[router].erase(found);
            event();
            applyActions(router);
        }
    }

    bool refuses(std::size_t target) const
    {
        if (downSince(target)) {
            return true;
        }
        const Duration cycle = fromSeconds(secondsOf(RefusalDuration) / std::max(m_options.refusedShare, 1e-9));
        return target == 0 && m_options.refusedShare > 0 && (m_now - Start) % cycle < RefusalDuration;
    }

    void receiveJob(std::size_t target, Job job)
    {
        job.reachedAt = m_now;
        if (refuses(target)) {
            schedule(m_now + OneWayDelay, [this, job] {
                endAttempt(job.router, job.attempt, [&] {
                    m_routers[job.router]->onFailed(job.attempt, {.proof = DeliveryProof::NotRun}, m_now);
                });
            });
            return;
        }
        Endpoint &endpoint = m_endpoints[target];
        if (endpoint.running.size() < m_options.slots) {
            startJob(target, job);
        } else {
            endpoint.waiting.push_back(job);
        }
        recordLoad(endpoint);
    }

    void startJob(std::size_t target, const Job &job)
    {
        if (const auto attempt = m_attempts[job.router].find(job.attempt); attempt != m_attempts[job.router].end()) {
            attempt->second.endpointWait = m_now - job.reachedAt;
        }
        const std::uint64_t number = ++m_lastJob;
        m_endpoints[target].running.emplace(number, job);
        schedule(m_now + job.service, [this, target, number] {
            finishJob(target, number);
        });
    }

    void finishJob(std::size_t target, std::uint64_t number)
    {
        Endpoint &endpoint = m_endpoints[target];
        const auto found = endpoint.running.find(number);
        if (found == endpoint.running.end()) {
            return;
        }
        const Job job = found->second;
        endpoint.running.erase(found);
        if (!endpoint.waiting.empty()) {
            const Job next = endpoint.waiting.front();
            endpoint.waiting.pop_front();
            startJob(target, next);
        }
        recordLoad(endpoint);
        schedule(m_now + OneWayDelay, [this, job] {
            deliverResult(job);
        });
    }

    void deliverResult(const Job &job)
    {
        endAttempt(job.router, job.attempt, [&] {
            if (job.breaks) {
                m_routers[job.router]->onFailed(job.attempt, {.proof = DeliveryProof::MaybeRan}, m_now);
            } else {
                m_routers[job.router]->onAnswered(job.attempt, {}, m_now);
            }
        });
    }

    void recordLoad(Endpoint &endpoint)
    {
        endpoint.history.emplace_back(m_now,
                                      static_cast<std::uint32_t>(endpoint.running.size() + endpoint.waiting.size()));
    }

    void tickAll()
    {
        for (std::size_t router = 0; router < m_routers.size(); ++router) {
            m_routers[router]->tick(m_now);
            applyActions(router);
        }
        schedule(m_now + TickPeriod, [this] {
            tickAll();
        });
    }

    void publishViewsPeriodically()
    {
        publishViews();
        schedule(m_now + ViewPeriod, [this] {
            publishViewsPeriodically();
        });
    }

    void publishViews()
    {
        if (controlIsUnavailable()) {
            return;
        }
        for (std::size_t domain = 0; domain < m_options.domains; ++domain) {
            const RoutingTable table = viewOf(domain);
            for (std::size_t router = domain; router < m_routers.size(); router += m_options.domains) {
                m_routers[router]->onView(table, m_now);
                applyActions(router);
            }
        }
        for (Endpoint &endpoint : m_endpoints) {
            dropHistory(endpoint, m_now - m_options.reportLag - m_options.remoteReportPeriod);
        }
    }

    RoutingTable viewOf(std::size_t domain) const
    {
        RoutingTable table;
        RoutedTarget &target = table.targets["service/stock"];
        for (std::size_t index = 0; index < m_endpoints.size(); ++index) {
            RoutedEndpoint endpoint;
            endpoint.id = EndpointId("endpoint-" + std::to_string(index));
            endpoint.domain = domainOf(index);
            endpoint.address = {"127.0.0.1", static_cast<std::uint16_t>(index)};
            const std::optional<TimePoint> down = downSince(index);
            endpoint.reachable = !down || m_now - *down < DetectionTime;
            if (m_options.reportsLoad) {
                const bool isRemote = index % m_options.domains != domain;
                const Duration lag = isRemote ? remoteLag() : m_options.reportLag;
                const bool isKnown = endpoint.reachable && (!isRemote || m_options.remoteReports);
                endpoint.slots = static_cast<std::uint32_t>(m_options.slots);
                endpoint.load = isKnown ? loadBefore(m_endpoints[index], m_now - lag) : 0;
                endpoint.loadAge = isKnown ? lag : UnknownLoadAge;
            }
            target.endpoints.push_back(endpoint);
        }
        return table;
    }

    /// The current age of the load reports of other domains.
    Duration remoteLag() const
    {
        return m_options.reportLag + (m_now - Start) % m_options.remoteReportPeriod;
    }

    static void dropHistory(Endpoint &endpoint, TimePoint before)
    {
        while (endpoint.history.size() > 1 && endpoint.history[1].first <= before) {
            endpoint.history.pop_front();
        }
    }

    static std::uint32_t loadBefore(const Endpoint &endpoint, TimePoint time)
    {
        const auto after = std::upper_bound(
            endpoint.history.begin(), endpoint.history.end(), time, [](TimePoint value, const auto &entry) {
                return value < entry.first;
            });
        return after == endpoint.history.begin() ? 0 : std::prev(after)->second;
    }

    SimulationOptions m_options;
    std::mt19937_64 m_random;
    std::vector<Endpoint> m_endpoints;
    std::vector<std::unique_ptr<Router>> m_routers;
    std::vector<std::unordered_map<AttemptId, Attempt>> m_attempts; // by router
    std::unordered_map<RequestId, Request> m_requests;
    std::multimap<TimePoint, std::function<void()>> m_events;
    TimePoint m_now = Start;
    RequestId m_lastRequest = 0;
    std::uint64_t m_lastJob = 0;
    Attempt m_endedAttempt; // the attempt whose final event is being delivered
    SimulationResult m_result;
};

} // namespace

SimulationResult simulate(const SimulationOptions &options)
{
    return Simulation(options).run();
}

} // namespace bergamot::routing_internal
