#include "faulty_engine.h"

#include <boost/asio/write.hpp>

namespace review
{

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace
{

constexpr Duration BeatInterval = std::chrono::milliseconds(1200);
constexpr int Events = 4; // of each text

std::string valueOf(const std::string &head, const std::string &name)
{
    const std::size_t at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t from = at + name.size() + 4;
    return head.substr(from, head.find("\r\n", from) - from);
}

std::string withLength(const std::string &head, const std::string &body)
{
    return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

struct FaultyEngine::Connection
{
    tcp::socket socket;
    boost::asio::steady_timer timer;
    std::string received;
    bool busy = false;
};

FaultyEngine::FaultyEngine(boost::asio::io_context &loop, Store &store, Record &record, FaultyEngineOptions options)
    : m_loop(loop)
    , m_store(store)
    , m_record(record)
    , m_options(std::move(options))
    , m_acceptor(loop)
    , m_beatTimer(loop)
    , m_restartTimer(loop)
{ }

bool FaultyEngine::listen()
{
    const bool listening = open();
    beat();
    return listening;
}

bool FaultyEngine::open()
{
    error_code error;
    const auto attempt = [&error](const auto &step) {
        if (!error) {
            step();
        }
    };
    attempt([&] {
        m_acceptor.open(m_endpoint.protocol(), error);
    });
    attempt([&] {
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    });
    attempt([&] {
        m_acceptor.bind(m_endpoint, error);
    });
    attempt([&] {
        m_acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    });
    if (error) {
        return false;
    }
    m_endpoint = m_acceptor.local_endpoint();
    accept();
    return true;
}

void FaultyEngine::crash()
{
    error_code ignored; // a failure to close cannot be handled
    m_acceptor.close(ignored);
    m_beatTimer.cancel();
    for (const std::weak_ptr<Connection> &known : std::exchange(m_connections, {})) {
        if (const std::shared_ptr<Connection> connection = known.lock()) {
            connection->timer.cancel();
            connection->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
            connection->socket.close(ignored);
        }
    }
    m_restartTimer.expires_after(m_options.downtime);
    m_restartTimer.async_wait([this](const error_code &error) {
        if (!error && open()) {
            ++m_born;
            m_beats = 0;
            beat();
        }
    });
}

void FaultyEngine::beat()
{
    m_store.put("keyed.servers",
                m_options.id,
                R"({"service":")" + m_options.service + R"(","address":"127.0.0.1:)" + std::to_string(m_endpoint.port())
                    + R"(","zone":"a","version":"v1","slots":4,"state":"ready","cold_remaining_ms":0,)"
                    + R"("stage":"prefill_decode","models":[{"name":")" + m_options.model
                    + R"(","version":1,"adapters":[]}],"born":)" + std::to_string(m_born) + R"(,"sequence":)"
                    + std::to_string(++m_beats) + "}");
    m_beatTimer.expires_after(BeatInterval);
    m_beatTimer.async_wait([this](const error_code &error) {
        if (!error) {
            beat();
        }
    });
}

void FaultyEngine::accept()
{
    m_acceptor.async_accept([this](const error_code &error, tcp::socket socket) {
        if (error) {
            return;
        }
        error_code ignored; // without no_delay small packets may be delayed, nothing else
        socket.set_option(tcp::no_delay(true), ignored);
        const auto connection = std::make_shared<Connection>(
            Connection{.socket = std::move(socket), .timer = boost::asio::steady_timer(m_loop)});
        m_connections.push_back(connection);
        read(connection);
        accept();
    });
}

void FaultyEngine::read(const std::shared_ptr<Connection> &connection)
{
    connection->socket.async_wait(tcp::socket::wait_read, [this, connection](const error_code &error) {
        std::array<char, 16384> bytes{};
        error_code failed = error;
        const std::size_t got =
            failed ? 0 : connection->socket.read_some(boost::asio::buffer(bytes.data(), bytes.size()), failed);
        if (failed) {
            error_code ignored; // a failure to close cannot be handled
            connection->timer.cancel();
            connection->socket.close(ignored);
            return;
        }
        connection->received.append(bytes.data(), got);
        serveNext(connection);
        read(connection);
    });
}

void FaultyEngine::serveNext(const std::shared_ptr<Connection> &connection)
{
    const std::size_t headEnd = connection->received.find("\r\n\r\n");
    if (connection->busy || headEnd == std::string::npos) {
        return;
    }
    const std::string head = connection->received.substr(0, headEnd + 2);
    const std::string length = valueOf(head, "Content-Length");
    const std::size_t total = headEnd + 4 + (length.empty() ? 0 : std::stoul(length));
    if (connection->received.size() < total) {
        return;
    }
    connection->received.erase(0, total);
    if (head.find(" /bergamotwinch/report ") != std::string::npos) {
        write(connection,
              withLength("HTTP/1.1 200 OK\r\n",
                         R"({"stage":"prefill_decode","models":[{"name":")" + m_options.model
                             + R"(","version":1,"adapters":[]}],"busy":false,"born":1,"sequence":0})"));
        serveNext(connection);
        return;
    }
    const std::string id = valueOf(head, "Bergamotwinch-Attempt-Id");
    connection->busy = true;
    ++m_answers[id].runs;
    m_record.write("engine " + m_options.id + ": begins run " + std::to_string(m_answers[id].runs) + " of " + id);
    if (id == m_options.crashingItem) {
        m_answers[id].crashes.push_back(m_record.now());
        m_record.write("engine " + m_options.id + ": crashes under " + id);
        crash();
        return;
    }
    connection->timer.expires_after(m_options.runTime);
    connection->timer.async_wait([this, connection, id](const error_code &error) {
        if (!error) {
            answerRun(connection, id);
        }
    });
}

void FaultyEngine::answerRun(const std::shared_ptr<Connection> &connection, const std::string &id)
{
    connection->busy = false;
    SeenAnswers &seen = m_answers[id];
    const std::string fields = "Bergamotwinch-Attempt-Id: " + id + "\r\nBergamotwinch-Server-Stamp: " + m_options.id
        + "." + id + "\r\nBergamotwinch-Weight-Versions: 1\r\n";
    if (id == m_options.failingItem && seen.failures < m_options.failures) {
        ++seen.failures;
        const std::string answer = withLength("HTTP/1.1 500 Internal Server Error\r\n" + fields, "failed");
        m_record.write("engine " + m_options.id + ": answers " + id + " with 500");
        write(connection, answer);
        if (m_options.extraAnswer && !std::exchange(m_extraSent, true)) {
            const auto timer = std::make_shared<boost::asio::steady_timer>(m_loop, m_options.extraDelay);
            timer->async_wait([this, connection, answer, id, timer](const error_code &) {
                m_record.write("engine " + m_options.id + ": sends that answer to " + id
                               + " once more on its connection");
                write(connection, answer);
            });
        }
    } else {
        ++seen.completed;
        std::string text;
        for (int event = 1; event <= Events; ++event) {
            text += "id: " + std::to_string(event) + "\ndata: " + id + "." + std::to_string(event) + "\n\n";
        }
        m_record.write("engine " + m_options.id + ": answers " + id + " with its text");
        write(connection, withLength("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + fields, text));
    }
    serveNext(connection);
}

void FaultyEngine::write(const std::shared_ptr<Connection> &connection, const std::string &bytes)
{
    error_code ignored; // the peer may have closed the connection
    boost::asio::write(connection->socket, boost::asio::buffer(bytes), ignored);
}

} // namespace review
