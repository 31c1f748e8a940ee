#include "review/standins/lost_engine_case.h"

#include <algorithm>

#include "platform/base64.h"
#include "platform/json_fields.h"
#include "platform/standins/messages.h"

namespace bergamot::review
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t EngineCount = 9;
constexpr std::uint32_t Slots = 8;
constexpr std::size_t SmallLot = 4; // items
constexpr std::size_t LargeLot = 48;
constexpr int ShortEvents = 10;
constexpr int LongEvents = 60;
constexpr const char *SmallModel = "small";
constexpr const char *LargeModel = "large";
constexpr Duration LossDelay = 1s; // after the last step was accepted
constexpr Duration StepBudget = 12s; // the trainer's time budget for a step
constexpr Duration IdleBound = 5s; // of the rule
constexpr Duration PollInterval = 100ms;
constexpr Duration PhaseTimeout = 30s;

std::string manifest()
{
    return R"({"version":1,"routes":[{"name":"r-samples","host":")" + std::string(platform::StandinHost)
        + R"(","path_prefix":"/samples/","route_kind":"rollout","timeout_ms":10000,"target_latency_ms":400,)"
          R"("result_deadline_ms":7500,"retention_s":40,"priority":1,"max_attempts":3,"service":"llm"}],)"
          R"("services":[{"name":"llm","health_path":"/health","max_connections":282,"engine":{"slots":8,)"
          R"("kv_cache_tokens":41970,"models":[{"name":"small"},{"name":"large"}]}}],)"
          R"("limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,)"
          R"("idle_timeout_ms":15000}})";
}

} // namespace

LostEngineCase::LostEngineCase(boost::asio::io_context &loop, platform::StoreStandin &store, CaseOptions options)
    : ReviewCase(loop, store, std::move(options))
{
    m_store.put("keyed.op", "config", manifest());
    for (std::size_t number = 1; number <= EngineCount; ++number) {
        m_engines.push_back(std::make_unique<Engine>(m_loop,
                                                     m_store,
                                                     EngineOptions{.id = "e" + std::to_string(number),
                                                                   .service = "llm",
                                                                   .models = {{SmallModel, 1}, {LargeModel, 1}},
                                                                   .slots = Slots},
                                                     m_runs));
        m_listening = m_listening && m_engines.back()->listen();
    }
}

std::string LostEngineCase::itemName(const Lot &lot, std::size_t index)
{
    return lot.name + "-" + std::to_string(index);
}

std::string LostEngineCase::body(const Lot &lot)
{
    constexpr std::size_t GroupSize = 4;
    std::string items;
    for (std::size_t index = 0; index < lot.items; ++index) {
        items += items.empty() ? "" : ",";
        items += R"({"id":")" + itemName(lot, index) + R"(","path":"/samples/0/1","headers":{"Bergamotwinch-Model":")"
            + lot.model + R"("},"body":")" + platform::encodeBase64("events=" + std::to_string(lot.events))
            + R"(","tokens":600,"group":")" + lot.name + "-g" + std::to_string(index / GroupSize) + R"("})";
    }
    return R"({"step":)" + std::to_string(lot.step) + R"(,"model":")" + lot.model + R"(","min_version":)"
        + std::to_string(lot.minVersion) + R"(,"desired_count":)" + std::to_string(lot.items / GroupSize)
        + R"(,"items":[)" + items + "]}";
}

void LostEngineCase::start()
{
    if (!m_listening) {
        finish(Verdict::NotRun, "an engine cannot listen");
        return;
    }
    watch();
    const Lot large{.name = "large0", .model = LargeModel, .items = LargeLot, .events = ShortEvents};
    const Lot small{.name = "small0", .model = SmallModel, .items = SmallLot, .events = ShortEvents};
    submit(large, [this, large, small] {
        submit(small, [this, large, small] {
            readAll(large, [this, small] {
                readAll(small, [this] {
                    nameVersions();
                });
            });
        });
    });
}

void LostEngineCase::nameVersions()
{
    nameVersion(SmallModel, 2);
    awaitVersion(SmallModel, 2, [this] {
        nameVersion(LargeModel, 2);
        awaitVersion(LargeModel, 2, [this] {
            nameVersion(SmallModel, 3);
            awaitVersion(SmallModel, 3, [this] {
                lastStep();
            });
        });
    });
}

void LostEngineCase::submit(const Lot &lot, Step accepted)
{
    net::ClientRequest request{.method = "POST", .target = "/samples/" + lot.name, .body = body(lot)};
    request.headers.add("Bergamotwinch-Attempt-Id", lot.name);
    call(0, std::move(request), [this, lot, accepted = std::move(accepted)](const net::WholeAnswer &answer) {
        write("batch job " + lot.name + " is answered " + std::to_string(answer.status));
        if (answer.status == 202) {
            accepted();
        } else if (elapsed() > PhaseTimeout) {
            finish(Verdict::NotRun, "a batch job is not accepted");
        } else {
            after(PollInterval, [this, lot, accepted] {
                submit(lot, accepted);
            });
        }
    });
}

void LostEngineCase::readAll(const Lot &lot, Step done)
{
    call(0,
         {.target = "/bergamotwinch/lots/" + lot.name + "?after=0"},
         [this, lot, done = std::move(done)](const net::WholeAnswer &answer) {
             const rapidjson::Document json = platform::json::parse(answer.body);
             const std::uint64_t next =
                 answer.status == 200 ? platform::json::wholeNumber(json, "next").value_or(0) : 0;
             if (next == lot.items) {
                 write("batch job " + lot.name + " has all results; its trainer ends it");
                 call(0,
                      {.method = "DELETE", .target = "/bergamotwinch/lots/" + lot.name},
                      [done](const net::WholeAnswer &) {
                          done();
                      });
             } else if (elapsed() > PhaseTimeout) {
                 finish(Verdict::NotRun, "a batch job does not get its results");
             } else {
                 after(PollInterval, [this, lot, done] {
                     readAll(lot, done);
                 });
             }
         });
}

void LostEngineCase::nameVersion(const std::string &model, std::uint64_t version)
{
    write("version " + std::to_string(version) + " of model " + model + " is named");
    m_store.put(
        "keyed.op", "version/" + model, R"({"model":")" + model + R"(","version":)" + std::to_string(version) + "}");
}

void LostEngineCase::awaitVersion(const std::string &model, std::uint64_t version, Step done)
{
    const bool loaded = std::any_of(m_engines.begin(), m_engines.end(), [&](const std::unique_ptr<Engine> &engine) {
        return engine->version(model) >= version;
    });
    if (loaded) {
        after(1s, std::move(done));
    } else if (elapsed() > PhaseTimeout) {
        finish(Verdict::NotRun, "no engine loads a named version");
    } else {
        after(PollInterval, [this, model, version, done = std::move(done)] {
            awaitVersion(model, version, done);
        });
    }
}

void LostEngineCase::lastStep()
{
    for (const std::unique_ptr<Engine> &engine : m_engines) {
        write("engine " + engine->id() + " has small " + std::to_string(engine->version(SmallModel)) + ", large "
              + std::to_string(engine->version(LargeModel)));
    }
    m_last = {
        .name = "small3", .model = SmallModel, .step = 3, .minVersion = 2, .items = SmallLot, .events = LongEvents};
    submit(m_last, [this] {
        if (m_options.trouble) {
            after(LossDelay, [this] {
                loseEngine();
            });
        }
        after(StepBudget, [this] {
            judge();
        });
    });
}

void LostEngineCase::loseEngine()
{
    const auto found = m_runs.find(itemName(m_last, 0));
    if (found == m_runs.end()) {
        finish(Verdict::NotRun, "the last step has not begun");
        return;
    }
    const std::string name = found->second.back().engine;
    for (const std::unique_ptr<Engine> &engine : m_engines) {
        if (engine->id() == name) {
            write("engine " + name + " crashes and is lost for good");
            engine->crashForGood();
        }
    }
}

void LostEngineCase::watch()
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

void LostEngineCase::judge()
{
    const TimePoint now = BootClock::now();
    const bool room = now - m_halfFullAt > IdleBound;
    std::size_t waiting = 0;
    std::size_t begun = 0;
    for (std::size_t index = 0; index < m_last.items; ++index) {
        const auto found = m_runs.find(itemName(m_last, index));
        const bool ran = found != m_runs.end();
        begun += ran ? 1 : 0;
        const bool done = ran && found->second.back().complete;
        const bool atEngine = ran && found->second.back().end == TimePoint{};
        const bool idle = ran && !done && !atEngine && now - found->second.back().end >= IdleBound;
        waiting += idle ? 1 : 0;
        write("item " + itemName(m_last, index) + ": "
              + (done           ? "finished"
                     : atEngine ? "at " + found->second.back().engine
                                : "at no engine"));
    }
    for (const std::unique_ptr<Engine> &engine : m_engines) {
        write("engine " + engine->id() + (engine->crashes().empty() ? "" : " (lost)") + " has small "
              + std::to_string(engine->version(SmallModel)) + " and runs " + std::to_string(engine->running()));
    }
    finish(waiting > 0 && begun > 0 && room ? Verdict::Broken : Verdict::Held,
           "12 s after the step was accepted, " + std::to_string(waiting) + " of its " + std::to_string(m_last.items)
               + " items have been at no engine for 5 s; the engines were "
               + (room ? "under half full" : "half full or more") + " in these 5 s");
}

} // namespace bergamot::review
