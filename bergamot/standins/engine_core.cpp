#include "bergamot/standins/engine_core.h"

#include "bergamot/base/hash.h"
#include "bergamot/standins/generated_text.h"

namespace bergamot
{

namespace
{

constexpr std::size_t RunNameBytes = 200;
constexpr std::chrono::milliseconds RetryAfter{200};

} // namespace

EngineCore::EngineCore(EngineCoreOptions options, WeightSource *weights)
    : m_options(std::move(options))
    , m_faults({"generate", "cancel", "order", "state", "export"})
    , m_loader({m_options.name, m_options.fetchTime, m_options.swapTime}, weights)
    , m_cache(m_options.cacheTokens)
    , m_model(m_options.model)
    , m_version(m_options.bootVersion)
    , m_load(m_options.loadLag)
{ }

Answer<void> EngineCore::submit(const GenerateRequest &request, TimePoint now)
{
    advance(now);
    if (const std::optional<Error> refused = m_faults.refusal("generate")) {
        return {tl::unexpected(*refused)};
    }
    if (Result<void> accepted = accept(request, now); !accepted) {
        return {std::move(accepted)};
    }
    return m_faults.answer<void>("generate", {});
}

Result<void> EngineCore::accept(const GenerateRequest &request, TimePoint now)
{
    if (Result<void> checked = checkRequest(request); !checked) {
        return checked;
    }
    if (!request.resumeFrom.empty()) {
        const Result<std::vector<TokenSpan>> spans = parseCacheHandle(request.resumeFrom, request.prompt);
        if (!spans) {
            return tl::unexpected(spans.error());
        }
    }
    m_runs.arrived(now);
    enqueue(request);
    admitWaiting(now);
    return {};
}

Result<void> EngineCore::checkRequest(const GenerateRequest &request) const
{
    if (m_downUntil) {
        return failure(ErrorCode::Unavailable, "the engine is restarting", RetryAfter);
    }
    if (request.maxTokens == 0 || request.requestId.empty()) {
        return failure(ErrorCode::InvalidArgument, "request_id must be given and max_tokens be 1 or more");
    }
    if (request.model != m_model) {
        return failure(ErrorCode::NotFound, "model '" + request.model.value() + "' is not served here");
    }
    if (m_role == EngineRole::Idle || m_version == 0) {
        return failure(ErrorCode::Unavailable, "the engine does not serve now", RetryAfter);
    }
    if (inFlight(request.requestId)) {
        return failure(ErrorCode::Conflict, "request_id '" + request.requestId + "' is in flight");
    }
    if (m_running.size() >= m_options.slots && m_waiting.size() >= m_options.maxWaiting) {
        return failure(ErrorCode::Overloaded, "the engine's queue is full", RetryAfter);
    }
    return {};
}

bool EngineCore::inFlight(const std::string &requestId) const
{
    const auto isIt = [&](const GenerateRequest &request) {
        return request.requestId == requestId;
    };
    return std::any_of(m_waiting.begin(), m_waiting.end(), isIt)
        || std::any_of(m_running.begin(), m_running.end(), [&](const Running &running) {
               return isIt(running.request);
           });
}

void EngineCore::enqueue(const GenerateRequest &request)
{
    const auto place = std::find_if(m_waiting.begin(), m_waiting.end(), [&](const GenerateRequest &waiting) {
        return waiting.priority > request.priority;
    });
    m_waiting.insert(place, request);
}

void EngineCore::admitWaiting(TimePoint now)
{
    while (!m_waiting.empty() && m_running.size() < m_options.slots) {
        const GenerateRequest request = std::move(m_waiting.front());
        m_waiting.pop_front();
        start(request, now);
    }
}

void EngineCore::start(const GenerateRequest &request, TimePoint now)
{
    m_runs.add(request.prompt.substr(0, RunNameBytes));
    Running running;
    running.request = request;
    running.slot = freeSlot();
    running.target = targetLength(request);
    std::size_t prefillTokens = m_cache.admit(request.prompt);
    if (!request.resumeFrom.empty()) {
        running.generation.spans = parseCacheHandle(request.resumeFrom, request.prompt).value();
        running.generation.text = generatedText(request.prompt, running.generation.spans);
        prefillTokens = 0;
    }
    running.nextToken =
        std::max(now, m_pausedUntil) + m_options.prefillTokenTime * prefillTokens + tokenTime(running.slot);
    m_running.push_back(std::move(running));
    if (tokenCount(m_running.back().generation) >= m_running.back().target) {
        finish(m_running.size() - 1, "length");
    }
}

std::uint32_t EngineCore::freeSlot() const
{
    std::vector<bool> taken(m_options.slots);
    for (const Running &running : m_running) {
        taken[running.slot] = true;
    }
    return static_cast<std::uint32_t>(std::find(taken.begin(), taken.end(), false) - taken.begin());
}

std::uint32_t EngineCore::targetLength(const GenerateRequest &request) const
{
    constexpr std::uint32_t Whole = 100;
    const std::uint32_t spread = Whole - std::min(Whole, m_options.minimumLengthPercent);
    const std::uint64_t percent = Whole - stableHash(request.requestId) % (spread + 1);
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(request.maxTokens * percent / Whole));
}

Duration EngineCore::tokenTime(std::uint32_t slot) const
{
    return slot < m_slowSlots ? m_slowTokenTime : m_options.tokenTime;
}

Answer<void> EngineCore::cancel(const std::string &requestId, TimePoint now)
{
    advance(now);
    if (const std::optional<Error> refused = m_faults.refusal("cancel")) {
        return {tl::unexpected(*refused)};
    }
    if (stop(requestId)) {
        admitWaiting(now);
    }
    return m_faults.answer<void>("cancel", {});
}

bool EngineCore::stop(const std::string &requestId)
{
    for (auto waiting = m_waiting.begin(); waiting != m_waiting.end(); ++waiting) {
        if (waiting->requestId == requestId) {
            m_events.push_back({.kind = EngineEvent::Kind::Finished,
                                .requestId = requestId,
                                .generation = {.text = {}, .spans = {}, .finish = "cancelled"}});
            m_waiting.erase(waiting);
            return true;
        }
    }
    for (std::size_t i = 0; i < m_running.size(); ++i) {
        if (m_running[i].request.requestId == requestId) {
            finish(i, "cancelled");
            return true;
        }
    }
    return false;
}

Answer<std::string> EngineCore::exportCache(const std::string &requestId, TimePoint now)
{
    advance(now);
    if (const std::optional<Error> refused = m_faults.refusal("export")) {
        return {tl::unexpected(*refused)};
    }
    Result<std::string> handle = stopAndExport(requestId);
    admitWaiting(now);
    return m_faults.answer<std::string>("export", std::move(handle));
}

Result<std::string> EngineCore::stopAndExport(const std::string &requestId)
{
    std::optional<std::string> handle;
    for (const GenerateRequest &waiting : m_waiting) {
        if (waiting.requestId == requestId) {
            handle = cacheHandle(waiting.prompt, {});
        }
    }
    for (const Running &running : m_running) {
        if (running.request.requestId == requestId) {
            handle = cacheHandle(running.request.prompt, running.generation.spans);
        }
    }
    if (!handle) {
        return failure(ErrorCode::NotFound, "request_id '" + requestId + "' is not in flight");
    }
    stop(requestId);
    return *handle;
}

Answer<void> EngineCore::order(const EngineOrder &order, TimePoint now)
{
    advance(now);
    if (const std::optional<Error> refused = m_faults.refusal("order")) {
        return {tl::unexpected(*refused)};
    }
    return m_faults.answer<void>("order", obey(order, now));
}

Result<void> EngineCore::obey(const EngineOrder &order, TimePoint now)
{
    if (m_downUntil) {
        return failure(ErrorCode::Unavailable, "the engine is restarting", RetryAfter);
    }
    if (m_options.checksFencing && order.fencing < m_fencing) {
        return failure(ErrorCode::Conflict,
                       "fencing " + std::to_string(order.fencing) + " is below " + std::to_string(m_fencing));
    }
    m_fencing = std::max(m_fencing, order.fencing);
    m_role = order.role;
    const bool installed = order.model == m_model && order.version == m_version;
    if (order.version == 0 || installed) {
        m_loader.abort();
        return {};
    }
    if (m_loader.loading() && m_loader.model() == order.model && m_loader.version() == order.version) {
        return {};
    }
    m_loader.begin(order.model, order.version, now);
    advance(now);
    return {};
}

Answer<EngineState> EngineCore::state(TimePoint now)
{
    advance(now);
    if (const std::optional<Error> refused = m_faults.refusal("state")) {
        return {tl::unexpected(*refused)};
    }
    if (m_downUntil) {
        return {failure(ErrorCode::Unavailable, "the engine is restarting", RetryAfter)};
    }
    EngineState state;
    state.model = m_model;
    state.version = m_version;
    state.loading = m_loader.version();
    state.running = m_load.running();
    state.waiting = m_load.waiting();
    state.slots = m_options.slots;
    state.loadAge = m_load.age(now);
    state.leaving = m_runs.leaving() && m_tellsOfLeaving;
    state.crashes = m_crashes;
    return m_faults.answer<EngineState>("state", state);
}

std::vector<EngineEvent> EngineCore::takeEvents()
{
    return std::exchange(m_events, {});
}

bool EngineCore::down() const
{
    return m_downUntil.has_value();
}

WeightVersion EngineCore::version() const
{
    return m_version;
}

const RunCounter &EngineCore::runs() const
{
    return m_runs;
}

std::uint64_t EngineCore::crashes() const
{
    return m_crashes;
}

} // namespace bergamot
