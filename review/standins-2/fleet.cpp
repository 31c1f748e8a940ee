#include "fleet.h"

#include <charconv>
#include <csignal>
#include <fstream>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include "platform/base64.h"
#include "platform/json_fields.h"

namespace review
{

using namespace std::chrono_literals;
using bergamot::logstore::AppendStatus;
using bergamot::logstore::ReadStatus;

namespace
{

constexpr Duration BeatInterval = 1200ms;
constexpr std::size_t LengthBytes = 4;
constexpr std::size_t OffsetBytes = 8;

std::uint64_t parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::uint64_t number(const net::Request &request, std::string_view name)
{
    return parseNumber(request.query(name).value_or(""));
}

std::string text(const net::Request &request, std::string_view name)
{
    return net::percentDecoded(request.query(name).value_or(""));
}

std::string header(const net::Request &request, std::string_view name)
{
    return std::string(request.headers.find(name).value_or(""));
}

void appendBigEndian(std::string &bytes, std::uint64_t value, std::size_t size)
{
    for (std::size_t byte = size; byte > 0; --byte) {
        bytes += static_cast<char>(value >> (8 * (byte - 1)) & 0xff);
    }
}

std::vector<std::string> splitRecords(const std::string &body)
{
    std::vector<std::string> records;
    std::size_t at = 0;
    while (at + LengthBytes <= body.size()) {
        std::size_t length = 0;
        for (std::size_t byte = 0; byte < LengthBytes; ++byte) {
            length = length << 8 | static_cast<unsigned char>(body[at + byte]);
        }
        at += LengthBytes;
        records.push_back(body.substr(at, length));
        at += length;
    }
    return records;
}

net::Response notExecuted(int status)
{
    net::Response response{.status = status};
    response.headers.add("Bergamotwinch-Not-Executed", "1");
    return response;
}

} // namespace

Record::Record(const std::string &file)
    : m_file(std::fopen(file.c_str(), "w"))
{ }

Record::~Record()
{
    if (m_file != nullptr) {
        std::fclose(m_file);
    }
}

void Record::write(const std::string &line)
{
    if (m_file != nullptr) {
        std::fprintf(m_file, "%8.3f %s\n", static_cast<double>(now()) / 1000.0, line.c_str());
        std::fflush(m_file);
    }
}

std::int64_t Record::now() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - m_startedAt).count();
}

Store::Store(boost::asio::io_context &loop, Record &record)
    : m_loop(loop)
    , m_record(record)
    , m_server(loop, [this](std::shared_ptr<net::Exchange> exchange) {
        handle(std::move(exchange));
    })
{ }

bool Store::listen(const Address &address)
{
    return m_server.listen(address).has_value();
}

void Store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    m_log.put(topic, key, value);
    wakeReaders();
}

void Store::loseNextAnswer(LosesAnswer losesAnswer)
{
    m_losesAnswer = std::move(losesAnswer);
}

void Store::handle(std::shared_ptr<net::Exchange> exchange)
{
    const std::string_view path = exchange->request().path();
    if (path == "/bergamotwinch/log-append") {
        append(exchange);
    } else if (path == "/bergamotwinch/log-read") {
        read(exchange);
    } else if (path == "/bergamotwinch/log-newest") {
        readNewest(exchange);
    } else {
        exchange->respond({.status = 404, .body = "{}"});
    }
}

void Store::append(const std::shared_ptr<net::Exchange> &exchange)
{
    const net::Request &request = exchange->request();
    bergamot::logstore::Append append{.topic = text(request, "topic"),
                                      .partition = static_cast<std::uint32_t>(number(request, "part")),
                                      .records = splitRecords(request.body)};
    if (request.query("at")) {
        append.expectedEnd = number(request, "at");
    }
    if (request.query("producer")) {
        append.producer = bergamot::logstore::Producer{.name = text(request, "producer"),
                                                       .epoch = number(request, "epoch"),
                                                       .sequence = number(request, "sequence")};
    }
    const bergamot::logstore::AppendOutcome outcome = m_log.append(append);
    if (m_losesAnswer && m_losesAnswer(request)) {
        m_losesAnswer = nullptr;
        m_record.write("store: appends to " + append.topic + " and its answer is lost (status "
                       + std::to_string(static_cast<int>(outcome.status)) + ")");
        m_unanswered.push_back(exchange);
        wakeReaders();
        return;
    }
    const std::string end = std::to_string(outcome.end);
    switch (outcome.status) {
    case AppendStatus::Appended:
        exchange->respond({.status = 200,
                           .body = R"({"offset":)" + std::to_string(outcome.offset) + R"(,"end_offset":)" + end + "}"});
        break;
    case AppendStatus::Conflict:
        exchange->respond({.status = 412, .body = R"({"end_offset":)" + end + "}"});
        break;
    case AppendStatus::Fenced:
        exchange->respond({.status = 409, .body = R"({"why":"fenced"})"});
        break;
    case AppendStatus::OutOfSequence:
        exchange->respond(
            {.status = 409, .body = R"({"why":"seq","sequence":)" + std::to_string(outcome.expectedSequence) + "}"});
        break;
    default:
        exchange->respond({.status = 413, .body = "{}"});
        break;
    }
    wakeReaders();
}

void Store::read(const std::shared_ptr<net::Exchange> &exchange)
{
    const net::Request &request = exchange->request();
    Reader reader{.exchange = exchange,
                  .timer = nullptr,
                  .topic = text(request, "topic"),
                  .partition = static_cast<std::uint32_t>(number(request, "part")),
                  .from = number(request, "from"),
                  .maxBytes = number(request, "max_kb") * 1024};
    const std::uint64_t wait = number(request, "wait_ms");
    if (answerRead(reader, wait == 0)) {
        return;
    }
    reader.timer = std::make_shared<boost::asio::steady_timer>(m_loop, std::chrono::milliseconds(wait));
    m_readers.push_back(reader);
    const auto remove = [this, raw = exchange.get()] {
        m_readers.remove_if([raw](const Reader &waiting) {
            return waiting.exchange.get() == raw;
        });
    };
    reader.timer->async_wait([this, reader, remove](const boost::system::error_code &error) {
        if (!error) {
            remove();
            answerRead(reader, true);
        }
    });
    exchange->onCallerDisconnected([timer = reader.timer, remove] {
        timer->cancel();
        remove();
    });
}

bool Store::answerRead(const Reader &reader, bool evenIfEmpty)
{
    const auto outcome = m_log.read(reader.topic, reader.partition, reader.from, reader.maxBytes);
    if (outcome.status == ReadStatus::Trimmed) {
        reader.exchange->respond({.status = 410, .body = R"({"first":)" + std::to_string(outcome.first) + "}"});
        return true;
    }
    if (outcome.records.empty() && !evenIfEmpty) {
        return false;
    }
    std::string body;
    appendBigEndian(body, outcome.end, OffsetBytes);
    appendBigEndian(body, outcome.first, OffsetBytes);
    for (const std::string &record : outcome.records) {
        appendBigEndian(body, record.size(), LengthBytes);
        body += record;
    }
    reader.exchange->respond({.status = 200, .body = std::move(body)});
    return true;
}

void Store::wakeReaders()
{
    m_readers.remove_if([this](const Reader &reader) {
        if (!answerRead(reader, false)) {
            return false;
        }
        reader.timer->cancel();
        return true;
    });
}

void Store::readNewest(const std::shared_ptr<net::Exchange> &exchange)
{
    const auto newest = m_log.readNewest(text(exchange->request(), "topic"), text(exchange->request(), "after"));
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    writer.StartObject();
    writer.Key("items");
    writer.StartArray();
    for (const bergamot::logstore::KeyedRecord &record : newest.records) {
        const std::string value = bergamot::platform::encodeBase64(record.value);
        writer.StartObject();
        writer.Key("key");
        writer.String(record.key.c_str());
        writer.Key("value");
        writer.String(value.c_str());
        writer.Key("offset");
        writer.Uint64(record.offset);
        writer.EndObject();
    }
    writer.EndArray();
    writer.Key("has_more");
    writer.Bool(newest.hasMore);
    writer.Key("end_offset");
    writer.Uint64(newest.end);
    writer.EndObject();
    exchange->respond({.status = 200, .body = {buffer.GetString(), buffer.GetSize()}});
}

struct Engine::Run
{
    std::shared_ptr<net::Exchange> exchange;
    std::string id;
    std::string model;
    std::uint64_t nextEvent = 1;
    std::uint64_t version = 0; // as last told
    boost::asio::steady_timer timer;
};

Engine::Engine(boost::asio::io_context &loop, Store &store, Record &record, Seen &seen, EngineOptions options)
    : m_loop(loop)
    , m_store(store)
    , m_record(record)
    , m_seen(seen)
    , m_options(std::move(options))
    , m_server(loop,
               [this](const std::shared_ptr<net::Exchange> &exchange) {
                   handle(exchange);
               })
    , m_beatTimer(loop)
    , m_loadTimer(loop)
    , m_named(m_options.models)
    , m_born(static_cast<std::uint64_t>(
          std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
              .count()))
{ }

bool Engine::listen()
{
    const bool listening = m_server.listen({"127.0.0.1", 0}).has_value();
    beat();
    return listening;
}

void Engine::nameVersion(const std::string &model, std::uint64_t version)
{
    m_named[model] = version;
}

std::string Engine::modelsJson() const
{
    std::string json = "[";
    for (const auto &[name, version] : m_options.models) {
        json += json.size() > 1 ? "," : "";
        json += R"({"name":")" + name + R"(","version":)" + std::to_string(version) + R"(,"adapters":[]})";
    }
    return json + "]";
}

void Engine::beat()
{
    m_store.put("keyed.servers",
                m_options.id,
                R"({"service":")" + m_options.service + R"(","address":"127.0.0.1:)" + std::to_string(m_server.port())
                    + R"(","zone":"a","version":"v1","slots":)" + std::to_string(m_options.slots)
                    + R"(,"state":"ready","cold_remaining_ms":0,"stage":"prefill_decode","models":)" + modelsJson()
                    + R"(,"born":)" + std::to_string(m_born) + R"(,"sequence":)" + std::to_string(++m_beats) + "}");
    m_beatTimer.expires_after(BeatInterval);
    m_beatTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            beat();
        }
    });
}

void Engine::handle(const std::shared_ptr<net::Exchange> &exchange)
{
    const net::Request &request = exchange->request();
    const std::string expected = header(request, "Bergamotwinch-Expected-Instance");
    if (!expected.empty() && expected != m_options.id) {
        exchange->respond(notExecuted(421));
    } else if (request.path() == "/bergamotwinch/order") {
        order(exchange);
    } else if (request.path() == "/bergamotwinch/report") {
        report(exchange);
    } else {
        run(exchange);
    }
}

void Engine::order(const std::shared_ptr<net::Exchange> &exchange)
{
    namespace json = bergamot::platform::json;
    const rapidjson::Document call = json::parse(exchange->request().body);
    const auto holder = json::stringMember(call, "holder");
    const auto token = json::wholeNumber(call, "fencing_token");
    const auto model = json::stringMember(call, "model");
    const auto version = json::wholeNumber(call, "version");
    if (!holder || !token || !model || !version) {
        exchange->respond({.status = 400});
        return;
    }
    m_seen.orders.push_back(
        {.at = m_record.now(), .engine = m_options.id, .holder = *holder, .fencingToken = *token, .version = *version});
    int status = 202;
    if (!m_options.models.contains(*model) || *version > m_named[*model]) {
        status = 400;
    } else if (!m_loading.empty() || json::wholeNumber(call, "expected").value_or(m_orders) != m_orders) {
        status = 409;
    } else if (m_options.models[*model] == *version) {
        status = 200;
    } else {
        ++m_orders;
        m_loading = *model;
        m_loadingVersion = *version;
        m_awaitsRuns = json::stringMember(call, "mode") == "await";
        if (!m_awaitsRuns || m_runs.empty()) {
            startLoad();
        }
    }
    m_record.write("engine " + m_options.id + ": order from " + *holder + ", token " + std::to_string(*token)
                   + ", version " + std::to_string(*version) + ": " + std::to_string(status));
    exchange->respond({.status = status});
}

void Engine::startLoad()
{
    m_awaitsRuns = false;
    m_loadTimer.expires_after(m_options.loadTime);
    m_loadTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            m_options.models[m_loading] = m_loadingVersion;
            m_loading.clear();
            beat();
        }
    });
}

void Engine::report(const std::shared_ptr<net::Exchange> &exchange)
{
    exchange->respond({.status = 200,
                       .body = R"({"stage":"prefill_decode","models":)" + modelsJson() + R"(,"busy":)"
                           + (m_loading.empty() ? "false" : "true") + R"(,"born":)" + std::to_string(m_born)
                           + R"(,"sequence":)" + std::to_string(m_orders) + R"(,"waiting":0,"running":)"
                           + std::to_string(m_runs.size()) + R"(,"kv_used":0,"kv_total":40000,"handles":0})"});
}

void Engine::run(const std::shared_ptr<net::Exchange> &exchange)
{
    const net::Request &request = exchange->request();
    const std::string id = header(request, "Bergamotwinch-Attempt-Id");
    const std::string model = m_options.models.empty() ? std::string() : m_options.models.begin()->first;
    const std::string expectedVersion = header(request, "Bergamotwinch-Expected-Version");
    if (!expectedVersion.empty() && parseNumber(expectedVersion) != m_options.models[model]) {
        exchange->respond(notExecuted(421));
        return;
    }
    if (!m_loading.empty() || m_runs.size() >= m_options.slots) {
        exchange->respond(notExecuted(503));
        return;
    }
    m_seen.runs.push_back({.at = m_record.now(),
                           .engine = m_options.id,
                           .service = m_options.service,
                           .id = id,
                           .path = std::string(request.path())});
    m_record.write("engine " + m_options.id + " of " + m_options.service + ": runs " + id + " " + request.target);
    if (m_options.models.empty()) {
        net::Response response{.status = 200, .body = "answer to " + id};
        response.headers.add("Bergamotwinch-Attempt-Id", id);
        response.headers.add("Bergamotwinch-Server-Stamp", m_options.id + "." + id);
        exchange->respond(std::move(response));
        return;
    }
    const auto run = std::make_shared<Run>(Run{.exchange = exchange,
                                               .id = id,
                                               .model = model,
                                               .nextEvent = parseNumber(header(request, "Last-Event-Id")) + 1,
                                               .version = m_options.models[model],
                                               .timer = boost::asio::steady_timer(m_loop)});
    m_runs.insert(run);
    exchange->onCallerDisconnected([this, weak = std::weak_ptr(run)] {
        if (const auto gone = weak.lock()) {
            endRun(gone);
        }
    });
    net::ResponseHead head{.status = 200};
    head.headers.add("Content-Type", "text/event-stream");
    head.headers.add("Bergamotwinch-Attempt-Id", id);
    head.headers.add("Bergamotwinch-Server-Stamp", m_options.id + "." + id);
    head.headers.add("Bergamotwinch-Weight-Versions", std::to_string(run->version));
    exchange->beginStream(head);
    sendEvent(run);
}

void Engine::sendEvent(const std::shared_ptr<Run> &run)
{
    if (run->nextEvent > m_options.events) {
        endRun(run);
        run->exchange->finish();
        return;
    }
    std::string event;
    if (run->version != m_options.models[run->model]) {
        run->version = m_options.models[run->model];
        event = "bergamotwinch-weight-versions: " + std::to_string(run->version) + "\n";
    }
    event +=
        "id: " + std::to_string(run->nextEvent) + "\ndata: " + run->id + "." + std::to_string(run->nextEvent) + "\n\n";
    run->exchange->write(event);
    ++run->nextEvent;
    run->timer.expires_after(m_options.eventInterval);
    run->timer.async_wait([this, run](const boost::system::error_code &error) {
        if (!error && m_runs.contains(run)) {
            sendEvent(run);
        }
    });
}

void Engine::endRun(const std::shared_ptr<Run> &run)
{
    run->timer.cancel();
    m_runs.erase(run);
    if (m_awaitsRuns && m_runs.empty()) {
        startLoad();
    }
}

Fleet::Fleet(boost::asio::io_context &loop, const Settings &caseSettings)
    : record(caseSettings.recordFile)
    , store(loop, record)
    , settings(caseSettings)
    , m_loop(loop)
    , m_client(loop, {})
{
    m_listening = store.listen(settings.store);
}

void Fleet::addEngine(EngineOptions options)
{
    m_engines.push_back(std::make_unique<Engine>(m_loop, store, record, seen, std::move(options)));
    m_listening = m_engines.back()->listen() && m_listening;
}

void Fleet::configure(const std::string &manifest)
{
    record.write("operator: " + manifest);
    store.put("keyed.op", "config", manifest);
}

void Fleet::nameVersion(const std::string &model, std::uint64_t version)
{
    record.write("trainer: names version " + std::to_string(version) + " of " + model);
    for (const std::unique_ptr<Engine> &engine : m_engines) {
        engine->nameVersion(model, version);
    }
    store.put(
        "keyed.op", "version/" + model, R"({"model":")" + model + R"(","version":)" + std::to_string(version) + "}");
}

void Fleet::sleep(Duration duration)
{
    const TimePoint end = BootClock::now() + duration;
    for (TimePoint now = BootClock::now(); now < end; now = BootClock::now()) {
        m_loop.run_one_for(std::min<Duration>(end - now, 5ms));
    }
}

bool Fleet::until(std::function<bool()> condition, Duration timeout)
{
    const TimePoint deadline = BootClock::now() + timeout;
    while (!condition()) {
        if (BootClock::now() >= deadline) {
            return false;
        }
        sleep(5ms);
    }
    return true;
}

bool Fleet::nodesReady()
{
    const TimePoint deadline = BootClock::now() + 20s;
    for (const auto &[node, address] : settings.ready) {
        while (true) {
            net::ClientRequest request{.to = address, .target = "/bergamotwinch/readiness", .newConnection = true};
            request.headers.add("Host", bergamot::toString(address));
            const Answer answer = send(std::move(request));
            if (answer.status == 200) {
                break;
            }
            if (BootClock::now() >= deadline) {
                record.write("node " + node + " is not ready");
                return false;
            }
            sleep(100ms);
        }
    }
    record.write("all nodes are ready");
    return true;
}

Answer Fleet::call(std::string node, std::string method, std::string target, std::string id, std::string body)
{
    net::ClientRequest request{.to = settings.nodes.at(node),
                               .method = method,
                               .target = target,
                               .body = std::move(body),
                               .newConnection = true,
                               .headTimeout = 6s,
                               .bodyGapTimeout = 6s,
                               .answerTimeout = 6s};
    request.headers.add("Host", Host);
    if (!id.empty()) {
        request.headers.add("Bergamotwinch-Attempt-Id", id);
        request.headers.add("Bergamotwinch-Deadline-Ms", "6000");
    }
    Answer answer = send(std::move(request));
    record.write("client: " + method + " " + target + " at " + node + ": " + std::to_string(answer.status) + " "
                 + answer.body.substr(0, 300));
    return answer;
}

Answer Fleet::send(net::ClientRequest request)
{
    const auto answer = std::make_shared<std::optional<Answer>>();
    net::startForWholeAnswer(m_client, std::move(request), [answer](const net::WholeAnswer &whole) {
        const bool answered = whole.end.failure == net::CallFailure::None;
        *answer = Answer{.status = answered ? whole.status : 0, .body = answered ? whole.body : whole.end.detail};
    });
    while (!*answer) {
        m_loop.run_one_for(5ms);
    }
    return **answer;
}

bool Fleet::signal(const std::string &node, int number)
{
    std::ifstream pids(settings.pidFile);
    std::string name;
    long pid = 0;
    while (pids >> name >> pid) {
        if (name == node && pid > 1) {
            record.write("signal " + std::to_string(number) + " to " + node);
            return ::kill(static_cast<pid_t>(pid), number) == 0;
        }
    }
    return false;
}

std::string machineOf(const std::string &holder)
{
    return holder.substr(0, holder.rfind('-'));
}

} // namespace review
