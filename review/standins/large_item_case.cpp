#include "review/standins/large_item_case.h"

#include "platform/base64.h"
#include "platform/standins/messages.h"

namespace bergamot::review
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t EngineCount = 6;
constexpr std::uint32_t Slots = 8;
constexpr std::uint64_t Steps = 3; // that are open at the same time
constexpr Duration StepInterval = 4s; // the trainer asks for a step each 4 s
constexpr std::size_t Groups = 3; // of a step
constexpr std::size_t GroupSize = 4;
constexpr int LongEvents = 50;
constexpr int ShortEvents = 10;
constexpr int LongTokens = 4000;
constexpr int ShortTokens = 600;
constexpr int LargeTokens = 41000; // an engine holds 41,970
constexpr Duration EventInterval = 100ms;
constexpr Duration StepBudget = 12s; // the trainer's time budget for a step
constexpr Duration IdleBound = 5s; // of the rule
constexpr Duration PollInterval = 100ms;
constexpr Duration StartTimeout = 20s;

std::string manifest()
{
    return R"({"version":1,"routes":[{"name":"r-samples","host":")" + std::string(platform::StandinHost)
        + R"(","path_prefix":"/samples/","route_kind":"rollout","timeout_ms":10000,"target_latency_ms":400,)"
          R"("result_deadline_ms":7500,"retention_s":40,"priority":1,"max_attempts":3,"service":"llm"}],)"
          R"("services":[{"name":"llm","health_path":"/health","max_connections":282,"engine":{"slots":8,)"
          R"("kv_cache_tokens":41970,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,)"
          R"("max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

std::string lotName(std::uint64_t step)
{
    return "step" + std::to_string(step);
}

std::string itemName(std::uint64_t step, std::size_t index)
{
    return lotName(step) + "-" + std::to_string(index);
}

/// The first two items of a group are short, the other two long.
bool isLong(std::size_t index)
{
    return index % GroupSize >= 2;
}

} // namespace

LargeItemCase::LargeItemCase(boost::asio::io_context &loop, platform::StoreStandin &store, CaseOptions options)
    : ReviewCase(loop, store, std::move(options))
{
    m_store.put("keyed.op", "config", manifest());
    for (std::size_t number = 1; number <= EngineCount; ++number) {
        m_engines.push_back(std::make_unique<Engine>(m_loop,
                                                     m_store,
                                                     EngineOptions{.id = "e" + std::to_string(number),
                                                                   .service = "llm",
                                                                   .models = {{"m", 1}},
                                                                   .slots = Slots,
                                                                   .eventInterval = EventInterval},
                                                     m_runs));
        m_listening = m_listening && m_engines.back()->listen();
    }
}

std::string LargeItemCase::body(std::uint64_t step) const
{
    std::string items;
    for (std::size_t index = 0; index < Groups * GroupSize; ++index) {
        const bool large = m_options.trouble && step == 0 && index == 0;
        const int events = isLong(index) ? LongEvents : ShortEvents;
        const int tokens = isLong(index) ? LongTokens : ShortTokens;
        items += items.empty() ? "" : ",";
        items += R"({"id":")" + itemName(step, index)
            + R"(","path":"/samples/0/1","headers":{"Bergamotwinch-Model":"m","Bergamotwinch-Length-Hint":")"
            + std::to_string(events) + R"("},"body":")" + platform::encodeBase64("events=" + std::to_string(events))
            + R"(","tokens":)" + std::to_string(large ? LargeTokens : tokens) + R"(,"group":")" + lotName(step) + "-g"
            + std::to_string(index / GroupSize) + R"("})";
    }
    return R"({"step":)" + std::to_string(step) + R"(,"model":"m","min_version":1,"desired_count":)"
        + std::to_string(Groups) + R"(,"items":[)" + items + "]}";
}

void LargeItemCase::start()
{
    if (!m_listening) {
        finish(Verdict::NotRun, "an engine cannot listen");
        return;
    }
    watch();
    submit(0);
}

void LargeItemCase::submit(std::uint64_t step)
{
    net::ClientRequest request{.method = "POST", .target = "/samples/" + lotName(step), .body = body(step)};
    request.headers.add("Bergamotwinch-Attempt-Id", lotName(step));
    call(0, std::move(request), [this, step](const net::WholeAnswer &answer) {
        write("batch job " + lotName(step) + " is answered " + std::to_string(answer.status));
        if (answer.status != 202) {
            if (elapsed() > StartTimeout) {
                finish(Verdict::NotRun, "a batch job is not accepted");
                return;
            }
            after(PollInterval, [this, step] {
                submit(step);
            });
            return;
        }
        if (step == 0) {
            m_submittedAt = BootClock::now();
            after(StepBudget, [this] {
                judge();
            });
        }
        if (step + 1 < Steps) {
            after(StepInterval, [this, step] {
                submit(step + 1);
            });
        }
    });
}

void LargeItemCase::watch()
{
    for (const std::unique_ptr<Engine> &engine : m_engines) {
        if (2 * engine->running() >= Slots) {
            m_halfFullAt = BootClock::now();
        }
    }
    after(PollInterval, [this] {
        watch();
    });
}

void LargeItemCase::judge()
{
    const TimePoint now = BootClock::now();
    const bool room = now - m_halfFullAt > IdleBound;
    std::size_t waiting = 0;
    std::size_t begun = 0;
    std::size_t finishedLater = 0;
    for (std::uint64_t step = 0; step < Steps; ++step) {
        for (std::size_t index = 0; index < Groups * GroupSize; ++index) {
            const std::string name = itemName(step, index);
            const auto found = m_runs.find(name);
            const bool ran = found != m_runs.end();
            const bool done = ran && found->second.back().complete;
            const bool atEngine = ran && found->second.back().end == TimePoint{};
            if (step == 0) {
                begun += ran ? 1 : 0;
                waiting +=
                    !done && !atEngine && now - (ran ? found->second.back().end : m_submittedAt) >= IdleBound ? 1 : 0;
            } else {
                finishedLater += done ? 1 : 0;
            }
            const std::string idle = ran ? "at no engine" : "at no engine since it was accepted";
            write("item " + name + ": " + (done ? "finished" : atEngine ? "at " + found->second.back().engine : idle));
        }
    }
    const bool broken = waiting > 0 && begun > 0 && room;
    finish(broken ? Verdict::Broken : Verdict::Held,
           "12 s after step 0 was accepted, " + std::to_string(waiting) + " of its "
               + std::to_string(Groups * GroupSize) + " items have been at no engine for 5 s; " + std::to_string(begun)
               + " had begun, " + std::to_string(finishedLater)
               + " items of later steps are finished; the engines were "
               + (room ? "under half full" : "half full or more") + " in these 5 s");
}

} // namespace bergamot::review
