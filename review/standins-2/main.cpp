// review-standins: plays the platform of a small deployment against running nodes, for one case of the review. Exits
// with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case could not run.

#include <csignal>
#include <cstdlib>
#include <iostream>

#include <boost/asio/executor_work_guard.hpp>

#include "faulty_engine.h"
#include "fleet.h"
#include "platform/base64.h"

namespace review
{

using namespace std::chrono_literals;

namespace
{

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int NotRun = 2;
constexpr int MaxAttempts = 3; // of the routes
constexpr int Items = 60; // of a batch job
const std::string BatchId = "b000000000000001";

std::string routeJson(const std::string &name, const std::string &prefix, const std::string &service)
{
    return R"({"name":")" + name + R"(","host":")" + std::string(Host) + R"(","path_prefix":")" + prefix
        + R"(","route_kind":"rollout","target_latency_ms":400,"result_deadline_ms":7500,"timeout_ms":10000,)"
        + R"("priority":1,"retention_s":60,"max_attempts":)" + std::to_string(MaxAttempts) + R"(,"service":")" + service
        + R"("})";
}

std::string serviceJson(const std::string &name, const std::string &model)
{
    return R"({"name":")" + name + R"(","health_path":"/health","max_connections":282,"engine":{"slots":4,)"
        + R"("kv_cache_tokens":40000,"models":[{"name":")" + model + R"("}]}})";
}

std::string manifest(std::uint64_t version, const std::string &routes, const std::string &services)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes + R"(],"services":[)" + services
        + R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,)"
        + R"("idle_timeout_ms":15000}})";
}

/// Two machines give orders to one engine within the lease: the store loses its answer to the first machine's note of
/// the order, and that machine is stopped as planned right after its order.
int takeTurns(Fleet &fleet)
{
    constexpr std::int64_t LeaseMs = 3000; // `lease_ms`
    const std::string model = "model-reviewed";
    fleet.addEngine({.id = "i-e1", .service = "llm", .models = {{model, 1}}});
    fleet.configure(manifest(1, routeJson("rollouts", "/rollouts/", "llm"), serviceJson("llm", model)));
    if (!fleet.nodesReady()) {
        return NotRun;
    }
    const auto orderOf = [&fleet](std::uint64_t version) -> const SeenOrder * {
        for (const SeenOrder &order : fleet.seen.orders) {
            if (order.version == version) {
                return &order;
            }
        }
        return nullptr;
    };
    fleet.nameVersion(model, 2);
    if (!fleet.until(
            [&] {
                return orderOf(2) != nullptr;
            },
            15s)) {
        return NotRun;
    }
    fleet.sleep(4500ms);
    if (fleet.settings.trouble) {
        fleet.store.loseNextAnswer([&model](const net::Request &request) {
            return request.query("topic") == "batches" && request.query("producer") == "pool"
                && request.body.find(model) != std::string::npos;
        });
    }
    fleet.nameVersion(model, 3);
    const TimePoint namedAt = BootClock::now();
    if (!fleet.until(
            [&] {
                return orderOf(3) != nullptr;
            },
            10s)) {
        return NotRun;
    }
    if (!fleet.signal(machineOf(orderOf(3)->holder), SIGTERM)) {
        return NotRun;
    }
    fleet.sleep(std::max<Duration>(Duration::zero(), namedAt + 3s - BootClock::now()));
    fleet.nameVersion(model, 4);
    if (!fleet.until(
            [&] {
                return orderOf(4) != nullptr;
            },
            15s)) {
        return NotRun;
    }
    int outcome = Held;
    for (std::size_t index = 1; index < fleet.seen.orders.size(); ++index) {
        const SeenOrder &before = fleet.seen.orders[index - 1];
        const SeenOrder &order = fleet.seen.orders[index];
        if (machineOf(before.holder) == machineOf(order.holder)) {
            continue;
        }
        const bool within = order.at - before.at < LeaseMs;
        fleet.record.write("check: orders of " + before.holder + " and " + order.holder + " to " + order.engine
                           + " are " + std::to_string(order.at - before.at)
                           + " ms apart: " + (within ? "BROKEN" : "held"));
        outcome = within ? Broken : outcome;
    }
    return outcome;
}

std::string itemJson(const std::string &id, const std::string &path, const std::string &model)
{
    return R"({"id":")" + id + R"(","path":")" + path + R"(","headers":{"Bergamotwinch-Model":")" + model
        + R"(","Bergamotwinch-Token-Counts":"20,40","Bergamotwinch-Prompt-Prefix":"9c2e41:20"},"body":")"
        + bergamot::platform::encodeBase64("body of " + id) + R"(","tokens":60,"group":"g1"})";
}

std::string itemId(int index)
{
    return "a0000000000000" + std::to_string(100 + index);
}

std::string submissionJson(const std::string &model, const std::string &items)
{
    return R"({"step":0,"model":")" + model + R"(","min_version":1,"desired_count":1,"items":[)" + items + "]}";
}

/// Reads the results of the batch job until all are listed. Returns the last answer; empty if they were not in time.
std::string readResults(Fleet &fleet, int items)
{
    constexpr int Tries = 40;
    const std::string all = R"("next":)" + std::to_string(items) + ",";
    for (int attempt = 0; attempt < Tries; ++attempt) {
        fleet.sleep(500ms);
        const Answer read = fleet.call("node-2", "GET", "/bergamotwinch/lots/" + BatchId + "?after=0", "", "");
        if (read.status == 200 && read.body.find(all) != std::string::npos) {
            return read.body;
        }
    }
    return {};
}

/// A manifest adds a route for a part of the paths of a batch job that is being processed.
int splitRoute(Fleet &fleet)
{
    const std::string model = "model-reviewed";
    const std::string oldRoute = routeJson("rollouts", "/rollouts/", "llm-a");
    const std::string services = serviceJson("llm-a", model) + "," + serviceJson("llm-b", model);
    fleet.addEngine({.id = "i-a1", .service = "llm-a", .models = {{model, 1}}, .slots = 2, .events = 10});
    fleet.addEngine({.id = "i-a2", .service = "llm-a", .models = {{model, 1}}, .slots = 2, .events = 10});
    fleet.addEngine({.id = "i-b1", .service = "llm-b", .models = {{model, 1}}, .slots = 4, .events = 10});
    fleet.configure(manifest(1, oldRoute, services));
    if (!fleet.nodesReady()) {
        return NotRun;
    }
    std::string items = itemJson(itemId(1), "/rollouts/new/1", model);
    for (int index = 2; index <= Items; ++index) {
        items += "," + itemJson(itemId(index), "/rollouts/old/" + std::to_string(index), model);
    }
    const Answer accepted = fleet.call("node-1", "POST", "/rollouts/b1", BatchId, submissionJson(model, items));
    if (accepted.status != 202
        || !fleet.until(
            [&] {
                return !fleet.seen.runs.empty();
            },
            10s)) {
        return NotRun;
    }
    fleet.sleep(300ms);
    if (fleet.settings.trouble) {
        fleet.configure(manifest(4, oldRoute + "," + routeJson("rollouts-new", "/rollouts/new/", "llm-b"), services));
    }
    if (readResults(fleet, Items).empty()) {
        return NotRun;
    }
    int foreign = 0;
    for (const SeenRun &run : fleet.seen.runs) {
        foreign += run.path.starts_with("/rollouts/old/") && run.service != "llm-a" ? 1 : 0;
    }
    fleet.record.write("check: " + std::to_string(foreign)
                       + " runs under /rollouts/old/ at another service than llm-a: "
                       + (foreign > 0 ? "BROKEN" : "held"));
    return foreign > 0 ? Broken : Held;
}

/// An engine fails the first two runs of an item, and sends the first of these answers a second time.
int countFailures(Fleet &fleet)
{
    const std::string model = "model-reviewed";
    const std::string id = itemId(1);
    FaultyEngine engine(fleet.loop(),
                        fleet.store,
                        fleet.record,
                        {.id = "i-e1",
                         .service = "llm",
                         .model = model,
                         .failingItem = id,
                         .failures = 2,
                         .extraAnswer = fleet.settings.trouble});
    if (!engine.listen()) {
        return NotRun;
    }
    fleet.addEngine({.id = "i-e2", .service = "llm", .models = {{model, 1}}});
    fleet.configure(manifest(1, routeJson("rollouts", "/rollouts/", "llm"), serviceJson("llm", model)));
    if (!fleet.nodesReady()) {
        return NotRun;
    }
    std::string items = itemJson(id, "/rollouts/1", model);
    for (int index = 2; index <= Items; ++index) {
        items += "," + itemJson(itemId(index), "/rollouts/" + std::to_string(index), model);
    }
    const Answer accepted = fleet.call("node-1", "POST", "/rollouts/b1", BatchId, submissionJson(model, items));
    const std::string results = accepted.status == 202 ? readResults(fleet, Items) : std::string();
    if (results.empty()) {
        return NotRun;
    }
    const SeenAnswers seen = engine.answers().contains(id) ? engine.answers().at(id) : SeenAnswers{};
    const bool givenUp = results.find(R"({"id":")" + id + R"(","state":"terminated")") != std::string::npos;
    const bool broken = givenUp && seen.failures < MaxAttempts;
    int answers = 0;
    for (const auto &[item, answered] : engine.answers()) {
        answers += answered.failures + answered.completed;
    }
    fleet.record.write("the faulty engine gave " + std::to_string(answers) + " answers");
    fleet.record.write("check: " + std::to_string(seen.runs) + " runs, " + std::to_string(seen.failures)
                       + " answered with 500, max_attempts " + std::to_string(MaxAttempts) + ", listed as "
                       + (givenUp ? "terminated" : "completed") + ": " + (broken ? "BROKEN" : "held"));
    return broken ? Broken : Held;
}

/// An item crashes each engine that begins to run it.
int crashEngines(Fleet &fleet)
{
    constexpr std::int64_t ContactMs = 3000; // `contact_ms`
    constexpr int MaxRetries = 3; // later than that after the third crash
    const std::string model = "model-reviewed";
    const std::string id = itemId(1);
    std::vector<std::unique_ptr<FaultyEngine>> engines;
    for (const char *engine : {"i-e1", "i-e2", "i-e3", "i-e4"}) {
        engines.push_back(std::make_unique<FaultyEngine>(
            fleet.loop(),
            fleet.store,
            fleet.record,
            FaultyEngineOptions{
                .id = engine, .service = "llm", .model = model, .crashingItem = fleet.settings.trouble ? id : ""}));
        if (!engines.back()->listen()) {
            return NotRun;
        }
    }
    fleet.configure(manifest(1, routeJson("rollouts", "/rollouts/", "llm"), serviceJson("llm", model)));
    if (!fleet.nodesReady()) {
        return NotRun;
    }
    const std::string items = itemJson(id, "/rollouts/1", model) + "," + itemJson(itemId(2), "/rollouts/2", model);
    const Answer accepted = fleet.call("node-1", "POST", "/rollouts/b1", BatchId, submissionJson(model, items));
    if (accepted.status != 202) {
        return NotRun;
    }
    if (!fleet.settings.trouble) {
        return readResults(fleet, 2).empty() ? NotRun : Held;
    }
    const auto crashes = [&engines, &id] {
        std::vector<std::int64_t> all;
        for (const std::unique_ptr<FaultyEngine> &engine : engines) {
            if (engine->answers().contains(id)) {
                const std::vector<std::int64_t> &own = engine->answers().at(id).crashes;
                all.insert(all.end(), own.begin(), own.end());
            }
        }
        std::sort(all.begin(), all.end());
        return all;
    };
    const auto lateRuns = [&crashes] {
        const std::vector<std::int64_t> all = crashes();
        return std::count_if(all.begin(), all.end(), [&all](std::int64_t at) {
            return all.size() > 2 && at > all[2] + ContactMs;
        });
    };
    fleet.until(
        [&] {
            return lateRuns() > MaxRetries;
        },
        50s);
    fleet.sleep(15s); // shows what becomes of the other item
    fleet.call("node-2", "GET", "/bergamotwinch/lots/" + BatchId + "?after=0", "", "");
    const auto late = lateRuns();
    fleet.record.write("check: " + std::to_string(crashes().size()) + " engines crashed under " + id + ", "
                       + std::to_string(late) + " of them later than " + std::to_string(ContactMs)
                       + " ms after the third: " + (late > MaxRetries ? "BROKEN" : "held"));
    return late > MaxRetries ? Broken : Held;
}

/// A trainer hides a request in a header value of an item.
int hideRequest(Fleet &fleet)
{
    const std::string model = "model-reviewed";
    const std::string id = itemId(1);
    fleet.addEngine({.id = "i-e1", .service = "llm", .models = {{model, 1}}});
    fleet.addEngine({.id = "i-e2", .service = "llm", .models = {{model, 1}}});
    fleet.configure(manifest(1, routeJson("rollouts", "/rollouts/", "llm"), serviceJson("llm", model)));
    if (!fleet.nodesReady()) {
        return NotRun;
    }
    // As JSON escapes: the line ends become part of the value.
    const std::string hidden = R"(1\r\nBergamotwinch-Attempt-Id: )" + id + R"(\r\nContent-Length: 0\r\n\r\n)"
        + R"(POST /elsewhere/hidden HTTP/1.1\r\nHost: )" + std::string(Host)
        + R"(\r\nBergamotwinch-Attempt-Id: hidden\r\nX-Rest: 1)";
    const std::string item = R"({"id":")" + id + R"(","path":"/rollouts/1","headers":{"Bergamotwinch-Model":")" + model
        + R"(","Bergamotwinch-Token-Counts":"20,40","Bergamotwinch-Prompt-Prefix":"9c2e41:20","X-Note":")"
        + (fleet.settings.trouble ? hidden : "1") + R"("},"body":")" + bergamot::platform::encodeBase64("body")
        + R"(","tokens":60,"group":"g1"})";
    const Answer submitted = fleet.call("node-1", "POST", "/rollouts/b1", BatchId, submissionJson(model, item));
    const auto ranWith = [&fleet](std::string_view wanted) {
        return std::any_of(fleet.seen.runs.begin(), fleet.seen.runs.end(), [wanted](const SeenRun &run) {
            return run.id == wanted;
        });
    };
    fleet.until(
        [&] {
            return ranWith("hidden");
        },
        8s);
    const bool broken = ranWith("hidden");
    fleet.record.write(std::string("check: the request inside the item ")
                       + (broken ? "was run: BROKEN" : "was not run: held"));
    if (broken) {
        return Broken;
    }
    const bool served = submitted.status == 202 && ranWith(id);
    return served || fleet.settings.trouble ? Held : NotRun; // a refusal of the batch job keeps the rule
}

using Case = int (*)(Fleet &fleet);

const std::map<std::string, Case> Cases{{"take-turns", takeTurns},
                                        {"split-route", splitRoute},
                                        {"count-failures", countFailures},
                                        {"crash-engines", crashEngines},
                                        {"hide-request", hideRequest}};

/// Parses "NAME=IP:PORT,NAME=IP:PORT".
bool parseNodes(std::string_view text, std::map<std::string, Address> &nodes)
{
    while (!text.empty()) {
        const std::string_view entry = text.substr(0, text.find(','));
        text.remove_prefix(std::min(entry.size() + 1, text.size()));
        const std::size_t equals = entry.find('=');
        const auto address = bergamot::parseAddress(entry.substr(std::min(equals + 1, entry.size())));
        if (equals == std::string_view::npos || !address) {
            return false;
        }
        nodes[std::string(entry.substr(0, equals))] = *address;
    }
    return true;
}

int run(const std::vector<std::string> &arguments)
{
    constexpr std::size_t Expected = 7;
    if (arguments.size() != Expected) {
        std::cerr << "usage: review-standins CASE 0|1 RECORD PIDS STORE NODES READY\n";
        return NotRun;
    }
    Settings settings{
        .name = arguments[0], .trouble = arguments[1] != "0", .recordFile = arguments[2], .pidFile = arguments[3]};
    const auto store = bergamot::parseAddress(arguments[4]);
    const auto chosen = Cases.find(settings.name);
    if (!store || chosen == Cases.end() || !parseNodes(arguments[5], settings.nodes)
        || !parseNodes(arguments[6], settings.ready)) {
        std::cerr << "review-standins: unknown case, or malformed addresses\n";
        return NotRun;
    }
    settings.store = *store;
    boost::asio::io_context loop(1);
    const auto work = boost::asio::make_work_guard(loop);
    Fleet fleet(loop, settings);
    const int outcome = fleet.listening() ? chosen->second(fleet) : NotRun;
    fleet.record.write("exit " + std::to_string(outcome));
    std::cout << settings.name << ": " << (outcome == Held ? "held" : outcome == Broken ? "BROKEN" : "not run") << "\n";
    return outcome;
}

} // namespace

} // namespace review

int main(int argc, char **argv)
{
    return review::run({argv + 1, argv + argc});
}
