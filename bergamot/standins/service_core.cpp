#include "bergamot/standins/service_core.h"

#include "bergamot/base/hash.h"
#include "bergamot/base/json.h"

namespace bergamot
{

namespace
{

constexpr std::chrono::milliseconds RetryAfter{200};

struct Route
{
    std::string_view method;
    std::string_view path; // a prefix for reads
    std::string_view field; // what the body of a change must name
};

constexpr Route Routes[] = {
    {"GET", "/stock/", ""},
    {"GET", "/status/", ""},
    {"POST", "/confirm", "lot"},
    {"POST", "/pull", "record"},
};

const Route *routeOf(const ServiceRequest &request)
{
    for (const Route &route : Routes) {
        const bool matches = route.field.empty() ? request.path.starts_with(route.path) : request.path == route.path;
        if (request.method == route.method && matches) {
            return &route;
        }
    }
    return nullptr;
}

std::string errorBody(std::string_view code, const std::string &message)
{
    web::json::value body = web::json::value::object();
    body["error"] = web::json::value(std::string(code));
    body["message"] = web::json::value(message);
    return body.serialize();
}

} // namespace

std::uint64_t servedQuantity(const std::string &name)
{
    constexpr std::uint64_t Most = 1'000;
    return stableHash(name) % Most;
}

ServiceCore::ServiceCore(ServiceCoreOptions options)
    : m_options(options)
    , m_faults({"run"})
    , m_load(options.loadLag)
{ }

Result<void> ServiceCore::submit(ServiceRequest request, TimePoint now)
{
    advance(now);
    if (m_downUntil) {
        return failure(ErrorCode::Unavailable, "the endpoint is restarting", RetryAfter);
    }
    if (const std::optional<Error> refused = m_faults.refusal("run")) {
        return tl::unexpected(*refused);
    }
    if (m_running.size() >= m_options.workers && m_waiting.size() >= m_options.maxWaiting) {
        return failure(ErrorCode::Overloaded, "the endpoint's queue is full", RetryAfter);
    }
    m_runs.arrived(now);
    m_waiting.push_back(std::move(request));
    admitWaiting(now);
    return {};
}

void ServiceCore::admitWaiting(TimePoint now)
{
    const Duration time = m_slowTime > Duration::zero() ? m_slowTime : m_options.serviceTime;
    while (!m_waiting.empty() && m_running.size() < m_options.workers) {
        ServiceRequest request = std::move(m_waiting.front());
        m_waiting.pop_front();
        Effect effect = run(request);
        m_running.push_back({std::move(request), std::move(effect), now + time});
    }
}

void ServiceCore::advance(TimePoint now)
{
    for (std::optional<TimePoint> due = nextDue(); due && *due <= now; due = nextDue()) {
        m_load.note(m_running.size(), m_waiting.size(), *due);
        step(*due);
    }
    m_load.note(m_running.size(), m_waiting.size(), now);
}

ServiceState ServiceCore::state(TimePoint now)
{
    advance(now);
    return {.running = m_load.running(),
            .waiting = m_load.waiting(),
            .slots = m_options.workers,
            .loadAge = m_load.age(now),
            .leaving = tellsOfLeaving()};
}

std::optional<TimePoint> ServiceCore::nextDue() const
{
    if (m_downUntil) {
        return m_downUntil;
    }
    std::optional<TimePoint> due;
    for (const Running &running : m_running) {
        due = due ? std::min(*due, running.done) : running.done;
    }
    return due;
}

void ServiceCore::step(TimePoint now)
{
    if (m_downUntil) {
        m_downUntil.reset();
        return;
    }
    const auto due = std::find_if(m_running.begin(), m_running.end(), [&](const Running &running) {
        return running.done <= now;
    });
    if (poisoned(due->request)) {
        crash(m_options.restartTime, now);
        return;
    }
    Running finished = std::move(*due);
    m_running.erase(due);
    const Answer<void> answer = m_faults.answer<void>("run", {});
    Effect &effect = finished.effect;
    m_events.push_back({finished.request.id, false, effect.status, std::move(effect.body), answer.fate, answer.delay});
    admitWaiting(now);
}

ServiceCore::Effect ServiceCore::run(const ServiceRequest &request)
{
    const Route *route = routeOf(request);
    if (route == nullptr) {
        return {404, errorBody("not-found", "no such path: " + request.method + " " + request.path)};
    }
    if (route->field.empty()) {
        return read(request.path, std::string(route->path));
    }
    return change(request, std::string(route->field));
}

ServiceCore::Effect ServiceCore::read(const std::string &path, const std::string &prefix)
{
    m_runs.add("GET " + path);
    const std::string name = path.substr(prefix.size());
    web::json::value body = web::json::value::object();
    body["name"] = web::json::value(name);
    body["quantity"] = web::json::value(servedQuantity(name));
    return {200, body.serialize()};
}

ServiceCore::Effect ServiceCore::change(const ServiceRequest &request, const std::string &field)
{
    const Result<web::json::value> json = parseJson(request.body);
    if (!json) {
        return {400, errorBody("invalid-argument", json.error().message)};
    }
    FieldReader reader(*json, "body");
    const std::string name = reader.requiredString(field);
    if (const Result<void> read = reader.finish(); !read) {
        return {400, errorBody("invalid-argument", read.error().message)};
    }
    const std::string run = "POST " + request.path + " " + name;
    m_runs.add(run);
    web::json::value body = web::json::value::object();
    body[field] = web::json::value(name);
    body["runs"] = web::json::value(m_runs.count(run));
    return {200, body.serialize()};
}

void ServiceCore::crash(Duration restartTime, TimePoint now)
{
    for (const Running &running : m_running) {
        m_events.push_back({.id = running.request.id, .lost = true});
    }
    for (const ServiceRequest &waiting : m_waiting) {
        m_events.push_back({.id = waiting.id, .lost = true});
    }
    m_running.clear();
    m_waiting.clear();
    ++m_crashes;
    m_downUntil = now + restartTime;
}

bool ServiceCore::poisoned(const ServiceRequest &request) const
{
    return std::any_of(m_poison.begin(), m_poison.end(), [&](const std::string &text) {
        return request.path.find(text) != std::string::npos || request.body.find(text) != std::string::npos;
    });
}

Result<void> ServiceCore::apply(const FaultCommand &command, TimePoint now)
{
    advance(now);
    if (command.fault == "crash") {
        const bool given = command.duration > std::chrono::milliseconds::zero();
        crash(given ? Duration(command.duration) : m_options.restartTime, now);
    } else if (command.fault == "leave") {
        m_runs.setLeaving(command.count > 0, now);
        m_tellsOfLeaving = command.text != "list";
    } else if (command.fault == "poison" && (command.text.empty() || command.count == 0)) {
        m_poison.clear();
    } else if (command.fault == "poison") {
        m_poison.insert(command.text);
    } else if (command.fault == "slow") {
        m_slowTime = command.duration;
    } else {
        return m_faults.apply(command);
    }
    return {};
}

std::vector<ServiceEvent> ServiceCore::takeEvents()
{
    return std::exchange(m_events, {});
}

bool ServiceCore::down() const
{
    return m_downUntil.has_value();
}

bool ServiceCore::tellsOfLeaving() const
{
    return m_runs.leaving() && m_tellsOfLeaving;
}

const RunCounter &ServiceCore::runs() const
{
    return m_runs;
}

std::uint64_t ServiceCore::crashes() const
{
    return m_crashes;
}

} // namespace bergamot
