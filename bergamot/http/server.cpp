#include "bergamot/http/server.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <shared_mutex>

#include <cpprest/http_listener.h>

#include "bergamot/base/event_loop.h"
#include "bergamot/http/internal/body.h"
#include "bergamot/http/internal/connection_watch.h"
#include "bergamot/http/internal/open_listeners.h"
#include "bergamot/http/internal/send_buffer.h"

namespace bergamot
{

namespace
{

using http_internal::SendBuffer;
using http_internal::StreamBacklog;
using web::http::experimental::listener::http_listener;

constexpr std::chrono::seconds BusyRetryAfter{1};
constexpr std::size_t FairShares = 16; // what a stream may always keep, as a part of its bound
constexpr std::size_t DroppedBodies = 4; // how many times the bound may come before the caller is cut off
constexpr std::size_t HeaderExtraBytes = 4; // colon, space and line end

/// Counts the requests whose answer has not gone out, and lets a drain wait for them.
class InFlight
{
public:
    /// False if `limit` are in flight already.
    bool enter(std::size_t limit)
    {
        const std::lock_guard lock(m_mutex);
        if (m_count >= limit) {
            return false;
        }
        ++m_count;
        return true;
    }

    void leave()
    {
        {
            const std::lock_guard lock(m_mutex);
            --m_count;
        }
        m_changed.notify_all();
    }

    std::size_t count() const
    {
        const std::lock_guard lock(m_mutex);
        return m_count;
    }

    bool waitUntilEmpty(std::chrono::milliseconds limit)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, limit, [this] {
            return m_count == 0;
        });
    }

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::size_t m_count = 0;
};

struct StreamBounds
{
    std::size_t one;
    std::size_t all;
};

class NativeResponder final : public Responder
{
public:
    NativeResponder(const web::http::http_request &request,
                    std::shared_ptr<InFlight> inFlight,
                    std::shared_ptr<StreamBacklog> backlog,
                    StreamBounds bounds)
        : m_request(request)
        , m_inFlight(std::move(inFlight))
        , m_backlog(std::move(backlog))
        , m_bounds(bounds)
    { }

    ~NativeResponder() override
    {
        reply(errorResponse({ErrorCode::Internal, "the request was dropped without an answer"}));
        abortStream();
    }

    void reply(HttpResponse response) override
    {
        if (m_answered.exchange(true)) {
            return;
        }
        web::http::http_response native = http_internal::toNative(response);
        native.set_body(std::move(response.body), response.contentType);
        send(native);
    }

    void beginStream(HttpResponse head) override
    {
        if (m_answered.exchange(true)) {
            return;
        }
        web::http::http_response native = http_internal::toNative(head);
        m_buffer = std::make_shared<SendBuffer>(m_backlog);
        native.set_body(m_buffer->istream(), head.contentType);
        m_streaming = true;
        send(native);
    }

    bool write(std::string_view chunk) override
    {
        if (!m_streaming || m_gone->load()) {
            return false;
        }
        m_buffer->write(chunk);
        if (!overBound()) {
            return true;
        }
        m_tooSlow = true;
        abortStream();
        return false;
    }

    bool callerTooSlow() const override
    {
        return m_tooSlow;
    }

    void endStream() override
    {
        if (m_streaming.exchange(false)) {
            m_buffer->finish();
        }
    }

    void abortStream() override
    {
        if (m_streaming.exchange(false)) {
            m_buffer->abort();
        }
    }

private:
    bool overBound() const
    {
        const std::size_t waiting = m_buffer->waitingBytes();
        return waiting > m_bounds.one || (waiting > m_bounds.one / FairShares && m_backlog->bytes() > m_bounds.all);
    }

    void send(const web::http::http_response &native)
    {
        m_request.reply(native).then([inFlight = m_inFlight, gone = m_gone](const pplx::task<void> &sent) {
            try {
                sent.get();
            } catch (const std::exception &) {
                gone->store(true);
            }
            inFlight->leave();
        });
    }

    web::http::http_request m_request;
    std::shared_ptr<InFlight> m_inFlight;
    std::atomic<bool> m_answered{false};
    std::atomic<bool> m_streaming{false};
    std::shared_ptr<std::atomic<bool>> m_gone = std::make_shared<std::atomic<bool>>(false);
    std::atomic<bool> m_tooSlow{false};
    std::shared_ptr<StreamBacklog> m_backlog;
    StreamBounds m_bounds;
    std::shared_ptr<SendBuffer> m_buffer; // set before `m_streaming`
};

std::size_t headBytes(const web::http::http_request &native)
{
    std::size_t bytes = native.method().size() + native.request_uri().to_string().size();
    for (const auto &[name, value] : native.headers()) {
        bytes += name.size() + value.size() + HeaderExtraBytes;
    }
    return bytes;
}

HttpRequest fromNative(const web::http::http_request &native, std::string body)
{
    HttpRequest request;
    request.method = native.method();
    request.path = web::uri::decode(native.relative_uri().path());
    for (const auto &[name, value] : web::uri::split_query(native.relative_uri().query())) {
        request.query[web::uri::decode(name)] = web::uri::decode(value);
    }
    for (const auto &[name, value] : native.headers()) {
        request.headers[name] = value;
    }
    request.body = std::move(body);
    return request;
}

/// A free port of `ip`. Another process may take it before it is used; `start` then tries the next one.
std::uint16_t freePort(const std::string &ip)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    inet_pton(AF_INET, ip.c_str(), &name.sin_addr);
    socklen_t size = sizeof(name);
    const bool bound = ::bind(descriptor, reinterpret_cast<sockaddr *>(&name), size) == 0;
    const bool named = bound && ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&name), &size) == 0;
    ::close(descriptor);
    return named ? ntohs(name.sin_port) : 0;
}

} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl>
{
    HttpServerOptions options;
    Handler handler;
    std::unique_ptr<http_listener> listener;
    std::unique_ptr<EventLoop> watch;
    std::shared_ptr<InFlight> inFlight = std::make_shared<InFlight>();
    std::shared_ptr<StreamBacklog> backlog = std::make_shared<StreamBacklog>();
    std::atomic<std::size_t> connections{0};
    // `stop` sets the flag and then waits until no thread is in the handler.
    std::atomic<bool> stopped{false};
    std::shared_mutex handling;

    Result<void> open(const Address &address)
    {
        auto opened = std::make_unique<http_listener>("http://" + toString(address));
        // The listener may outlive this object; it then refuses.
        opened->support([weak = weak_from_this(), refusal = stoppedRefusal()](const web::http::http_request &native) {
            if (const auto self = weak.lock()) {
                self->accept(native);
            } else {
                refuse(native, refusal);
            }
        });
        if (Result<void> result = http_internal::openListener(address, *opened); !result) {
            return result;
        }
        listener = std::move(opened);
        options.address = address;
        stopped = false;
        watchConnections();
        return {};
    }

    void watchConnections()
    {
        ConnectionLimits limits = options.connections;
        limits.unansweredBytes = options.maxHeadBytes + options.maxBodyBytes * (1 + DroppedBodies);
        const auto looks = std::make_shared<http_internal::ConnectionWatch>(options.address, limits);
        watch = std::make_unique<EventLoop>();
        watch->every(limits.period, [this, looks] {
            connections = looks->closeByLimits();
        });
    }

    void close()
    {
        watch->stop();
        stopped = true;
        {
            const std::unique_lock untilNoneIsHandled(handling);
        }
        // Not under the lock: the library waits here for its threads, which may be waiting for the lock.
        http_internal::closeListener(options.address, std::move(listener));
    }

    HttpResponse stoppedRefusal() const
    {
        return refusalOf({ErrorCode::Unavailable, "this server has stopped; the request did not run", BusyRetryAfter});
    }

    void accept(const web::http::http_request &native)
    {
        if (stopped) {
            refuse(native, stoppedRefusal());
            return;
        }
        if (headBytes(native) > options.maxHeadBytes) {
            HttpResponse tooLarge = refusalOf({ErrorCode::InvalidArgument,
                                               "the request line and headers are larger than "
                                                   + std::to_string(options.maxHeadBytes) + " bytes; send less"});
            tooLarge.status = 431;
            refuse(native, std::move(tooLarge));
            return;
        }
        if (!inFlight->enter(options.maxRequestsAtOnce)) {
            refuse(native, refusalOf({ErrorCode::Unavailable, "too many requests at once", BusyRetryAfter}));
            return;
        }
        const auto responder = std::make_shared<NativeResponder>(
            native,
            inFlight,
            backlog,
            StreamBounds{.one = options.maxStreamBacklogBytes, .all = options.maxStreamBacklogBytesInAll});
        http_internal::readBody(native.body(), options.maxBodyBytes)
            .then([self = shared_from_this(), native, responder](const pplx::task<std::optional<std::string>> &read) {
                self->handle(native, responder, read);
            });
    }

    void handle(const web::http::http_request &native,
                const ResponderPtr &responder,
                const pplx::task<std::optional<std::string>> &read)
    {
        try {
            std::optional<std::string> body = read.get();
            if (!body) {
                refuseBody(native, responder);
                return;
            }
            dispatch(fromNative(native, std::move(*body)), responder);
        } catch (const std::exception &error) {
            responder->reply(
                refusalOf({ErrorCode::InvalidArgument, std::string("unreadable request: ") + error.what()}));
        }
    }

    void dispatch(HttpRequest request, const ResponderPtr &responder)
    {
        const std::shared_lock untilHandled(handling);
        if (stopped) {
            responder->reply(stoppedRefusal());
            return;
        }
        handler(std::move(request), responder);
    }

    /// The library answers only once the body has ended, so the rest of it is read and dropped.
    void refuseBody(const web::http::http_request &native, const ResponderPtr &responder) const
    {
        HttpResponse tooLarge = refusalOf(
            {ErrorCode::InvalidArgument,
             "the body is larger than " + std::to_string(options.maxBodyBytes) + " bytes; send less at once"});
        tooLarge.status = 413;
        responder->reply(std::move(tooLarge));
        http_internal::dropBody(native.body());
    }

    HttpResponse refusalOf(const Error &error) const
    {
        HttpResponse response = errorResponse(error);
        response.headers.insert(options.refusalHeaders.begin(), options.refusalHeaders.end());
        return response;
    }

    static void refuse(const web::http::http_request &native, HttpResponse response)
    {
        http_internal::replyAndForget(native, std::move(response));
    }
};

HttpServer::HttpServer(HttpServerOptions options, Handler handler)
    : m_impl(std::make_shared<Impl>())
{
    m_impl->options = std::move(options);
    m_impl->handler = std::move(handler);
}

HttpServer::~HttpServer()
{
    stop();
}

Result<void> HttpServer::start()
{
    constexpr int Attempts = 20;
    if (m_impl->options.address.port != 0) {
        return m_impl->open(m_impl->options.address);
    }
    Result<void> opened;
    for (int attempt = 0; attempt < Attempts; ++attempt) {
        const Address candidate{m_impl->options.address.ip, freePort(m_impl->options.address.ip)};
        opened = m_impl->open(candidate);
        if (opened) {
            return {};
        }
    }
    return opened;
}

Address HttpServer::address() const
{
    return m_impl->options.address;
}

std::size_t HttpServer::requestsInFlight() const
{
    return m_impl->inFlight->count();
}

std::size_t HttpServer::openConnections() const
{
    return m_impl->connections;
}

std::size_t HttpServer::streamBacklogBytes() const
{
    return m_impl->backlog->bytes();
}

std::size_t HttpServer::mostStreamBacklogBytes() const
{
    return m_impl->backlog->mostBytes();
}

bool HttpServer::drain(std::chrono::milliseconds limit)
{
    return m_impl->inFlight->waitUntilEmpty(limit);
}

void HttpServer::stop()
{
    if (m_impl->listener) {
        m_impl->close();
    }
}

} // namespace bergamot
