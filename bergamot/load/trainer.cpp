#include "bergamot/load/trainer.h"

#include <future>

#include "bergamot/base/json.h"
#include "bergamot/standins/generated_text.h"

namespace bergamot
{

namespace
{

constexpr std::chrono::seconds CallTimeout{5};
constexpr std::chrono::milliseconds DrawWait{1000};
constexpr std::chrono::milliseconds RetryPause{100};
constexpr std::uint64_t DrawLimit = 512; // samples in one draw

CallOutcome callAndWait(HttpClient &client, const Address &to, HttpRequest request)
{
    const auto outcome = std::make_shared<std::promise<CallOutcome>>();
    client.call(to, std::move(request), {.timeout = CallTimeout, .repeatable = false}, [outcome](CallOutcome result) {
        outcome->set_value(std::move(result));
    });
    return outcome->get_future().get();
}

std::string describe(std::uint64_t step, std::uint64_t group, std::uint64_t index)
{
    return "sample " + std::to_string(step) + "/" + std::to_string(group) + "/" + std::to_string(index);
}

} // namespace

TrainerDriver::TrainerDriver(const RunContext &context, const TrainerScenario &trainer, std::size_t index)
    : m_context(context)
    , m_trainer(trainer)
    , m_control(index)
    , m_random(context.scenario.seed * 2000 + index)
{ }

TrainerDriver::~TrainerDriver()
{
    stop();
    join();
}

void TrainerDriver::start()
{
    m_thread = std::thread([this] {
        run();
    });
}

void TrainerDriver::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
    }
    m_wake.notify_all();
}

void TrainerDriver::join()
{
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

bool TrainerDriver::stopped()
{
    const std::lock_guard lock(m_mutex);
    return m_stopped;
}

void TrainerDriver::pause(Duration length)
{
    std::unique_lock lock(m_mutex);
    m_wake.wait_for(lock, length, [this] {
        return m_stopped;
    });
}

void TrainerDriver::run()
{
    const TimePoint begin = BootClock::now();
    bool whole = true;
    for (std::uint64_t step = 1; step <= m_trainer.steps && whole; ++step) {
        const TimePoint asked = BootClock::now();
        whole = runStep(step);
        m_measures.idle += BootClock::now() - asked;
        if (whole && m_trainer.handsInAhead && step < m_trainer.steps) {
            whole = handIn(step + 1);
        }
        pause(m_trainer.trainingTime);
        if (whole && m_trainer.publishes) {
            publish();
        }
    }
    m_measures.total = BootClock::now() - begin;
    m_measures.finished = whole;
    m_context.measures.trainer(m_trainer.trainer.value(), m_measures);
}

bool TrainerDriver::runStep(std::uint64_t step)
{
    m_cursor.clear();
    return handIn(step) && drawAll(step);
}

std::optional<HttpResponse> TrainerDriver::ask(HttpRequest request)
{
    const std::vector<Address> &controls = m_context.scenario.controls;
    CallOutcome outcome = callAndWait(m_context.client, controls[m_control % controls.size()], std::move(request));
    if (outcome && outcome->status < 500 && outcome->status != 429) {
        return std::move(*outcome);
    }
    ++m_control;
    pause(RetryPause);
    return std::nullopt;
}

bool TrainerDriver::handIn(std::uint64_t step)
{
    while (!stopped()) {
        HttpRequest request;
        request.method = "PUT";
        request.path = "/v1/trainers/" + m_trainer.trainer.value() + "/steps/" + std::to_string(step);
        request.body = stepBody(step);
        const std::optional<HttpResponse> answer = ask(std::move(request));
        if (answer && answer->status < 300) {
            return true;
        }
        pause(RetryPause);
    }
    return false;
}

std::string TrainerDriver::promptOf(std::uint64_t step, std::uint64_t group) const
{
    return m_trainer.trainer.value() + " step " + std::to_string(step) + " group " + std::to_string(group);
}

std::string TrainerDriver::stepBody(std::uint64_t step) const
{
    web::json::value groups = web::json::value::array(m_trainer.groups);
    for (std::uint32_t group = 0; group < m_trainer.groups; ++group) {
        web::json::value one = web::json::value::object();
        one["prompt"] = web::json::value(promptOf(step, group));
        one["samples"] = web::json::value(m_trainer.samplesPerGroup);
        one["max_tokens"] = web::json::value(m_trainer.maxTokens);
        groups[group] = one;
    }
    web::json::value body = web::json::value::object();
    body["groups"] = groups;
    return body.serialize();
}

bool TrainerDriver::drawAll(std::uint64_t step)
{
    while (!stopped()) {
        m_weights = m_context.versions.newest(m_trainer.model);
        web::json::value body = web::json::value::object();
        body["cursor"] = web::json::value(m_cursor);
        body["weights"] = web::json::value(m_weights);
        body["max"] = web::json::value(DrawLimit);
        body["wait_ms"] = web::json::value(static_cast<std::uint64_t>(DrawWait.count()));
        HttpRequest request;
        request.method = "POST";
        request.path = "/v1/trainers/" + m_trainer.trainer.value() + "/steps/" + std::to_string(step) + "/draw";
        request.body = body.serialize();
        const std::optional<HttpResponse> answer = ask(std::move(request));
        if (answer && answer->status == 404 && !handIn(step)) {
            return false;
        }
        if (!answer || answer->status != 200 || losesAnswer()) {
            continue;
        }
        const Result<web::json::value> draw = parseJson(answer->body);
        m_context.ledger.check(Promise::OwnAnswer, draw.has_value(), "a draw's answer is not JSON");
        if (draw && receive(step, *draw)) {
            return true;
        }
    }
    return false;
}

bool TrainerDriver::receive(std::uint64_t step, const web::json::value &draw)
{
    FieldReader reader(draw, "draw");
    for (const web::json::value &sample : reader.optionalArray("samples")) {
        receiveSample(step, sample);
    }
    m_measures.failed += reader.optionalArray("failed").size();
    m_cursor = reader.optionalString("cursor", m_cursor);
    return reader.optionalBool("done", false);
}

void TrainerDriver::receiveSample(std::uint64_t step, const web::json::value &sample)
{
    FieldReader reader(sample, "sample");
    const std::uint64_t group = reader.requiredUnsigned("group");
    const std::uint64_t index = reader.requiredUnsigned("index");
    const SampleName name{step, group, index};
    const bool first = m_received.insert(name).second;
    m_context.ledger.check(Promise::SampleOnce, first, describe(step, group, index) + " arrived twice");
    checkLabels(name, promptOf(step, group), sample);
    ++m_measures.samples;
}

void TrainerDriver::checkLabels(const SampleName &name, const std::string &prompt, const web::json::value &sample)
{
    const auto &[step, group, index] = name;
    FieldReader reader(sample, "sample");
    std::vector<TokenSpan> spans;
    for (const web::json::value &span : reader.optionalArray("spans")) {
        FieldReader spanReader(span, "span");
        const WeightVersion version = spanReader.requiredUnsigned("version");
        spans.push_back({version, static_cast<std::uint32_t>(spanReader.requiredUnsigned("tokens"))});
    }
    // The stand-in's text tells by itself which version made each token.
    const bool rightly = !spans.empty() && generatedText(prompt, spans) == reader.requiredString("text");
    m_context.ledger.check(Promise::Labels, rightly, describe(step, group, index) + ": " + sample.serialize());
    if (spans.empty()) {
        return;
    }
    WeightVersion oldest = m_weights;
    for (const TokenSpan &span : spans) {
        oldest = std::min(oldest, span.version);
    }
    const WeightVersion behind = m_weights - oldest;
    m_measures.staleness.push_back(static_cast<double>(behind));
    m_context.ledger.check(Promise::Staleness,
                           behind <= m_trainer.stalenessBound,
                           describe(step, group, index) + " is " + std::to_string(behind) + " versions behind");
}

bool TrainerDriver::losesAnswer()
{
    const bool loses = m_random() % 100 < m_trainer.lostDrawsPercent;
    m_measures.lostDraws += loses ? 1 : 0;
    return loses;
}

void TrainerDriver::publish()
{
    const WeightVersion next = m_context.versions.newest(m_trainer.model) + 1;
    web::json::value body = web::json::value::object();
    body["version"] = web::json::value(next);
    HttpRequest request;
    request.method = "POST";
    request.path = "/weights/" + m_trainer.model.value() + "/publish";
    request.body = body.serialize();
    const CallOutcome outcome = callAndWait(m_context.client, m_context.scenario.weightStore, std::move(request));
    if (outcome && outcome->status < 300) {
        m_context.versions.published(m_trainer.model, next);
    }
}

} // namespace bergamot
