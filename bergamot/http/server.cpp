#include "bergamot/http/server.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cpprest/http_listener.h>
#include <cpprest/producerconsumerstream.h>

#include "bergamot/http/internal/body.h"

namespace bergamot
{

namespace
{

using web::http::experimental::listener::http_listener;
using StreamBuffer = concurrency::streams::producer_consumer_buffer<std::uint8_t>;

constexpr std::chrono::seconds BusyRetryAfter{1};

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

web::http::http_response toNative(const HttpResponse &response)
{
    web::http::http_response native(static_cast<web::http::status_code>(response.status));
    for (const auto &[name, value] : response.headers) {
        native.headers().add(name, value);
    }
    return native;
}

class NativeResponder final : public Responder
{
public:
    NativeResponder(const web::http::http_request &request, std::shared_ptr<InFlight> inFlight)
        : m_request(request)
        , m_inFlight(std::move(inFlight))
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
        web::http::http_response native = toNative(response);
        native.set_body(std::move(response.body), response.contentType);
        send(native);
    }

    void beginStream(HttpResponse head) override
    {
        if (m_answered.exchange(true)) {
            return;
        }
        web::http::http_response native = toNative(head);
        native.set_body(m_buffer.create_istream(), head.contentType);
        m_streaming = true;
        send(native);
    }

    bool write(std::string_view chunk) override
    {
        if (!m_streaming || m_gone->load()) {
            return false;
        }
        m_buffer.putn_nocopy(reinterpret_cast<const std::uint8_t *>(chunk.data()), chunk.size()).wait();
        // Without this the library holds the chunks back and sends them in one lump at the end.
        m_buffer.sync().wait();
        return true;
    }

    void endStream() override
    {
        if (m_streaming.exchange(false)) {
            m_buffer.close(std::ios_base::out).wait();
        }
    }

    void abortStream() override
    {
        if (m_streaming.exchange(false)) {
            m_buffer.close(std::ios_base::out, std::make_exception_ptr(std::runtime_error("aborted"))).wait();
        }
    }

private:
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
    StreamBuffer m_buffer;
};

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
    std::shared_ptr<InFlight> inFlight = std::make_shared<InFlight>();

    Result<void> open(const Address &address)
    {
        listener = std::make_unique<http_listener>("http://" + toString(address));
        listener->support([weak = weak_from_this()](const web::http::http_request &native) {
            if (const auto self = weak.lock()) {
                self->accept(native);
            }
        });
        try {
            listener->open().wait();
        } catch (const std::exception &error) {
            listener.reset();
            return failure(ErrorCode::Unavailable, "cannot listen on " + toString(address) + ": " + error.what());
        }
        return {};
    }

    void accept(const web::http::http_request &native)
    {
        if (!inFlight->enter(options.maxRequestsAtOnce)) {
            refuse(native, {ErrorCode::Unavailable, "too many requests at once", BusyRetryAfter});
            return;
        }
        const auto responder = std::make_shared<NativeResponder>(native, inFlight);
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
                HttpResponse tooLarge = errorResponse(
                    {ErrorCode::InvalidArgument,
                     "the body is larger than " + std::to_string(options.maxBodyBytes) + " bytes; send less at once"});
                tooLarge.status = 413;
                responder->reply(std::move(tooLarge));
                return;
            }
            handler(fromNative(native, std::move(*body)), responder);
        } catch (const std::exception &error) {
            responder->reply(
                errorResponse({ErrorCode::InvalidArgument, std::string("unreadable request: ") + error.what()}));
        }
    }

    static void refuse(const web::http::http_request &native, const Error &error)
    {
        HttpResponse response = errorResponse(error);
        web::http::http_response refusal = toNative(response);
        refusal.set_body(std::move(response.body), response.contentType);
        native.reply(refusal).then([](const pplx::task<void> &sent) {
            try {
                sent.get();
            } catch (const std::exception &) {
                // The caller has gone; there is nobody left to tell.
                return;
            }
        });
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
            m_impl->options.address = candidate;
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

bool HttpServer::drain(std::chrono::milliseconds limit)
{
    return m_impl->inFlight->waitUntilEmpty(limit);
}

void HttpServer::stop()
{
    if (!m_impl->listener) {
        return;
    }
    try {
        m_impl->listener->close().wait();
    } catch (const std::exception &) {
        // The port is closed in any case.
    }
    m_impl->listener.reset();
}

} // namespace bergamot
