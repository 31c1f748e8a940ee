#include "review/standins/trap_case.h"

#include <algorithm>

#include "platform/standins/messages.h"

namespace bergamot::review
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t EngineCount = 6;
constexpr std::size_t Tries = 20; // of the request
constexpr std::size_t CrashesUntilKnown = 3;
constexpr std::size_t RetriesAllowed = 3; // after that
constexpr Duration TryInterval = 2s;
constexpr Duration ContactBound = 3s; // `contact_ms`
constexpr Duration PollInterval = 200ms;
constexpr Duration StartTimeout = 20s;

std::string manifest()
{
    return R"({"version":1,"routes":[{"name":"r-streams","host":")" + std::string(platform::StandinHost)
        + R"(","path_prefix":"/streams/","route_kind":"streaming","timeout_ms":10000,"target_latency_ms":400,)"
          R"("priority":1,"max_attempts":3,"service":"llm"}],"services":[{"name":"llm","health_path":"/health",)"
          R"("max_connections":282,"engine":{"slots":8,"kv_cache_tokens":41970,"models":[{"name":"m"}]}}],)"
          R"("limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,)"
          R"("idle_timeout_ms":15000}})";
}

} // namespace

TrapCase::TrapCase(boost::asio::io_context &loop, platform::StoreStandin &store, CaseOptions options)
    : ReviewCase(loop, store, std::move(options))
{
    m_store.put("keyed.op", "config", manifest());
    for (std::size_t number = 1; number <= EngineCount; ++number) {
        m_engines.push_back(std::make_unique<Engine>(m_loop,
                                                     m_store,
                                                     EngineOptions{.id = "e" + std::to_string(number),
                                                                   .service = "llm",
                                                                   .models = {{"m", 1}},
                                                                   .trapsCrash = m_options.trouble},
                                                     m_runs));
        m_listening = m_listening && m_engines.back()->listen();
    }
}

void TrapCase::start()
{
    if (!m_listening) {
        finish(Verdict::NotRun, "an engine cannot listen");
        return;
    }
    waitUntilReady();
}

void TrapCase::waitUntilReady()
{
    auto ready = std::make_shared<std::size_t>(0);
    auto open = std::make_shared<std::size_t>(m_options.nodes.size());
    for (const NodeProcess &node : m_options.nodes) {
        net::ClientRequest request{.to = node.ready, .target = "/bergamotwinch/readiness", .newConnection = true};
        request.headers.add("Host", toString(request.to));
        net::startForWholeAnswer(m_client, std::move(request), [this, ready, open](const net::WholeAnswer &answer) {
            *ready += answer.status == 200 ? 1 : 0;
            if (--*open > 0) {
                return;
            }
            if (*ready == m_options.nodes.size()) {
                after(1s, [this] {
                    send();
                });
            } else if (elapsed() > StartTimeout) {
                finish(Verdict::NotRun, "the nodes do not become ready");
            } else {
                after(PollInterval, [this] {
                    waitUntilReady();
                });
            }
        });
    }
}

void TrapCase::send()
{
    if (m_sent == Tries) {
        judge();
        return;
    }
    const std::size_t node = m_sent % m_options.nodes.size();
    const std::string id = "try-" + std::to_string(++m_sent);
    net::ClientRequest request{.method = "POST", .target = "/streams/7", .body = "trap events=5", .headTimeout = 10s};
    request.headers.add("Bergamotwinch-Attempt-Id", id);
    request.headers.add("Bergamotwinch-Deadline-Ms", "10000");
    call(node, std::move(request), [this, id, node](const net::WholeAnswer &answer) {
        const bool whole = answer.end.failure == net::CallFailure::None;
        const auto ran = m_runs.find(id);
        write(id + " at node " + std::to_string(node + 1) + ": "
              + (whole ? "status " + std::to_string(answer.status) : "cut off: " + answer.end.detail) + ", "
              + (ran == m_runs.end() ? "reached no engine" : "ran at " + ran->second.back().engine));
    });
    after(TryInterval, [this] {
        send();
    });
}

void TrapCase::judge()
{
    std::vector<TimePoint> crashes;
    for (const std::unique_ptr<Engine> &engine : m_engines) {
        crashes.insert(crashes.end(), engine->crashes().begin(), engine->crashes().end());
    }
    std::sort(crashes.begin(), crashes.end());
    std::size_t late = 0;
    if (crashes.size() >= CrashesUntilKnown) {
        const TimePoint from = crashes[CrashesUntilKnown - 1] + ContactBound;
        for (const auto &[id, runs] : m_runs) {
            late += runs.front().begin > from ? 1 : 0;
        }
    }
    finish(late > RetriesAllowed ? Verdict::Broken : Verdict::Held,
           std::to_string(crashes.size()) + " crashes; " + std::to_string(late)
               + " retries reached engines later than 3 s after the third crash");
}

} // namespace bergamot::review
