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
        call.name = "c" + std::to_string(m_index) + "-" + std::to_string(m_next);
    }
    call.entry = m_random() % m_context.scenario.entries.size();
    call.arrival = BootClock::now();
    if (m_caller.kind == CallKind::KeyedConfirm) {
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
    if (m_caller.kind == CallKind::Stock) {
        request.path = "/v1/services/" + m_caller.target + "/stock/" + call.name;
        return request;
    }
    request.method = "POST";
    web::json::value body = web::json::value::object();
    if (m_caller.kind == CallKind::Generate) {
        request.path = "/v1/models/" + m_caller.target + "/generate";
        body["prompt"] = web::json::value(call.name);
        body["max_tokens"] = web::json::value(GeneratedTokens);
    } else {
        request.path = "/v1/services/" + m_caller.target + "/confirm";
        body["lot"] = web::json::value(call.name);
    }
    if (!call.key.empty()) {
        request.headers["Idempotency-Key"] = call.key;
    }
    request.body = body.serialize();
    return request;
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
    if (m_caller.kind == CallKind::Stock) {
        return reader.requiredString("name") == call.name
            && reader.requiredUnsigned("quantity") == servedQuantity(call.name);
    }
    if (m_caller.kind != CallKind::Generate) {
        return reader.requiredString("lot") == call.name;
    }
    const std::string text = reader.requiredString("text");
    const std::string own = generatedToken(call.name, 1).substr(0, generatedToken(call.name, 1).find(':') + 1);
    std::uint32_t tokens = 0;
    for (std::size_t at = 0; at < text.size(); at = text.find(' ', at) + 1) {
        if (text.compare(at, own.size(), own) != 0 || text.find(' ', at) == std::string::npos) {
            return false;
        }
        ++tokens;
    }
    return tokens == GeneratedTokens;
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
    return "POST /confirm " + call.name;
}

void CallerGroup::noteAttempt(const Call &call)
{
    if (m_caller.kind == CallKind::Confirm || m_caller.kind == CallKind::KeyedConfirm) {
        const std::lock_guard lock(m_mutex);
        ++m_works[workName(call)].attempts;
    }
}

void CallerGroup::noteNotRun(const Call &call)
{
    if (m_caller.kind == CallKind::Confirm || m_caller.kind == CallKind::KeyedConfirm) {
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
