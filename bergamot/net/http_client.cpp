#include "bergamot/net/http_client.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <numeric>

#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include "bergamot/net/internal/event_meter.h"
#include "bergamot/net/internal/message_feed.h"
#include "bergamot/net/internal/piece_body.h"
#include "bergamot/net/internal/socket_reader.h"

namespace bergamot::net
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

constexpr Duration KeepAliveMargin = std::chrono::milliseconds(500); // the peer's idle timer starts earlier
constexpr std::size_t ReadsPerTurn = 8; // reads of one connection before other work of the event loop gets its turn
constexpr int FirstStatus = 100;
constexpr int FirstFinalStatus = 200; // a lower one belongs to an interim response
constexpr int LastStatus = 599;
constexpr int SwitchingProtocols = 101;

const std::string &bodyOf(const ClientRequest &request)
{
    return request.sharedBody == nullptr ? request.body : *request.sharedBody;
}

std::string serializedHead(const ClientRequest &request)
{
    std::string head = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const HeaderField &field : request.headers.all()) {
        head += field.name + ": " + field.value + "\r\n";
    }
    const std::string &body = bodyOf(request);
    if (!body.empty() || request.method != "GET") {
        head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return head + "\r\n";
}

/// Two ids with the same hash only keep a request from a connection that it could use.
std::uint32_t shortHash(const std::string &id)
{
    return static_cast<std::uint32_t>(std::hash<std::string>()(id));
}

std::optional<Duration> keepAliveTime(const HeaderFields &headers)
{
    const std::string_view value = headers.find("Keep-Alive").value_or(std::string_view());
    const std::size_t found = value.find("timeout=");
    if (found == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view digits = value.substr(found + std::string_view("timeout=").size());
    int seconds = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return std::chrono::seconds(seconds);
}

} // namespace

/// A connection that is in use by one call or idle.
class HttpClient::Connection : public std::enable_shared_from_this<HttpClient::Connection>
{
public:
    Connection(asio::io_context &loop, Address peer)
        : socket(loop)
        , address(std::move(peer))
    { }

    void close()
    {
        error_code ignored; // a failure to close cannot be handled
        socket.close(ignored);
    }

    /// Closes with a TCP reset, which discards unsent data: a request that was given up must not reach the peer later,
    /// for example when a network partition ends.
    void reset()
    {
        error_code ignored; // the connection may be closed already
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        close();
    }

    bool hasCarried(const std::string &id) const
    {
        return std::find(carriedIds.begin(), carriedIds.end(), shortHash(id)) != carriedIds.end();
    }

    tcp::socket socket;
    Address address;
    std::vector<std::uint32_t> carriedIds; // `shortHash` of the ids of its requests
    std::size_t requests = 0; // that it has carried
    TimePoint idleUntil{};
    std::uint64_t idleGeneration = 0; // increases with each change between idle and in use; older callbacks do nothing
};

class HttpClient::Call final : public ClientCall, public std::enable_shared_from_this<HttpClient::Call>
{
public:
    Call(HttpClient &client, ClientRequest request, CallEvents events)
        : m_client(client)
        , m_request(std::move(request))
        , m_events(std::move(events))
        , m_startedAt(BootClock::now())
    { }

    void start()
    {
        m_stage = Stage::Connecting;
        m_connection = m_request.newConnection ? nullptr : m_client.takeIdle(m_request);
        if (m_connection != nullptr) {
            m_reused = true;
            asio::post(m_client.m_loop, [self = shared_from_this()] {
                self->send();
            });
            return;
        }
        ++m_client.m_connectionsOpened;
        m_connection = std::make_shared<Connection>(m_client.m_loop, m_request.to);
        error_code error;
        const asio::ip::address ip = asio::ip::make_address(m_request.to.ip, error);
        m_connection->socket.async_connect(tcp::endpoint(ip, m_request.to.port),
                                           [self = shared_from_this()](const error_code &connectError) {
                                               self->connected(connectError);
                                           });
    }

    void cancel() override
    {
        if (m_stage == Stage::Ended) {
            return;
        }
        m_client.removePendingBytes(std::exchange(m_pendingBytes, 0));
        m_stage = Stage::Ended;
        m_connection->reset();
        m_events = {};
        m_client.m_calls.erase(shared_from_this());
    }

    void setPaused(bool paused) override
    {
        if (m_paused == paused || m_stage != Stage::ReadingBody) {
            return;
        }
        m_paused = paused;
        if (!paused) {
            m_progressAt = BootClock::now();
            continueReading();
        }
    }

    /// Body bytes of a response that is no stream.
    std::size_t pendingBytes() const
    {
        return m_pendingBytes;
    }

    /// Ends the call because all responses in progress are too large together.
    void endAsLargest(std::size_t bound)
    {
        end({.failure = CallFailure::Malformed,
             .detail = "the responses in progress exceed their common bound of " + std::to_string(bound)
                 + " bytes; this one is the largest, with " + std::to_string(m_pendingBytes) + " bytes"});
    }

    void checkDeadlines(TimePoint now)
    {
        switch (m_stage) {
        case Stage::Connecting:
            if (now - m_startedAt > m_request.connectTimeout) {
                m_client.reportConnect(m_request.to, false);
                end({.failure = CallFailure::NotConnected,
                     .detail = "the connection was not established within the timeout"});
            }
            return;
        case Stage::AwaitingHead:
            if (now - m_startedAt > m_request.headTimeout) {
                end({.failure = CallFailure::TimedOut, .detail = "no response head arrived within the timeout"});
            }
            return;
        case Stage::ReadingBody:
            if (!m_paused && now - m_progressAt > m_request.bodyGapTimeout) {
                end({.failure = CallFailure::TimedOut,
                     .detail = "the response body stalled for longer than the timeout"});
            } else if (const std::optional<Duration> limit = totalTimeout(); limit && now - m_startedAt > *limit) {
                end({.failure = CallFailure::TimedOut, .detail = "the response did not end within the timeout"});
            }
            return;
        case Stage::Ended:
            return;
        }
    }

private:
    enum class Stage {
        Connecting,
        AwaitingHead,
        ReadingBody,
        Ended,
    };

    void connected(const error_code &error)
    {
        if (m_stage == Stage::Ended) {
            return;
        }
        m_client.reportConnect(m_request.to, !error);
        if (error) {
            end({.failure = CallFailure::NotConnected,
                 .refused = error == asio::error::connection_refused,
                 .detail = error.message()});
            return;
        }
        error_code ignored; // without this option small packets may be delayed, nothing else
        m_connection->socket.set_option(tcp::no_delay(true), ignored);
        send();
    }

    void send()
    {
        if (m_stage == Stage::Ended) {
            return;
        }
        m_stage = Stage::AwaitingHead;
        ++m_connection->requests;
        if (!m_request.echoHeader.empty()) {
            m_connection->carriedIds.push_back(shortHash(m_request.expectedEcho));
        }
        m_head = serializedHead(m_request);
        const std::array<asio::const_buffer, 2> buffers{asio::buffer(m_head), asio::buffer(bodyOf(m_request))};
        asio::async_write(m_connection->socket, buffers, [self = shared_from_this()](const error_code &error, size_t) {
            self->m_sent = !error;
            self->m_writing = false;
            std::string().swap(self->m_request.body); // an answer may take long
            self->m_request.sharedBody = nullptr;
        });
        renewParser();
        error_code ignored; // on failure a read could block; unlikely, because each follows a wait for data
        m_connection->socket.non_blocking(true, ignored);
        awaitData();
    }

    void renewParser()
    {
        m_parser.emplace();
        m_parser->header_limit(static_cast<std::uint32_t>(m_request.maxHeadBytes - m_parsedBytes));
        // `handleBody` enforces the limit. Beast 1.74 compares an announced length even with an absent one.
        m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
        m_parser->eager(true);
        m_feed.attach(*m_parser);
    }

    std::optional<Duration> totalTimeout() const
    {
        return m_eventMeter ? m_request.streamTimeout : std::optional(m_request.answerTimeout);
    }

    /// Reads in a later turn of the event loop, unless a read is due anyway.
    void continueReading()
    {
        if (m_readDue) {
            return;
        }
        m_readDue = true;
        asio::post(m_client.m_loop, [self = shared_from_this()] {
            self->m_readDue = false;
            self->readAll();
        });
    }

    void awaitData()
    {
        m_readDue = true;
        m_connection->socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code &error) {
            self->m_readDue = false;
            if (error) {
                self->connectionEnded(error);
            } else {
                self->readAll();
            }
        });
    }

    void readAll()
    {
        for (std::size_t reads = 0; m_stage != Stage::Ended && !m_paused; ++reads) {
            if (reads == ReadsPerTurn) {
                continueReading();
                return;
            }
            error_code error;
            const bool more = internal::readAvailable(m_connection->socket, m_buffer, error);
            if (error) {
                connectionEnded(error);
                return;
            }
            if (!more) {
                awaitData();
                return;
            }
            if (!parse()) {
                return;
            }
        }
    }

    /// Returns false if the call has ended.
    bool parse()
    {
        error_code error;
        feedParser(error);
        while (!error && interimResponseEnded()) {
            if (!skipInterimResponse()) {
                return false;
            }
            feedParser(error);
        }
        if (m_stage == Stage::AwaitingHead && m_parser->is_header_done() && !handleHead()) {
            return false;
        }
        if (m_stage == Stage::ReadingBody && !handleBody()) {
            return false;
        }
        if (error) {
            end({.failure = CallFailure::Malformed, .detail = error.message()});
            return false;
        }
        if (m_stage == Stage::ReadingBody && m_parser->is_done()) {
            complete();
            return false;
        }
        if (m_buffer.size() > m_request.maxHeadBytes) { // a chunk header or the trailers
            end({.failure = CallFailure::Malformed, .detail = "the framing of the response body exceeds its bound"});
            return false;
        }
        return true;
    }

    void feedParser(error_code &error)
    {
        const std::size_t before = m_buffer.size();
        m_feed.put(*m_parser, m_buffer, error);
        m_parsedBytes += before - m_buffer.size();
    }

    bool interimResponseEnded() const
    {
        if (m_stage != Stage::AwaitingHead || !m_parser->is_done()) {
            return false;
        }
        const auto status = static_cast<int>(m_parser->get().result_int());
        return status >= FirstStatus && status < FirstFinalStatus;
    }

    /// Returns false if the call has ended.
    bool skipInterimResponse()
    {
        if (static_cast<int>(m_parser->get().result_int()) == SwitchingProtocols) {
            end({.failure = CallFailure::Malformed, .detail = "the peer switches protocols unasked"});
            return false;
        }
        if (m_parsedBytes >= m_request.maxHeadBytes) {
            end({.failure = CallFailure::Malformed, .detail = "the interim responses exceed the bound of the head"});
            return false;
        }
        renewParser();
        return true;
    }

    void connectionEnded(const error_code &error)
    {
        if (m_stage == Stage::Ended) {
            return;
        }
        if (error == asio::error::eof && m_stage == Stage::ReadingBody && m_untilClose) {
            if (!endedInOrder()) {
                end({.failure = CallFailure::Lost,
                     .detail = "the connection ended before the request was sent; the response has no length"});
            } else if (m_eventMeter && !m_eventMeter->endsBehindEvent()) {
                end({.failure = CallFailure::Lost, .detail = "the connection was closed within an event"});
            } else {
                complete();
            }
            return;
        }
        end({.failure = CallFailure::Lost, .detail = error.message()});
    }

    /// Whether the end of the connection proves that a response without length is complete. A peer that resets the
    /// connection while the request is sent looks the same to the next read: the write has taken the error.
    bool endedInOrder() const
    {
        int socketError = 0;
        socklen_t size = sizeof(socketError);
        ::getsockopt(m_connection->socket.native_handle(), SOL_SOCKET, SO_ERROR, &socketError, &size);
        return m_sent && socketError == 0;
    }

    /// Returns false if the call has ended.
    bool handleHead()
    {
        ResponseHead head{.status = static_cast<int>(m_parser->get().result_int())};
        for (const auto &field : m_parser->get()) {
            head.headers.add({field.name_string().data(), field.name_string().size()},
                             {field.value().data(), field.value().size()});
        }
        if (const std::string_view mismatch = echoMismatch(head); !mismatch.empty()) {
            end({.failure = CallFailure::Malformed, .detail = std::string(mismatch)});
            return false;
        }
        if (head.status < FirstFinalStatus || head.status > LastStatus) {
            end({.failure = CallFailure::Malformed, .detail = "the response has no valid status"});
            return false;
        }
        if (isEventStream(head) && m_request.acceptsStream && m_request.acceptsStream(head)) {
            m_eventMeter.emplace();
        } else if (m_parser->content_length().value_or(0) > m_request.maxBodyBytes) {
            endAsTooLarge("the response body", m_request.maxBodyBytes);
            return false;
        }
        m_keepAlive = m_parser->keep_alive();
        m_peerIdleLimit = keepAliveTime(head.headers);
        m_untilClose = m_parser->need_eof();
        m_stage = Stage::ReadingBody;
        m_progressAt = BootClock::now();
        const std::shared_ptr<Call> self = shared_from_this();
        if (m_events.onHead) {
            m_events.onHead(head);
        }
        return m_stage != Stage::Ended;
    }

    /// Why the response may belong to another request; empty if it belongs to this one.
    std::string_view echoMismatch(const ResponseHead &head) const
    {
        if (m_request.echoHeader.empty()) {
            return {};
        }
        const std::optional<std::string_view> echo = head.headers.find(m_request.echoHeader);
        if (echo && *echo != m_request.expectedEcho) {
            return "the response belongs to another request";
        }
        if (!echo && m_reused) {
            return "the response names no request, on a connection that has carried several";
        }
        return {};
    }

    bool handleBody()
    {
        std::string &body = m_parser->get().body();
        if (body.empty()) {
            return true;
        }
        const std::string data = std::exchange(body, {});
        if (!measureBody(data)) {
            return false;
        }
        if (m_events.onData) {
            m_events.onData(data);
        }
        return m_stage != Stage::Ended;
    }

    /// Returns false if the body exceeds its bounds and the call has ended.
    bool measureBody(std::string_view data)
    {
        m_bodyBytes += data.size();
        const bool progress = !m_eventMeter || m_eventMeter->add(data);
        if (progress) {
            m_progressAt = BootClock::now();
        }
        if (m_eventMeter && m_eventMeter->openBytes() > m_request.maxEventBytes) {
            endAsTooLarge("an event", m_request.maxEventBytes);
            return false;
        }
        if (!m_eventMeter && m_bodyBytes > m_request.maxBodyBytes) {
            endAsTooLarge("the response body", m_request.maxBodyBytes);
            return false;
        }
        if (!m_eventMeter) {
            m_pendingBytes += data.size();
            m_client.addPendingBytes(data.size());
        }
        return m_stage != Stage::Ended;
    }

    void endAsTooLarge(std::string_view what, std::size_t bound)
    {
        end({.failure = CallFailure::Malformed,
             .detail = std::string(what) + " exceeds its bound of " + std::to_string(bound) + " bytes; "
                 + std::to_string(m_bodyBytes) + " bytes of the body arrived"});
    }

    void complete()
    {
        const bool reusable = m_keepAlive && !m_untilClose && !m_writing && m_sent && m_buffer.empty()
            && m_connection->requests < m_client.m_options.maxRequestsPerConnection;
        const Duration limit = m_client.m_options.idleLimit;
        m_connection->idleUntil =
            BootClock::now() + std::min(limit, m_peerIdleLimit ? *m_peerIdleLimit - KeepAliveMargin : limit);
        if (reusable) {
            m_client.keepIdle(std::move(m_connection));
        }
        end({});
    }

    void end(CallEnd outcome)
    {
        m_client.removePendingBytes(std::exchange(m_pendingBytes, 0));
        outcome.reused = m_reused;
        outcome.delimitedByClose = m_untilClose;
        m_stage = Stage::Ended;
        if (m_connection != nullptr) {
            m_connection->reset();
        }
        const std::shared_ptr<Call> self = shared_from_this();
        const CallEvents events = std::exchange(m_events, {});
        m_client.m_calls.erase(self);
        if (events.onEnd) {
            events.onEnd(outcome);
        }
    }

    HttpClient &m_client;
    ClientRequest m_request;
    CallEvents m_events;
    TimePoint m_startedAt;
    TimePoint m_progressAt{}; // of the last piece of the body, or the last event of an event stream
    std::shared_ptr<Connection> m_connection;
    std::string m_head;
    std::string m_buffer; // received, not parsed yet
    internal::MessageFeed m_feed;
    std::optional<http::response_parser<internal::PieceBody>> m_parser;
    std::optional<internal::EventMeter> m_eventMeter; // present if the response is a stream
    std::size_t m_parsedBytes = 0;
    std::size_t m_bodyBytes = 0;
    std::size_t m_pendingBytes = 0; // of the body, unless the response is a stream; 0 once the call has ended
    Stage m_stage = Stage::Connecting;
    bool m_reused = false;
    bool m_writing = true;
    bool m_sent = false;
    bool m_paused = false;
    bool m_readDue = false; // a callback that reads is scheduled
    bool m_keepAlive = false;
    bool m_untilClose = false;
    std::optional<Duration> m_peerIdleLimit;
};

HttpClient::HttpClient(asio::io_context &loop, HttpClientOptions options)
    : m_loop(loop)
    , m_options(options)
    , m_sweepTimer(loop)
{ }

HttpClient::~HttpClient() = default;

std::shared_ptr<ClientCall> HttpClient::start(ClientRequest request, CallEvents events)
{
    auto call = std::make_shared<Call>(*this, std::move(request), std::move(events));
    m_calls.insert(call);
    call->start();
    scheduleSweep();
    return call;
}

void HttpClient::dropIdle(const Address &address)
{
    const auto found = m_idle.find(address);
    if (found == m_idle.end()) {
        return;
    }
    for (const std::shared_ptr<Connection> &connection : found->second) {
        connection->close();
    }
    m_idle.erase(found);
}

std::size_t HttpClient::activeCalls() const
{
    return m_calls.size();
}

void HttpClient::onConnect(std::function<void(const Address &, bool)> handler)
{
    m_connectHandler = std::move(handler);
}

void HttpClient::addPendingBytes(std::size_t bytes)
{
    m_pendingBytes += bytes;
    if (m_options.account != nullptr) {
        m_options.account->addOther(bytes);
    }
    while (m_pendingBytes > m_options.maxPendingBytes) {
        const auto largest = std::max_element(m_calls.begin(), m_calls.end(), [](const auto &left, const auto &right) {
            return left->pendingBytes() < right->pendingBytes();
        });
        (*largest)->endAsLargest(m_options.maxPendingBytes);
    }
}

void HttpClient::removePendingBytes(std::size_t bytes)
{
    m_pendingBytes -= bytes;
    if (m_options.account != nullptr) {
        m_options.account->removeOther(bytes);
    }
}

void HttpClient::reportConnect(const Address &address, bool established)
{
    if (m_connectHandler) {
        m_connectHandler(address, established);
    }
}

std::uint64_t HttpClient::connectionsOpened() const
{
    return m_connectionsOpened;
}

std::shared_ptr<HttpClient::Connection> HttpClient::takeIdle(const ClientRequest &request)
{
    const auto found = m_idle.find(request.to);
    if (found == m_idle.end()) {
        return nullptr;
    }
    std::vector<std::shared_ptr<Connection>> &idle = found->second;
    const TimePoint now = BootClock::now();
    std::erase_if(idle, [now](const std::shared_ptr<Connection> &connection) {
        const bool dead = connection->idleUntil <= now || !connection->socket.is_open();
        if (dead) {
            connection->close();
        }
        return dead;
    });
    const auto newest = std::find_if(idle.rbegin(), idle.rend(), [&request](const auto &connection) {
        return request.echoHeader.empty() || !connection->hasCarried(request.expectedEcho);
    });
    std::shared_ptr<Connection> connection;
    if (newest != idle.rend()) {
        connection = *newest;
        ++connection->idleGeneration;
        idle.erase(std::next(newest).base());
    }
    if (idle.empty()) {
        m_idle.erase(found);
    }
    return connection;
}

void HttpClient::keepIdle(std::shared_ptr<Connection> connection)
{
    const std::size_t idleConnections =
        std::accumulate(m_idle.begin(), m_idle.end(), std::size_t{0}, [](std::size_t sum, const auto &entry) {
            return sum + entry.second.size();
        });
    std::vector<std::shared_ptr<Connection>> &idle = m_idle[connection->address];
    if (idle.size() >= m_options.maxIdlePerAddress || idleConnections + m_calls.size() >= m_options.maxConnections) {
        connection->close();
        return;
    }
    // An idle connection that becomes readable is closed: the peer closed it or sent bytes that belong to no request.
    const std::uint64_t generation = ++connection->idleGeneration;
    connection->socket.async_wait(tcp::socket::wait_read,
                                  [this, weak = std::weak_ptr(connection), generation](error_code error) {
                                      const std::shared_ptr<Connection> watched = weak.lock();
                                      if (error || watched == nullptr || watched->idleGeneration != generation) {
                                          return;
                                      }
                                      removeIdle(watched.get());
                                      watched->close();
                                  });
    idle.push_back(std::move(connection));
    scheduleSweep();
}

void HttpClient::removeIdle(const Connection *connection)
{
    const auto found = m_idle.find(connection->address);
    if (found == m_idle.end()) {
        return;
    }
    std::erase_if(found->second, [connection](const std::shared_ptr<Connection> &kept) {
        return kept.get() == connection;
    });
    if (found->second.empty()) {
        m_idle.erase(found);
    }
}

void HttpClient::scheduleSweep()
{
    constexpr Duration IdleSweepPeriod = std::chrono::seconds(1);
    const Duration delay = m_calls.empty() ? IdleSweepPeriod : m_options.sweepPeriod;
    if ((m_sweepScheduled && m_sweepDelay <= delay) || (m_calls.empty() && m_idle.empty())) {
        return;
    }
    m_sweepScheduled = true;
    m_sweepDelay = delay;
    m_sweepTimer.expires_after(delay);
    m_sweepTimer.async_wait([this, generation = ++m_sweepGeneration](const error_code &error) {
        if (!error && generation == m_sweepGeneration) {
            m_sweepScheduled = false;
            sweep();
        }
    });
}

void HttpClient::sweep()
{
    const TimePoint now = BootClock::now();
    const std::vector<std::shared_ptr<Call>> calls(m_calls.begin(), m_calls.end());
    for (const std::shared_ptr<Call> &call : calls) {
        call->checkDeadlines(now);
    }
    for (auto entry = m_idle.begin(); entry != m_idle.end();) {
        std::erase_if(entry->second, [now](const std::shared_ptr<Connection> &connection) {
            if (connection->idleUntil > now) {
                return false;
            }
            connection->close();
            return true;
        });
        entry = entry->second.empty() ? m_idle.erase(entry) : std::next(entry);
    }
    scheduleSweep();
}

} // namespace bergamot::net
