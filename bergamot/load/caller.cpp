#include "bergamot/load/caller.h"

#include "bergamot/base/json.h"
#include "bergamot/standins/generated_text.h"
#include "bergamot/standins/service_core.h"

namespace bergamot
{

namespace
{

constexpr std::chrono::seconds AnswerGrace{3}; // beyond the deadline that the service was told
constexpr std::uint32_t GeneratedTokens = 8;
constexpr std::size_t MostReasonBytes = 300;

/// How a kind of call looks to a plain service.
struct ServiceCall
{
    std::string_view path; // a read's ends with what it names
    std::string_view field = {}; // of the body, for what a change names; empty for reads
    bool isKeyed = false;
};

const ServiceCall &serviceCall(CallKind kind)
{
    static const std::map<CallKind, ServiceCall> calls = {
        {CallKind::Stock, {"/stock/"}},
        {CallKind::Status, {"/status/"}},
        {CallKind::Confirm, {"/confirm", "lot"}},
        {CallKind::KeyedConfirm, {"/confirm", "lot", true}},
        {CallKind::Pull, {"/pull", "record"}},
        {CallKind::KeyedPull, {"/pull", "record", true}},
    };
    return calls.at(kind);
}

} // namespace

CallerGroup::CallerGroup(const RunContext &context, const CallerScenario &caller, std::size_t index)
    : m_context(context)
    , m_caller(caller)
    , m_index(index)
    , m_key{caller.tenant, caller.requestClass}
    , m_random(context.scenario.seed * 1000 + index)
    , m_terminated(context.scenario.terminated.begin(), context.scenario.terminated.end())
{ }

void CallerGroup::start()
{
    m_context.loop.post([this, gate = m_gate] {
        const std::lock_guard lock(gate->mutex);
        if (!gate->isStopped) {
            scheduleNext();
        }
    });
}

void CallerGroup::stop()
{
    const std::lock_guard lock(m_gate->mutex);
    m_gate->isStopped = true;
}

bool CallerGroup::waitUntilIdle(std::chrono::milliseconds limit)
{
    std::unique_lock lock(m_mutex);
    return m_idle.wait_for(lock, limit, [this] {
        return m_inFlight == 0;
    });
}

std::map<std::string, WorkLimit> CallerGroup::works() const
{
    const std::lock_guard lock(m_mutex);
    return m_works;
}

void CallerGroup::scheduleNext()
{
    std::exponential_distribution<double> gap(m_caller.ratePerSecond);
    const auto delay = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(m_random)));
    m_context.loop.postAfter(delay, [this, gate = m_gate] {
        const std::lock_guard lock(gate->mutex);
        if (!gate->isStopped) {
            arrive();
        }
    });
}

void CallerGroup::arrive()
{
    Call call;
    {
        const std::lock_guard lock(m_mutex);
        ++m_inFlight;
        ++m_next;
        call.name =
            m_caller.item.empty() ? "c" + std::to_string(m_index) + "-" + std::to_string(m_next) : m_caller.item;
    }
    call.entry = m_random() % m_context.scenario.entries.size();
    call.arrival = BootClock::now();
    if (m_caller.kind != CallKind::Generate && serviceCall(m_caller.kind).isKeyed) {
        call.key = "key-" + call.name;
    }
    send(std::move(call));
    scheduleNext();
}

HttpRequest CallerGroup::requestFor(const Call &call) const
{
    HttpRequest request;
    request.headers["X-Tenant"] = m_caller.tenant;
    request.headers["X-Class"] = m_caller.requestClass;
    request.headers["X-Deadline-Ms"] = std::to_string(m_caller.deadline.count());
    if (m_caller.kind == CallKind::Generate) {
        web::json::value body = web::json::value::object();
        body["prompt"] = web::json::value(call.name);
        body["max_tokens"] = web::json::value(GeneratedTokens);
        request.method = "POST";
        request.path = "/v1/models/" + m_caller.target + "/generate";
        request.body = body.serialize();
        return request;
    }
    addServiceCall(request, call);
    return request;
}

void CallerGroup::addServiceCall(HttpRequest &request, const Call &call) const
{
    const ServiceCall &shape = serviceCall(m_caller.kind);
    request.path = "/v1/services/" + m_caller.target + std::string(shape.path);
    if (shape.field.empty()) {
        request.path += call.name;
        return;
    }
    web::json::value body = web::json::value::object();
    body[std::string(shape.field)] = web::json::value(call.name);
    request.method = "POST";
    request.body = body.serialize();
    if (!call.key.empty()) {
        request.headers["Idempotency-Key"] = call.key;
    }
}

void CallerGroup::send(Call call)
{
    noteAttempt(call);
    const std::vector<Address> &entries = m_context.scenario.entries;
    const Address &to = entries[(call.entry + call.tried) % entries.size()];
    HttpRequest request = requestFor(call);
    const CallOptions options{.timeout = m_caller.deadline + AnswerGrace, .repeatable = false};
    m_context.client.call(to, std::move(request), options, [this, call = std::move(call)](const CallOutcome &outcome) {
        finish(call, outcome);
    });
}

void CallerGroup::finish(Call call, const CallOutcome &outcome)
{
    if (outcome) {
        finishAnswered(std::move(call), *outcome);
        return;
    }
    finishBroken(std::move(call), outcome.error());
}

void CallerGroup::finishBroken(Call call, const CallFailure &failure)
{
    const std::vector<Address> &entries = m_context.scenario.entries;
    const Address &from = entries[(call.entry + call.tried) % entries.size()];
    if (failure.delivery == Delivery::NotSent) {
        noteNotRun(call);
        ++call.tried;
        if (call.tried < entries.size()) {
            send(std::move(call));
            return;
        }
    } else if (m_terminated.contains(from)) {
        m_context.ledger.check(Promise::GracefulShutdown, false, call.name + " was cut off: " + failure.message);
    }
    m_context.measures.outcome(m_key, "no-answer");
    m_context.measures.unanswered(m_key, call.name + " from " + toString(from) + ": " + failure.message);
    repeatKey(std::move(call));
}

void CallerGroup::finishAnswered(Call call, const HttpResponse &response)
{
    const std::vector<Address> &entries = m_context.scenario.entries;
    if (m_terminated.contains(entries[(call.entry + call.tried) % entries.size()])) {
        m_context.ledger.check(Promise::GracefulShutdown, true, {});
    }
    const std::string outcome = headerOr(response.headers, "Bergamot-Outcome", "answered");
    m_context.measures.outcome(m_key, outcome);
    if (outcome == "not-run") {
        noteNotRun(call);
    }
    if (outcome != "answered") {
        m_context.measures.unanswered(m_key,
                                      call.name + " " + outcome + ": " + response.body.substr(0, MostReasonBytes));
    }
    if (response.status == 200) {
        m_context.measures.answered(m_key, BootClock::now() - call.arrival);
        checkAnswer(call, response);
        call.firstAnswer = response.body;
    }
    repeatKey(std::move(call));
}

void CallerGroup::checkAnswer(const Call &call, const HttpResponse &response)
{
    m_context.ledger.check(
        Promise::OwnAnswer, isOwnAnswer(call, response.body), call.name + " got " + response.body.substr(0, 200));
    if (call.round == 2 && !call.firstAnswer.empty()) {
        m_context.ledger.check(
            Promise::OwnAnswer, call.firstAnswer == response.body, call.name + ": the same key got another answer");
    }
}

bool CallerGroup::isOwnAnswer(const Call &call, const std::string &body) const
{
    const Result<web::json::value> json = parseJson(body);
    if (!json) {
        return false;
    }
    FieldReader reader(*json, "answer");
    if (m_caller.kind != CallKind::Generate) {
        const std::string field(serviceCall(m_caller.kind).field);
        return field.empty() ? reader.requiredString("name") == call.name
                && reader.requiredUnsigned("quantity") == servedQuantity(call.name)
                             : reader.requiredString(field) == call.name;
    }
    return isOwnGeneration(call, reader);
}

bool CallerGroup::isOwnGeneration(const Call &call, FieldReader &reader) const
{
    constexpr std::uint32_t WholePercent = 100;
    std::vector<TokenSpan> spans;
    std::uint32_t tokens = 0;
    for (const web::json::value &element : reader.optionalArray("spans")) {
        FieldReader span(element, "span");
        const auto count = static_cast<std::uint32_t>(span.requiredUnsigned("tokens"));
        spans.push_back({.version = span.requiredUnsigned("version"), .tokenCount = count});
        tokens += count;
    }
    const std::uint32_t shortest = std::max(1U, GeneratedTokens * m_caller.shortestPercent / WholePercent);
    const std::string_view finish = tokens < GeneratedTokens ? "stop" : "length";
    return tokens >= shortest && tokens <= GeneratedTokens && reader.requiredString("finish") == finish
        && reader.requiredString("text") == generatedText(call.name, spans);
}

void CallerGroup::repeatKey(Call call)
{
    if (call.key.empty() || call.round == 2) {
        leave();
        return;
    }
    call.round = 2;
    call.tried = 0;
    call.entry += 1;
    call.arrival = BootClock::now();
    m_context.loop.post([this, call = std::move(call)] {
        send(call);
    });
}

std::string CallerGroup::workName(const Call &call) const
{
    return "POST " + std::string(serviceCall(m_caller.kind).path) + " " + call.name;
}

void CallerGroup::noteAttempt(const Call &call)
{
    if (isNonIdempotent(m_caller.kind)) {
        const std::lock_guard lock(m_mutex);
        ++m_works[workName(call)].attempts;
    }
}

void CallerGroup::noteNotRun(const Call &call)
{
    if (isNonIdempotent(m_caller.kind)) {
        const std::lock_guard lock(m_mutex);
        ++m_works[workName(call)].provedNotRun;
    }
}

void CallerGroup::leave()
{
    // Notified under the lock: the group may be destroyed as soon as a waiter sees zero.
    const std::lock_guard lock(m_mutex);
    --m_inFlight;
    m_idle.notify_all();
}

} // namespace bergamot
