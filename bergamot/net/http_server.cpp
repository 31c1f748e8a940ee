#include "bergamot/net/http_server.h"

#include <sys/socket.h>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include "bergamot/net/internal/message_feed.h"
#include "bergamot/net/internal/response_text.h"
#include "bergamot/net/internal/socket_reader.h"
#include "bergamot/net/status.h"

namespace bergamot::net
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace status;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

constexpr int ListenBacklog = 1024; // connections of a burst after a restart queue here instead of being dropped
constexpr Duration SweepPeriod = std::chrono::milliseconds(500); // far below every timeout of a connection
constexpr Duration AcceptRetryDelay = std::chrono::milliseconds(50); // after running out of file descriptors
constexpr std::size_t ReadsPerTurn = 8; // reads of one connection before other work of the event loop gets its turn

} // namespace

class HttpServer::Connection final : public Exchange, public std::enable_shared_from_this<HttpServer::Connection>
{
public:
    Connection(HttpServer &server, tcp::socket socket)
        : m_server(server)
        , m_socket(std::move(socket))
    { }

    void readRequest()
    {
        m_stage = m_buffer.empty() ? Stage::Idle : Stage::ReadingHead;
        m_waitingSince = BootClock::now();
        m_parser.emplace();
        m_parser->header_limit(m_server.m_limits.headerBytes);
        m_parser->body_limit(m_server.m_limits.bodyBytes);
        m_parser->eager(true);
        m_feed.attach(*m_parser);
        readAll();
    }

    const Request &request() const override
    {
        return m_request;
    }

    std::string callerIp() const override
    {
        error_code error;
        const tcp::endpoint caller = m_socket.remote_endpoint(error);
        return error ? std::string() : caller.address().to_string();
    }

    TimePoint receivedAt() const override
    {
        return m_receivedAt;
    }

    void onCallerDisconnected(std::function<void()> handler) override
    {
        m_onCallerDisconnected = std::move(handler);
    }

    void respond(Response response) override
    {
        if (m_stage != Stage::Handling) {
            return;
        }
        if (m_streaming) {
            close(); // a second head would be read as part of the stream
            return;
        }
        m_closeAfter = m_closeAfter || m_server.m_draining;
        std::string head = internal::responseHead(response.status, response.headers, m_closeAfter);
        head += "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n";
        m_outgoing.push_back(std::move(head));
        if (!response.body.empty()) {
            m_outgoing.push_back(std::move(response.body));
        }
        endResponse();
    }

    void beginStream(const ResponseHead &head) override
    {
        if (m_stage != Stage::Handling) {
            return;
        }
        if (std::exchange(m_streaming, true)) {
            close();
            return;
        }
        m_closeAfter = m_closeAfter || m_server.m_draining;
        m_outgoing.push_back(internal::responseHead(head.status, head.headers, m_closeAfter)
                             + "Transfer-Encoding: chunked\r\n\r\n");
        flush();
    }

    void write(std::string_view data) override
    {
        if (m_stage == Stage::Handling && !data.empty()) {
            m_outgoing.push_back(internal::chunk(data));
            flush();
        }
    }

    void finish() override
    {
        if (m_stage == Stage::Handling) {
            m_outgoing.emplace_back("0\r\n\r\n");
            endResponse();
        }
    }

    void abort() override
    {
        close();
    }

    std::size_t queuedBytes() const override
    {
        std::size_t bytes = 0;
        for (const std::string &part : m_outgoing) {
            bytes += part.size();
        }
        return bytes;
    }

    void close()
    {
        if (m_stage == Stage::Closed) {
            return;
        }
        const bool pending = m_stage == Stage::Handling || m_stage == Stage::Responding;
        m_server.m_pending -= pending ? 1 : 0;
        m_stage = Stage::Closed;
        m_onCallerDisconnected = nullptr;
        error_code ignored; // a failure to close cannot be handled
        m_socket.close(ignored);
        m_server.m_connections.erase(shared_from_this());
    }

    bool idle() const
    {
        return m_stage == Stage::Idle;
    }

    void checkDeadlines(TimePoint now)
    {
        const ServerLimits &limits = m_server.m_limits;
        const Duration waited = now - m_waitingSince;
        const bool timedOut = (m_stage == Stage::Idle && waited > limits.idleTimeout)
            || (m_stage == Stage::ReadingHead && waited > limits.requestTimeout)
            || (m_stage == Stage::ReadingBody && waited > limits.bodyGapTimeout)
            || (m_stage == Stage::Lingering && waited > limits.lingerTimeout)
            || (!m_writing.empty() && now - m_writingSince > limits.writeTimeout);
        if (timedOut) {
            closeAndNotify();
        }
    }

private:
    enum class Stage {
        Idle,
        ReadingHead,
        ReadingBody,
        Handling, // the handler has the request
        Responding, // the response is complete, but not all of it is sent
        Lingering, // the response is sent, but not all of the request has arrived; the rest is discarded
        Closed,
    };

    void awaitData()
    {
        if (std::exchange(m_readDue, true)) {
            return;
        }
        m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code &error) {
            self->m_readDue = false;
            if (self->m_stage != Stage::Closed && !error) {
                self->readAll();
            }
        });
    }

    /// Reads on after the other work of the event loop.
    void continueReading()
    {
        if (std::exchange(m_readDue, true)) {
            return;
        }
        asio::post(m_server.m_loop, [self = shared_from_this()] {
            self->m_readDue = false;
            self->readAll();
        });
    }

    void readAll()
    {
        for (std::size_t reads = 0; reading(); ++reads) {
            if (!parse()) {
                return;
            }
            if (reads == ReadsPerTurn) {
                continueReading();
                return;
            }
            error_code error;
            const bool more = internal::readAvailable(m_socket, m_buffer, error);
            if (error) {
                close();
                return;
            }
            if (!more) {
                awaitData();
                return;
            }
        }
    }

    bool reading() const
    {
        return m_stage == Stage::Idle || m_stage == Stage::ReadingHead || m_stage == Stage::ReadingBody
            || m_stage == Stage::Lingering;
    }

    /// Returns false if no more of the request is to be read.
    bool parse()
    {
        if (m_stage == Stage::Lingering) {
            m_buffer.clear();
            return true;
        }
        if (m_stage == Stage::Idle && !m_buffer.empty()) {
            m_stage = Stage::ReadingHead;
            m_waitingSince = BootClock::now();
        }
        error_code error;
        m_feed.put(*m_parser, m_buffer, error);
        if (error) {
            rejectRequest(error);
            return false;
        }
        if (m_parser->is_done()) {
            handleRequest();
            return false;
        }
        if (m_buffer.size() > m_server.m_limits.headerBytes) { // a chunk header or the trailers
            refuse(HeaderFieldsTooLarge);
            return false;
        }
        if (m_parser->is_header_done()) {
            m_waitingSince = BootClock::now();
            if (m_stage != Stage::ReadingBody && expectsContinue()) {
                m_outgoing.emplace_back("HTTP/1.1 100 Continue\r\n\r\n");
                flush();
            }
            m_stage = Stage::ReadingBody;
        }
        return true;
    }

    bool expectsContinue() const
    {
        const auto value = m_parser->get()[http::field::expect];
        return boost::beast::iequals(value, "100-continue");
    }

    void rejectRequest(const error_code &error)
    {
        int status = 0;
        if (error == http::error::header_limit) {
            status = HeaderFieldsTooLarge;
        } else if (error == http::error::body_limit) {
            status = PayloadTooLarge;
        } else if (error.category() == make_error_code(http::error::bad_method).category()
                   && error != http::error::end_of_stream && error != http::error::partial_message) {
            status = BadRequest;
        }
        if (status == 0) {
            close();
            return;
        }
        refuse(status);
    }

    /// Responds to a request that has not been read completely, and reads no more of it.
    void refuse(int status)
    {
        m_parser.reset();
        m_buffer = {};
        m_closeAfter = true;
        m_lingers = true;
        m_stage = Stage::Handling;
        ++m_server.m_pending;
        respond({.status = status});
    }

    void handleRequest()
    {
        auto &message = m_parser->get();
        m_request = {};
        m_request.method.assign(message.method_string().data(), message.method_string().size());
        m_request.target.assign(message.target().data(), message.target().size());
        for (const auto &field : message) {
            m_request.headers.add({field.name_string().data(), field.name_string().size()},
                                  {field.value().data(), field.value().size()});
        }
        m_request.body = std::move(message.body());
        m_closeAfter = !m_parser->keep_alive();
        m_parser.reset();
        m_stage = Stage::Handling;
        m_receivedAt = BootClock::now();
        ++m_server.m_pending;
        watchForDisconnect();
        m_server.m_handler(shared_from_this());
    }

    /// Detects a caller that disconnects while its response is pending. Data of a next request ends the detection.
    void watchForDisconnect()
    {
        if (m_watchingForDisconnect) {
            return;
        }
        m_watchingForDisconnect = true;
        m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code &error) {
            self->m_watchingForDisconnect = false;
            const bool pending = self->m_stage == Stage::Handling || self->m_stage == Stage::Responding;
            if (error || !pending) {
                return;
            }
            char byte = 0;
            const ssize_t got = ::recv(self->m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            if (got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR)) {
                self->closeAndNotify();
            }
        });
    }

    void closeAndNotify()
    {
        const std::function<void()> handler = std::exchange(m_onCallerDisconnected, nullptr);
        close();
        if (handler) {
            handler();
        }
    }

    void endResponse()
    {
        m_stage = Stage::Responding;
        m_streaming = false;
        m_onCallerDisconnected = nullptr;
        flush();
    }

    void flush()
    {
        if (!m_writing.empty()) {
            return;
        }
        if (m_outgoing.empty()) {
            if (m_stage == Stage::Responding) {
                responseSent();
            }
            return;
        }
        m_writing.swap(m_outgoing);
        m_writingSince = BootClock::now();
        std::vector<asio::const_buffer> buffers;
        buffers.reserve(m_writing.size());
        for (const std::string &part : m_writing) {
            buffers.emplace_back(part.data(), part.size());
        }
        asio::async_write(m_socket, buffers, [self = shared_from_this()](const error_code &error, size_t) {
            self->m_writing.clear();
            if (self->m_stage == Stage::Closed) {
                return;
            }
            if (error) {
                self->closeAndNotify();
                return;
            }
            self->flush();
        });
    }

    void responseSent()
    {
        --m_server.m_pending;
        m_stage = Stage::Idle;
        m_request = {};
        if (m_closeAfter) {
            error_code ignored; // the peer may have closed first
            m_socket.shutdown(tcp::socket::shutdown_send, ignored);
            if (m_lingers) {
                linger();
                return;
            }
            close();
            return;
        }
        readRequest();
    }

    /// Discards what still arrives: a connection that is closed with unread bytes is reset, and the reset may overtake the
    /// response.
    void linger()
    {
        m_stage = Stage::Lingering;
        m_waitingSince = BootClock::now();
        readAll();
    }

    HttpServer &m_server;
    tcp::socket m_socket;
    std::string m_buffer; // received, not parsed yet
    internal::MessageFeed m_feed;
    std::optional<http::request_parser<http::string_body>> m_parser;
    Request m_request;
    TimePoint m_receivedAt{};
    TimePoint m_waitingSince{};
    TimePoint m_writingSince{};
    std::function<void()> m_onCallerDisconnected;
    std::vector<std::string> m_outgoing;
    std::vector<std::string> m_writing;
    Stage m_stage = Stage::Idle;
    bool m_closeAfter = false;
    bool m_lingers = false; // the response was sent before the request had ended
    bool m_streaming = false; // the response to the current request has begun as a stream
    bool m_watchingForDisconnect = false;
    bool m_readDue = false; // a callback that reads is scheduled
};

HttpServer::HttpServer(asio::io_context &loop, Handler handler)
    : m_loop(loop)
    , m_handler(std::move(handler))
    , m_acceptor(loop)
    , m_acceptRetryTimer(loop)
    , m_sweepTimer(loop)
{ }

HttpServer::~HttpServer() = default;

Result<void> HttpServer::listen(const Address &address)
{
    error_code error;
    const tcp::endpoint endpoint(asio::ip::make_address(address.ip, error), address.port);
    const auto attempt = [&error](const auto &step) {
        if (!error) {
            step();
        }
    };
    attempt([&] {
        m_acceptor.open(endpoint.protocol(), error);
    });
    attempt([&] {
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    });
    attempt([&] {
        m_acceptor.bind(endpoint, error);
    });
    attempt([&] {
        m_acceptor.listen(ListenBacklog, error);
    });
    if (error) {
        return failure(ErrorCode::Unavailable, "cannot listen on " + toString(address) + ": " + error.message());
    }
    accept();
    scheduleSweep();
    return {};
}

std::uint16_t HttpServer::port() const
{
    error_code ignored; // a closed acceptor has no port
    return m_acceptor.local_endpoint(ignored).port();
}

void HttpServer::setLimits(const ServerLimits &limits)
{
    m_limits = limits;
}

void HttpServer::drain()
{
    m_draining = true;
}

void HttpServer::closeIdle()
{
    const std::vector<std::shared_ptr<Connection>> connections(m_connections.begin(), m_connections.end());
    for (const std::shared_ptr<Connection> &connection : connections) {
        if (connection->idle()) {
            connection->close();
        }
    }
}

void HttpServer::answerPending(const Response &response)
{
    drain(); // else a later response of an exchange would answer the next request on its connection
    const std::vector<std::shared_ptr<Connection>> connections(m_connections.begin(), m_connections.end());
    for (const std::shared_ptr<Connection> &connection : connections) {
        connection->respond(response); // no effect without a request; ends a stream that has begun
    }
}

void HttpServer::stopListening()
{
    error_code ignored; // a failure to close cannot be handled
    m_acceptor.close(ignored);
    m_acceptRetryTimer.cancel();
}

std::size_t HttpServer::connections() const
{
    return m_connections.size();
}

std::size_t HttpServer::pending() const
{
    return m_pending;
}

void HttpServer::accept()
{
    m_acceptor.async_accept([this](const error_code &error, tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (error) {
            m_acceptRetryTimer.expires_after(AcceptRetryDelay);
            m_acceptRetryTimer.async_wait([this](const error_code &cancelled) {
                if (!cancelled) {
                    accept();
                }
            });
            return;
        }
        error_code ignored; // without no_delay small packets may be delayed, nothing else
        socket.set_option(tcp::no_delay(true), ignored);
        socket.non_blocking(true, ignored);
        auto connection = std::make_shared<Connection>(*this, std::move(socket));
        m_connections.insert(connection);
        connection->readRequest();
        scheduleSweep();
        accept();
    });
}

void HttpServer::scheduleSweep()
{
    if (m_sweepScheduled || m_connections.empty()) {
        return;
    }
    m_sweepScheduled = true;
    m_sweepTimer.expires_after(SweepPeriod);
    m_sweepTimer.async_wait([this](const error_code &error) {
        m_sweepScheduled = false;
        if (!error) {
            sweep();
        }
    });
}

void HttpServer::sweep()
{
    const TimePoint now = BootClock::now();
    const std::vector<std::shared_ptr<Connection>> connections(m_connections.begin(), m_connections.end());
    for (const std::shared_ptr<Connection> &connection : connections) {
        connection->checkDeadlines(now);
    }
    scheduleSweep();
}

} // namespace bergamot::net
