#include "bergamot/net/http_server.h"

#include <deque>

#include <sys/socket.h>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include "bergamot/net/connection_choice.h"
#include "bergamot/net/internal/message_feed.h"
#include "bergamot/net/internal/request_body.h"
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
constexpr std::size_t PartialHeadFactor = 24; // memory of the parser for each byte of a head of the shortest fields
// Of the system, for one connection. What waits behind a request that is handled counts as held by the process, while a
// large body needs a large buffer to arrive fast.
constexpr std::size_t SmallReceiveBuffer = std::size_t{16} * 1024;
constexpr std::size_t LargeReceiveBuffer = std::size_t{1024} * 1024;
constexpr std::size_t WriteBytes = std::size_t{128} * 1024; // in one write, whose progress shows whether the peer reads

/// Text that was put together piece by piece may keep twice its size.
void releaseCapacity(std::string &text)
{
    if (text.capacity() - text.size() > MemoryAccount::SmallBytes) {
        text.shrink_to_fit();
    }
}

} // namespace

class HttpServer::Connection final : public Exchange,
                                     public MemoryHolder,
                                     public std::enable_shared_from_this<HttpServer::Connection>
{
public:
    Connection(HttpServer &server, tcp::socket socket)
        : m_server(server)
        , m_socket(std::move(socket))
    {
        m_server.m_account->add(*this);
    }

    void start()
    {
        setReceiveBuffer(SmallReceiveBuffer);
        readRequest();
    }

    void readRequest()
    {
        if (m_buffer.empty()) {
            m_buffer = {}; // an idle connection keeps no capacity
        }
        m_stage = m_buffer.empty() ? Stage::Idle : Stage::ReadingHead;
        m_progressAt = BootClock::now();
        m_unreadBytes = 0;
        m_headBytes = 0;
        m_heldBytes = 0;
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

    std::string takeBody() override
    {
        return std::exchange(m_request.body, {});
    }

    bool mayHold(std::size_t bytes) const override
    {
        return m_server.m_account->hasRoomFor(bytes);
    }

    void hold(std::size_t bytes) override
    {
        m_heldBytes = bytes;
        updateHolding();
        m_server.scheduleRelief();
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
        enqueue(std::move(head));
        if (!response.body.empty()) {
            enqueue(std::move(response.body));
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
        enqueue(internal::responseHead(head.status, head.headers, m_closeAfter) + "Transfer-Encoding: chunked\r\n\r\n");
        flush();
    }

    void write(std::string_view data) override
    {
        if (m_stage == Stage::Handling && !data.empty()) {
            enqueue(internal::chunk(data));
            flush();
        }
    }

    void finish() override
    {
        if (m_stage == Stage::Handling) {
            enqueue("0\r\n\r\n");
            endResponse();
        }
    }

    void abort() override
    {
        close();
    }

    std::size_t queuedBytes() const override
    {
        return m_outgoingBytes - m_writingBytes;
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
        m_parser.reset();
        m_request = {};
        m_server.m_account->remove(*this);
        error_code ignored; // a failure to close cannot be handled
        m_socket.close(ignored);
        m_server.m_connections.erase(shared_from_this());
    }

    void giveWay() override
    {
        const std::shared_ptr<Connection> self = shared_from_this();
        if (m_stage == Stage::ReadingHead || m_stage == Stage::ReadingBody) {
            reportRelease(ReleaseReason::RefusedForMemory);
            refuse(m_server.m_overloadResponse);
        } else {
            reportRelease(ReleaseReason::ClosedForMemory);
            closeAndNotify();
        }
    }

    /// Closes the connection because there are too many.
    void closeForRoom()
    {
        reportRelease(ReleaseReason::ClosedForConnections);
        closeAndNotify();
    }

    bool idle() const
    {
        return m_stage == Stage::Idle;
    }

    ConnectionState state() const
    {
        constexpr std::array<ConnectionUse, 7> Uses{ConnectionUse::Idle,
                                                    ConnectionUse::Receiving,
                                                    ConnectionUse::Receiving,
                                                    ConnectionUse::Handling,
                                                    ConnectionUse::Sending,
                                                    ConnectionUse::Lingering,
                                                    ConnectionUse::Lingering};
        return {.use = Uses.at(static_cast<std::size_t>(m_stage)),
                .progressAt = m_stage == Stage::Responding ? m_writingSince : m_progressAt};
    }

    void checkDeadlines(TimePoint now)
    {
        const ServerLimits &limits = m_server.m_limits;
        const Duration waited = now - m_progressAt;
        const bool timedOut = (m_stage == Stage::Idle && waited > limits.idleTimeout)
            || (m_stage == Stage::ReadingHead && waited > limits.requestTimeout)
            || (m_stage == Stage::ReadingBody && waited > limits.bodyGapTimeout)
            || (m_stage == Stage::Lingering && waited > limits.lingerTimeout)
            || (m_writingBytes > 0 && now - m_writingSince > limits.writeTimeout);
        if (timedOut) {
            closeAndNotify();
        } else if (m_stage == Stage::Handling || m_stage == Stage::Responding) {
            measureUnread();
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
        const std::shared_ptr<Connection> self = shared_from_this();
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
            m_progressAt = BootClock::now();
        }
        error_code error;
        const std::size_t before = m_buffer.size();
        m_feed.put(*m_parser, m_buffer, error);
        if (error) {
            rejectRequest(error);
            return false;
        }
        if (!m_parser->is_header_done()) {
            m_headBytes += PartialHeadFactor * (before - m_buffer.size());
        } else if (m_stage != Stage::ReadingBody) {
            m_headBytes = headBytes();
        }
        if (m_parser->is_header_done()) {
            m_progressAt = BootClock::now();
        }
        if (!m_parser->is_done() && m_buffer.size() > m_server.m_limits.headerBytes) { // a chunk header or the trailers
            rejectOversized(HeaderFieldsTooLarge);
            return false;
        }
        updateHolding();
        m_server.relieve();
        if (!reading()) {
            return false; // this connection gave way
        }
        if (m_parser->is_done()) {
            handleRequest();
            return false;
        }
        if (m_parser->is_header_done() && m_stage != Stage::ReadingBody) {
            m_stage = Stage::ReadingBody;
            return beginBody();
        }
        return true;
    }

    /// Refuses a body that can never be held; asks for it if the caller waits for that. Returns false if it is refused.
    bool beginBody()
    {
        if (m_parser->content_length().value_or(0) > m_server.m_account->maxLargeBytes()) {
            reportRelease(ReleaseReason::RefusedForMemory);
            refuse(m_server.m_overloadResponse);
            return false;
        }
        if (m_parser->content_length_remaining().value_or(LargeReceiveBuffer) > SmallReceiveBuffer) {
            setReceiveBuffer(LargeReceiveBuffer);
            m_receivesLargeBody = true;
        }
        if (expectsContinue()) {
            enqueue("HTTP/1.1 100 Continue\r\n\r\n");
            flush();
        }
        return true;
    }

    bool expectsContinue() const
    {
        const auto value = m_parser->get()[http::field::expect];
        return boost::beast::iequals(value, "100-continue");
    }

    /// What the parsed head takes, with the copies that are made of it while the request is handled.
    std::size_t headBytes() const
    {
        constexpr std::size_t Copies = 3;
        const auto &message = m_parser->get();
        std::size_t bytes = message.target().size();
        for (const auto &field : message) {
            bytes += sizeof(HeaderField) + field.name_string().size() + field.value().size();
        }
        return Copies * bytes;
    }

    void rejectRequest(const error_code &error)
    {
        if (error == http::error::header_limit) {
            rejectOversized(HeaderFieldsTooLarge);
        } else if (error == http::error::body_limit) {
            rejectOversized(PayloadTooLarge);
        } else if (error.category() == make_error_code(http::error::bad_method).category()
                   && error != http::error::end_of_stream && error != http::error::partial_message) {
            refuse({.status = BadRequest});
        } else {
            close();
        }
    }

    void rejectOversized(int status)
    {
        reportRelease(ReleaseReason::Oversized);
        refuse({.status = status});
    }

    /// Responds to a request that has not been read completely, and reads no more of it.
    void refuse(Response response)
    {
        m_parser.reset();
        m_buffer = {};
        m_headBytes = 0;
        m_closeAfter = true;
        m_lingers = true;
        m_stage = Stage::Handling;
        ++m_server.m_pending;
        respond(std::move(response));
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
        releaseCapacity(m_request.body);
        m_heldBytes = m_request.body.size();
        m_closeAfter = !m_parser->keep_alive();
        m_parser.reset();
        m_stage = Stage::Handling;
        m_receivedAt = BootClock::now();
        ++m_server.m_pending;
        if (std::exchange(m_receivesLargeBody, false)) {
            setReceiveBuffer(SmallReceiveBuffer);
        }
        updateHolding();
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
            } else {
                self->measureUnread();
            }
        });
    }

    /// Bounds what the system receives before it is read.
    void setReceiveBuffer(std::size_t bytes)
    {
        error_code ignored; // the usual size holds more, nothing else
        m_socket.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(bytes)), ignored);
    }

    /// Counts what the system has received of later requests.
    void measureUnread()
    {
        error_code ignored; // a connection that has failed is found by the next read or write
        m_unreadBytes = m_socket.available(ignored);
        updateHolding();
        m_server.scheduleRelief();
    }

    void updateHolding()
    {
        constexpr std::size_t OwnBytes = 4096; // of the connection itself and its socket
        const std::size_t bodyBytes = m_parser ? m_parser->get().body().size() : 0;
        const bool sends = m_stage == Stage::Responding || m_outgoingBytes + m_sentOfFirst > MemoryAccount::SmallBytes;
        const bool handles = m_stage == Stage::Handling && !sends;
        m_server.m_account->update(*this,
                                   {.bytes = OwnBytes + m_buffer.capacity() + m_headBytes + bodyBytes + m_heldBytes
                                        + m_outgoingBytes + m_sentOfFirst + m_unreadBytes,
                                    .stage = handles ? HoldingStage::Handling
                                        : sends      ? HoldingStage::Sending
                                                     : HoldingStage::Receiving,
                                    .pipelines = m_unreadBytes > m_server.m_limits.headerBytes,
                                    .progressAt = sends ? m_writingSince : m_progressAt});
    }

    void reportRelease(ReleaseReason reason)
    {
        if (m_server.m_releaseHandler) {
            const std::size_t bodyBytes = m_parser ? m_parser->get().body().size() : 0;
            m_server.m_releaseHandler(
                {.reason = reason,
                 .bytes = m_buffer.size() + m_headBytes + bodyBytes + m_heldBytes + m_outgoingBytes + m_unreadBytes,
                 .sinceProgress = BootClock::now() - state().progressAt});
        }
    }

    void closeAndNotify()
    {
        const std::function<void()> handler = std::exchange(m_onCallerDisconnected, nullptr);
        close();
        if (handler) {
            handler();
        }
    }

    void enqueue(std::string part)
    {
        releaseCapacity(part);
        m_outgoingBytes += part.size();
        m_outgoing.push_back(std::move(part));
    }

    void endResponse()
    {
        m_stage = Stage::Responding;
        m_streaming = false;
        m_onCallerDisconnected = nullptr;
        m_request = {};
        m_headBytes = 0;
        m_heldBytes = 0;
        flush();
    }

    void flush()
    {
        if (m_writingBytes > 0) {
            updateHolding();
            m_server.scheduleRelief();
            return;
        }
        if (m_outgoing.empty()) {
            if (m_stage == Stage::Responding) {
                responseSent();
            }
            return;
        }
        std::vector<asio::const_buffer> buffers;
        for (const std::string &part : m_outgoing) {
            const std::size_t begin = buffers.empty() ? m_sentOfFirst : 0;
            const std::size_t bytes = std::min(part.size() - begin, WriteBytes - m_writingBytes);
            buffers.emplace_back(part.data() + begin, bytes);
            m_writingBytes += bytes;
            if (m_writingBytes == WriteBytes) {
                break;
            }
        }
        m_writingSince = BootClock::now();
        updateHolding();
        m_server.scheduleRelief();
        asio::async_write(m_socket, buffers, [self = shared_from_this()](const error_code &error, size_t) {
            self->removeWritten();
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

    void removeWritten()
    {
        m_outgoingBytes -= m_writingBytes;
        std::size_t written = m_sentOfFirst + std::exchange(m_writingBytes, 0);
        while (!m_outgoing.empty() && written >= m_outgoing.front().size()) {
            written -= m_outgoing.front().size();
            m_outgoing.pop_front();
        }
        m_sentOfFirst = written;
    }

    void responseSent()
    {
        --m_server.m_pending;
        if (m_closeAfter) {
            error_code ignored; // the peer may have closed first
            m_socket.shutdown(tcp::socket::shutdown_send, ignored);
            if (m_lingers) {
                linger();
                return;
            }
            m_stage = Stage::Lingering; // no response is pending any more
            close();
            return;
        }
        readRequest();
    }

    /// Discards what still arrives: a connection that is closed with unread bytes is reset, and the reset may overtake
    /// the response.
    void linger()
    {
        m_stage = Stage::Lingering;
        m_progressAt = BootClock::now();
        updateHolding();
        readAll();
    }

    HttpServer &m_server;
    tcp::socket m_socket;
    std::string m_buffer; // received, not parsed yet
    internal::MessageFeed m_feed;
    std::optional<http::request_parser<internal::RequestBody>> m_parser;
    Request m_request;
    TimePoint m_receivedAt{};
    TimePoint m_progressAt{}; // of what the caller sends
    TimePoint m_writingSince{};
    std::function<void()> m_onCallerDisconnected;
    std::deque<std::string> m_outgoing;
    std::size_t m_sentOfFirst = 0; // bytes of the first part of `m_outgoing`, which is kept until all of it is sent
    std::size_t m_outgoingBytes = 0; // not sent yet
    std::size_t m_writingBytes = 0; // of these, in the write that is in progress; 0: none is
    std::size_t m_headBytes = 0; // that the head takes
    std::size_t m_heldBytes = 0; // that the handler keeps for the request
    std::size_t m_unreadBytes = 0; // that the system has received behind the request
    Stage m_stage = Stage::Idle;
    bool m_closeAfter = false;
    bool m_lingers = false; // the response was sent before the request had ended
    bool m_streaming = false; // the response to the current request has begun as a stream
    bool m_watchingForDisconnect = false;
    bool m_readDue = false; // a callback that reads is scheduled
    bool m_receivesLargeBody = false; // the receive buffer is large
};

HttpServer::HttpServer(asio::io_context &loop, Handler handler, MemoryAccount *account)
    : m_loop(loop)
    , m_handler(std::move(handler))
    , m_account(account == nullptr ? &m_ownAccount : account)
    , m_acceptor(loop)
    , m_acceptRetryTimer(loop)
    , m_sweepTimer(loop)
{ }

HttpServer::~HttpServer()
{
    const std::vector<std::shared_ptr<Connection>> connections(m_connections.begin(), m_connections.end());
    for (const std::shared_ptr<Connection> &connection : connections) {
        connection->close(); // callbacks that are still queued find it closed
    }
}

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

void HttpServer::setOverloadResponse(Response response)
{
    m_overloadResponse = std::move(response);
}

void HttpServer::onRelease(std::function<void(const Release &)> handler)
{
    m_releaseHandler = std::move(handler);
}

void HttpServer::relieve()
{
    while (MemoryHolder *holder = m_account->overdrawn()) {
        holder->giveWay();
    }
}

void HttpServer::scheduleRelief()
{
    if (m_reliefScheduled || m_account->overdrawn() == nullptr) {
        return;
    }
    m_reliefScheduled = true;
    asio::post(m_loop, [this, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired()) {
            m_reliefScheduled = false;
            relieve();
        }
    });
}

bool HttpServer::makeRoom()
{
    if (m_connections.size() < m_limits.maxConnections) {
        return true;
    }
    const std::vector<std::shared_ptr<Connection>> connections(m_connections.begin(), m_connections.end());
    std::vector<ConnectionState> states;
    states.reserve(connections.size());
    for (const std::shared_ptr<Connection> &connection : connections) {
        states.push_back(connection->state());
    }
    const std::optional<std::size_t> chosen = connectionToClose(states, BootClock::now());
    if (chosen) {
        connections[*chosen]->closeForRoom();
    }
    return chosen.has_value();
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
        if (!makeRoom()) {
            if (m_releaseHandler) {
                m_releaseHandler({.reason = ReleaseReason::RejectedConnection});
            }
            error_code ignored; // a failure to close cannot be handled
            socket.close(ignored);
            accept();
            return;
        }
        error_code ignored; // without no_delay small packets may be delayed, nothing else
        socket.set_option(tcp::no_delay(true), ignored);
        socket.non_blocking(true, ignored);
        auto connection = std::make_shared<Connection>(*this, std::move(socket));
        m_connections.insert(connection);
        connection->start();
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
