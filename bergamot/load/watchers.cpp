#include "bergamot/load/watchers.h"

#include <future>

#include "bergamot/base/json.h"

namespace bergamot
{

namespace
{

constexpr std::chrono::milliseconds PollPeriod{200};
constexpr std::chrono::milliseconds StatusTimeout{1000};
constexpr std::chrono::seconds InForceLimit{7};
constexpr std::chrono::milliseconds LeavingLimit{3000};

std::optional<web::json::value> askNow(HttpClient &client, const Address &to, const std::string &path)
{
    const auto outcome = std::make_shared<std::promise<CallOutcome>>();
    client.call(to, {.path = path}, {.timeout = StatusTimeout, .repeatable = false}, [outcome](CallOutcome result) {
        outcome->set_value(std::move(result));
    });
    const CallOutcome answer = outcome->get_future().get();
    if (!answer || answer->status != 200) {
        return std::nullopt;
    }
    const Result<web::json::value> json = parseJson(answer->body);
    return json ? std::optional(*json) : std::nullopt;
}

std::map<std::string, std::uint64_t> runsOf(const web::json::value &answer)
{
    std::map<std::string, std::uint64_t> runs;
    FieldReader reader(answer, "runs");
    const web::json::value counts = reader.optionalObject("runs");
    for (const auto &[name, count] : counts.as_object()) {
        runs[name] = count.is_integer() ? count.as_number().to_uint64() : 0;
    }
    return runs;
}

} // namespace

ConfigurationWatcher::ConfigurationWatcher(const RunContext &context)
    : m_context(context)
{ }

void ConfigurationWatcher::start()
{
    m_context.loop.postAfter(PollPeriod, [this] {
        poll();
    });
}

void ConfigurationWatcher::stop()
{
    std::unique_lock lock(m_mutex);
    m_stopped = true;
    m_answered.wait(lock, [this] {
        return m_outstanding == 0;
    });
}

void ConfigurationWatcher::poll()
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopped) {
            return;
        }
        judge();
        m_outstanding += m_context.scenario.controls.size();
    }
    askAll();
    m_context.loop.postAfter(PollPeriod, [this] {
        poll();
    });
}

void ConfigurationWatcher::askAll()
{
    for (const Address &control : m_context.scenario.controls) {
        const CallOptions options{.timeout = StatusTimeout, .repeatable = false};
        m_context.client.call(control, {.path = "/v1/status"}, options, [this, control](const CallOutcome &outcome) {
            answered(control, outcome);
        });
    }
}

void ConfigurationWatcher::answered(const Address &control, const CallOutcome &outcome)
{
    const std::lock_guard lock(m_mutex);
    if (outcome && outcome->status == 200) {
        if (const Result<web::json::value> json = parseJson(outcome->body)) {
            received(control, FieldReader(*json, "status").optionalUnsigned("version", 0));
        }
    }
    --m_outstanding;
    m_answered.notify_all();
}

void ConfigurationWatcher::received(const Address &control, std::uint64_t version)
{
    std::uint64_t &highest = m_versions[control];
    m_context.ledger.check(Promise::Configuration,
                           version >= highest,
                           toString(control) + " fell from version " + std::to_string(highest) + " to "
                               + std::to_string(version));
    highest = std::max(highest, version);
    m_lastAnswer[control] = BootClock::now();
    if (version > 0) {
        m_changes.try_emplace(version, Change{BootClock::now()});
    }
}

void ConfigurationWatcher::judge()
{
    const TimePoint now = BootClock::now();
    for (auto &[version, change] : m_changes) {
        if (change.everywhere) {
            continue;
        }
        std::string behind;
        for (const auto &[control, has] : m_versions) {
            const bool answers = now - m_lastAnswer[control] < StatusTimeout;
            if (answers && has < version) {
                behind = toString(control);
            }
        }
        const Duration age = now - change.firstSeen;
        change.everywhere = behind.empty() || age > InForceLimit;
        if (change.everywhere) {
            m_context.measures.configurationSpread(age);
            m_context.ledger.check(Promise::Configuration,
                                   behind.empty(),
                                   "version " + std::to_string(version) + " is not in force on " + behind);
        }
    }
}

void auditEndpoints(const RunContext &context, const std::map<std::string, WorkLimit> &works)
{
    std::map<std::string, std::uint64_t> runs;
    std::size_t silent = 0;
    for (const Address &endpoint : context.scenario.endpoints) {
        const std::optional<web::json::value> answer = askNow(context.client, endpoint, "/runs");
        if (!answer) {
            ++silent;
            continue;
        }
        for (const auto &[name, count] : runsOf(*answer)) {
            runs[name] += count;
        }
        FieldReader reader(*answer, "runs");
        if (reader.optionalBool("leaving", false)) {
            const std::uint64_t last = reader.optionalUnsigned("last_after_leaving_ms", 0);
            context.ledger.check(Promise::Leaving,
                                 std::chrono::milliseconds(last) <= LeavingLimit,
                                 toString(endpoint) + " got work " + std::to_string(last) + " ms after it was leaving");
        }
    }
    for (const auto &[name, limit] : works) {
        const std::uint64_t ran = runs[name];
        context.ledger.check(Promise::AtMostOnce, ran <= 1, name + " ran " + std::to_string(ran) + " times");
        if (limit.provedNotRun == limit.attempts) {
            context.ledger.check(Promise::NotRun, ran == 0, name + " was refused as not run and ran");
        }
    }
    context.ledger.check(Promise::AtMostOnce, silent == 0, std::to_string(silent) + " endpoints did not tell what ran");
}

} // namespace bergamot
