#include "review/standins/weights_case.h"

#include "platform/json_fields.h"
#include "platform/standins/messages.h"

namespace bergamot::review
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration ConfigurationBound = 2s; // `config_apply_ms` of the sites
constexpr Duration PollInterval = 100ms;
constexpr Duration LotTimeout = 30s;
constexpr std::size_t ItemsPerLot = 24;
constexpr const char *OldService = "llm-old";
constexpr const char *NewService = "llm-new";

/// The manifest, with `split` as the traffic split of the rollout route.
std::string manifest(std::uint64_t version, const std::string &split)
{
    const std::string engine = R"("engine":{"slots":8,"kv_cache_tokens":41970,"models":[{"name":"m"}]})";
    const auto service = [&engine](const char *name) {
        return R"({"name":")" + std::string(name) + R"(","health_path":"/health","max_connections":282,)" + engine
            + "}";
    };
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[{"name":"r-samples","host":")"
        + std::string(platform::StandinHost)
        + R"(","path_prefix":"/samples/","route_kind":"rollout","timeout_ms":10000,"target_latency_ms":400,)"
          R"("result_deadline_ms":7500,"retention_s":40,"priority":1,"max_attempts":3,"traffic_split":[)"
        + split + R"(]}],"services":[)" + service(OldService) + "," + service(NewService)
        + R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,)"
          R"("idle_timeout_ms":15000}})";
}

std::string share(const char *service, int weight)
{
    return R"({"service":")" + std::string(service) + R"(","weight":)" + std::to_string(weight) + "}";
}

std::string lotBody(const std::string &lot)
{
    constexpr std::size_t GroupSize = 4;
    std::string items;
    for (std::size_t index = 0; index < ItemsPerLot; ++index) {
        items += items.empty() ? "" : ",";
        const std::string item = lot + "-" + std::to_string(index);
        const std::string group = lot + "-g" + std::to_string(index / GroupSize);
        items += R"({"id":")";
        items += item;
        items +=
            R"(","path":"/samples/0/1","headers":{"Bergamotwinch-Model":"m"},"body":"aGk=","tokens":100,"group":")";
        items += group;
        items += R"("})";
    }
    return R"({"step":0,"model":"m","min_version":1,"desired_count":6,"items":[)" + items + "]}";
}

} // namespace

WeightsCase::WeightsCase(boost::asio::io_context &loop, platform::StoreStandin &store, CaseOptions options)
    : ReviewCase(loop, store, std::move(options))
{
    m_store.put("keyed.op", "config", manifest(1, share(OldService, 100)));
    write("manifest 1: llm-old 100");
    for (const char *service : {OldService, NewService}) {
        for (int number = 1; number <= 2; ++number) {
            m_engines.push_back(std::make_unique<platform::EndpointStandin>(
                m_loop,
                m_store,
                platform::EndpointStandinOptions{.id = std::string(service) + "-" + std::to_string(number),
                                                 .service = service,
                                                 .model = "m",
                                                 .slots = 8,
                                                 .eventInterval = 20ms},
                m_observations,
                1));
            m_listening = m_listening && m_engines.back()->listen({"127.0.0.1", 0}).has_value();
        }
    }
}

void WeightsCase::start()
{
    if (!m_listening) {
        finish(Verdict::NotRun, "an engine cannot listen");
        return;
    }
    submit("first", [this] {
        readAll("first", [this] {
            changeWeights();
        });
    });
}

void WeightsCase::submit(const std::string &lot, Step accepted)
{
    net::ClientRequest request{.method = "POST", .target = "/samples/" + lot, .body = lotBody(lot)};
    request.headers.add("Bergamotwinch-Attempt-Id", lot);
    call(0, std::move(request), [this, lot, accepted = std::move(accepted)](const net::WholeAnswer &answer) {
        write("batch job " + lot + " is answered " + std::to_string(answer.status));
        if (answer.status == 202) {
            accepted();
        } else if (elapsed() > LotTimeout) {
            finish(Verdict::NotRun, "no batch job is accepted");
        } else {
            after(PollInterval, [this, lot, accepted] {
                submit(lot, accepted);
            });
        }
    });
}

void WeightsCase::readAll(const std::string &lot, Step done)
{
    call(0,
         {.target = "/bergamotwinch/lots/" + lot + "?after=0"},
         [this, lot, done = std::move(done)](const net::WholeAnswer &answer) {
             const rapidjson::Document json = platform::json::parse(answer.body);
             const std::uint64_t next =
                 answer.status == 200 ? platform::json::wholeNumber(json, "next").value_or(0) : 0;
             if (next == ItemsPerLot) {
                 write("batch job " + lot + " has all results");
                 done();
             } else if (elapsed() > LotTimeout) {
                 finish(Verdict::NotRun, "a batch job does not get its results");
             } else {
                 after(PollInterval, [this, lot, done] {
                     readAll(lot, done);
                 });
             }
         });
}

void WeightsCase::changeWeights()
{
    if (m_options.trouble) {
        m_store.put("keyed.op", "config", manifest(2, share(OldService, 0) + "," + share(NewService, 100)));
        write("manifest 2: llm-old 0, llm-new 100; acknowledged");
    }
    after(2 * ConfigurationBound, [this] {
        submit("second", [this] {
            readAll("second", [this] {
                judge();
            });
        });
    });
}

void WeightsCase::judge()
{
    const std::string forbidden = m_options.trouble ? OldService : NewService;
    std::size_t broken = 0;
    std::size_t runs = 0;
    for (const auto &[item, itemRuns] : m_observations.sampleRuns) {
        for (const platform::EndpointObservations::SampleRun &run : itemRuns) {
            write("item " + item + " ran at " + run.engine);
            const bool second = item.starts_with("second");
            runs += second ? 1 : 0;
            broken += second && run.engine.starts_with(forbidden) ? 1 : 0;
        }
    }
    finish(broken > 0 ? Verdict::Broken : Verdict::Held,
           std::to_string(broken) + " of " + std::to_string(runs) + " runs of the second batch job were at " + forbidden
               + ", to which the manifest in force sends nothing");
}

} // namespace bergamot::review
