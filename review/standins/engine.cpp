#include "review/standins/engine.h"

#include <charconv>

#include "platform/json_fields.h"

namespace bergamot::review
{

namespace
{

constexpr Duration HeartbeatInterval = std::chrono::milliseconds(1200);
constexpr int SilentHeartbeats = 3; // after which the store removes an entry
constexpr Duration FirstTokenTime = std::chrono::milliseconds(50);

std::uint64_t leadingNumber(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::uint64_t eventsOf(std::string_view body)
{
    constexpr std::string_view Name = "events=";
    const std::size_t at = body.find(Name);
    return at == std::string_view::npos ? 0 : leadingNumber(body.substr(at + Name.size()));
}

net::Response notExecuted(int status)
{
    net::Response response{.status = status};
    response.headers.add("Bergamotwinch-Not-Executed", "1");
    return response;
}

} // namespace

Engine::Engine(boost::asio::io_context &loop, platform::StoreStandin &store, EngineOptions options, EngineRuns &runs)
    : m_loop(loop)
    , m_store(store)
    , m_options(std::move(options))
    , m_runs(runs)
    , m_server(loop,
               [this](const std::shared_ptr<net::Exchange> &exchange) {
                   handle(exchange);
               })
    , m_beatTimer(loop)
    , m_restartTimer(loop)
    , m_loadTimer(loop)
    , m_versions(m_options.models)
{ }

bool Engine::listen()
{
    const bool listening = m_server.listen({"127.0.0.1", 0}).has_value();
    m_port = m_server.port();
    beat();
    return listening;
}

const std::string &Engine::id() const
{
    return m_options.id;
}

std::uint64_t Engine::version(const std::string &model) const
{
    return m_versions.at(model);
}

std::size_t Engine::running() const
{
    return m_streams.size();
}

const std::vector<TimePoint> &Engine::crashes() const
{
    return m_crashes;
}

std::string Engine::modelsJson() const
{
    std::string models;
    for (const auto &[model, version] : m_versions) {
        models += models.empty() ? "" : ",";
        models += R"({"name":")" + model + R"(","version":)" + std::to_string(version) + R"(,"adapters":[]})";
    }
    return "[" + models + "]";
}

void Engine::beat()
{
    if (m_down) {
        return;
    }
    m_store.put("keyed.servers",
                m_options.id,
                R"({"service":")" + m_options.service + R"(","address":"127.0.0.1:)" + std::to_string(m_port)
                    + R"(","zone":"a","version":"v1","slots":)" + std::to_string(m_options.slots)
                    + R"(,"state":"ready","born":)" + std::to_string(m_born)
                    + R"(,"cold_remaining_ms":0,"stage":"prefill_decode","models":)" + modelsJson() + R"(,"sequence":)"
                    + std::to_string(++m_sequence) + "}");
    m_beatTimer.expires_after(HeartbeatInterval);
    m_beatTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            beat();
        }
    });
}

void Engine::goDown()
{
    m_crashes.push_back(BootClock::now());
    m_down = true;
    m_loading.clear();
    m_orders = 0;
    m_loadTimer.cancel();
    for (const std::shared_ptr<Stream> &stream : std::vector(m_streams.begin(), m_streams.end())) {
        end(stream, false);
        stream->exchange->abort();
    }
    m_server.closeIdle();
    m_server.stopListening();
}

void Engine::crash()
{
    goDown();
    m_restartTimer.expires_after(m_options.downtime);
    m_restartTimer.async_wait([this](const boost::system::error_code &error) {
        if (error || !m_server.listen({"127.0.0.1", m_port})) {
            return;
        }
        m_down = false;
        m_born += 10000;
        m_sequence = 0;
        beat();
    });
}

void Engine::crashForGood()
{
    goDown();
    m_restartTimer.expires_after(SilentHeartbeats * HeartbeatInterval);
    m_restartTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            m_store.put("keyed.servers", m_options.id, "");
        }
    });
}

void Engine::handle(const std::shared_ptr<net::Exchange> &exchange)
{
    const net::Request &request = exchange->request();
    const std::string_view expected = request.headers.find("Bergamotwinch-Expected-Instance").value_or(m_options.id);
    if (expected != m_options.id) {
        exchange->respond(notExecuted(421));
    } else if (request.path() == "/bergamotwinch/report") {
        exchange->respond({.body = R"({"stage":"prefill_decode","models":)" + modelsJson() + R"(,"busy":)"
                               + (m_loading.empty() ? "false" : "true") + R"(,"sequence":)" + std::to_string(m_orders)
                               + R"(,"born":)" + std::to_string(m_born) + R"(,"running":)"
                               + std::to_string(m_streams.size()) + "}"});
    } else if (request.path() == "/bergamotwinch/order") {
        order(exchange);
    } else {
        run(exchange);
    }
}

void Engine::order(const std::shared_ptr<net::Exchange> &exchange)
{
    const rapidjson::Document json = platform::json::parse(exchange->request().body);
    const std::string model(platform::json::stringMember(json, "model").value_or(""));
    const std::uint64_t version = platform::json::wholeNumber(json, "version").value_or(0);
    const std::uint64_t expected = platform::json::wholeNumber(json, "expected").value_or(m_orders);
    if (!m_versions.contains(model)) {
        exchange->respond({.status = 400});
    } else if (!m_loading.empty() || expected != m_orders) {
        exchange->respond({.status = 409});
    } else if (m_versions[model] == version) {
        exchange->respond({.status = 200});
    } else {
        ++m_orders;
        m_loading = model;
        m_loadTimer.expires_after(m_options.loadTime);
        m_loadTimer.async_wait([this, model, version](const boost::system::error_code &error) {
            if (!error) {
                m_loading.clear();
                m_versions[model] = version;
                beat();
            }
        });
        exchange->respond({.status = 202});
    }
}

void Engine::run(const std::shared_ptr<net::Exchange> &exchange)
{
    const net::Request &request = exchange->request();
    const std::string model(request.headers.find("Bergamotwinch-Model").value_or(m_versions.begin()->first));
    const std::string_view expected = request.headers.find("Bergamotwinch-Expected-Version").value_or("");
    if (!expected.empty() && leadingNumber(expected) != m_versions[model]) {
        exchange->respond(notExecuted(421));
        return;
    }
    if (m_streams.size() >= m_options.slots || m_loading == model) {
        exchange->respond(notExecuted(503));
        return;
    }
    const auto stream = std::make_shared<Stream>();
    stream->exchange = exchange;
    stream->item = request.headers.find("Bergamotwinch-Attempt-Id").value_or("");
    stream->model = model;
    stream->version = m_versions[model];
    stream->next = leadingNumber(request.headers.find("Last-Event-Id").value_or("0")) + 1;
    stream->last = eventsOf(request.body);
    stream->timer = std::make_unique<boost::asio::steady_timer>(m_loop);
    std::vector<EngineRun> &runs = m_runs[stream->item];
    stream->run = runs.size();
    runs.push_back({.engine = m_options.id, .begin = BootClock::now()});
    m_streams.insert(stream);
    exchange->onCallerDisconnected([this, weak = std::weak_ptr(stream)] {
        if (const std::shared_ptr<Stream> left = weak.lock()) {
            end(left, false);
        }
    });
    net::ResponseHead head{.status = 200};
    head.headers.add("Content-Type", "text/event-stream");
    head.headers.add("Bergamotwinch-Attempt-Id", stream->item);
    head.headers.add("Bergamotwinch-Weight-Versions", std::to_string(stream->version));
    exchange->beginStream(head);
    if (m_options.trapsCrash && request.body.find("trap") != std::string::npos) {
        // The head is out; the process dies when the request is about to get its first token.
        stream->timer->expires_after(FirstTokenTime);
        stream->timer->async_wait([this, stream](const boost::system::error_code &error) {
            if (!error && m_streams.contains(stream)) {
                crash();
            }
        });
        return;
    }
    sendEvent(stream);
}

void Engine::sendEvent(const std::shared_ptr<Stream> &stream)
{
    if (stream->next > stream->last) {
        end(stream, true);
        stream->exchange->finish();
        return;
    }
    std::string event;
    if (stream->version != m_versions[stream->model]) {
        stream->version = m_versions[stream->model];
        event = "bergamotwinch-weight-versions: " + std::to_string(stream->version) + "\n";
    }
    event +=
        "id: " + std::to_string(stream->next) + "\ndata: " + stream->item + "." + std::to_string(stream->next) + "\n\n";
    stream->exchange->write(event);
    ++stream->next;
    stream->timer->expires_after(m_options.eventInterval);
    stream->timer->async_wait([this, stream](const boost::system::error_code &error) {
        if (!error && m_streams.contains(stream)) {
            sendEvent(stream);
        }
    });
}

void Engine::end(const std::shared_ptr<Stream> &stream, bool complete)
{
    if (m_streams.erase(stream) == 0) {
        return;
    }
    stream->timer->cancel();
    EngineRun &run = m_runs[stream->item][stream->run];
    run.end = BootClock::now();
    run.complete = complete;
}

} // namespace bergamot::review
