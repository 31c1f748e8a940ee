#include "bergamot/standins/crashable_http_server.h"

#include <future>
#include <list>
#include <sstream>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cpprest/uri.h>

#include "bergamot/standins/reserved_port.h"

namespace bergamot
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

struct IoThreads::Impl
{
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work = asio::make_work_guard(context);
    std::vector<std::thread> threads;
};

IoThreads::IoThreads(std::size_t count)
    : m_impl(std::make_unique<Impl>())
{
    for (std::size_t i = 0; i < count; ++i) {
        m_impl->threads.emplace_back([this] {
            m_impl->context.run();
        });
    }
}

IoThreads::~IoThreads()
{
    m_impl->context.stop();
    for (std::thread &thread : m_impl->threads) {
        thread.join();
    }
}

IoThreads::Impl &IoThreads::impl()
{
    return *m_impl;
}

namespace
{

constexpr std::uint64_t MaxBodyBytes = 16U << 20U;

HttpRequest fromNative(const http::request<http::string_body> &native)
{
    HttpRequest request;
    request.method = std::string(native.method_string());
    const web::uri target(std::string(native.target()));
    request.path = web::uri::decode(target.path());
    for (const auto &[name, value] : web::uri::split_query(target.query())) {
        request.query[web::uri::decode(name)] = web::uri::decode(value);
    }
    for (const auto &field : native) {
        request.headers[std::string(field.name_string())] = std::string(field.value());
    }
    request.body = native.body();
    return request;
}

/// The head of an answer; its body follows, whole or in chunks.
http::response<http::empty_body> nativeHead(const HttpResponse &response)
{
    http::response<http::empty_body> head(static_cast<http::status>(response.status), 11);
    head.set(http::field::content_type, response.contentType);
    for (const auto &[name, value] : response.headers) {
        head.set(name, value);
    }
    return head;
}

std::string textOf(const http::response<http::empty_body> &head)
{
    std::ostringstream text;
    text << head.base();
    return text.str();
}

std::string chunkOf(std::string_view data)
{
    std::ostringstream text;
    text << std::hex << data.size() << "\r\n" << data << "\r\n";
    return text.str();
}

/// One connection. Everything but `gone` happens on its strand.
class Connection final : public std::enable_shared_from_this<Connection>
{
public:
    Connection(tcp::socket socket, CrashableHttpServer::Handler handler)
        : m_socket(std::move(socket))
        , m_handler(std::move(handler))
    { }

    void readNext();

    /// Sends `bytes`; after the last ones of an answer the next request is read.
    void send(std::string bytes, bool last)
    {
        asio::post(m_socket.get_executor(), [self = shared_from_this(), bytes = std::move(bytes), last]() mutable {
            self->m_unsent.push_back({std::move(bytes), last});
            if (self->m_unsent.size() == 1) {
                self->writeNext();
            }
        });
    }

    /// Closes the connection once what was sent before has gone out.
    void closeAfterSending()
    {
        asio::post(m_socket.get_executor(), [self = shared_from_this()] {
            self->m_closing = true;
            if (self->m_unsent.empty()) {
                self->close();
            }
        });
    }

    void closeNow(std::function<void()> closed)
    {
        asio::post(m_socket.get_executor(), [self = shared_from_this(), closed = std::move(closed)] {
            self->close();
            closed();
        });
    }

    bool gone() const
    {
        return m_gone;
    }

private:
    struct Unsent
    {
        std::string bytes;
        bool last = false;
    };

    void writeNext()
    {
        asio::async_write(
            m_socket, asio::buffer(m_unsent.front().bytes), [self = shared_from_this()](error_code error, std::size_t) {
                self->written(error);
            });
    }

    void written(error_code error)
    {
        if (error) {
            m_unsent.clear();
            close();
            return;
        }
        const bool last = m_unsent.front().last;
        m_unsent.pop_front();
        if (!m_unsent.empty()) {
            writeNext();
        } else if (m_closing) {
            close();
        } else if (last) {
            readNext();
        }
    }

    void received(error_code error);

    void close()
    {
        m_gone = true;
        error_code ignored;
        m_socket.close(ignored);
    }

    tcp::socket m_socket;
    CrashableHttpServer::Handler m_handler;
    boost::beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    std::deque<Unsent> m_unsent;
    bool m_closing = false;
    std::atomic<bool> m_gone{false};
};

class ConnectionResponder final : public DroppableResponder
{
public:
    explicit ConnectionResponder(std::shared_ptr<Connection> connection)
        : m_connection(std::move(connection))
    { }

    ~ConnectionResponder() override
    {
        if (!m_answered || m_streaming) {
            drop();
        }
    }

    void reply(HttpResponse response) override
    {
        if (m_answered.exchange(true)) {
            return;
        }
        http::response<http::empty_body> head = nativeHead(response);
        head.content_length(response.body.size());
        m_connection->send(textOf(head) + response.body, true);
    }

    void beginStream(HttpResponse response) override
    {
        if (m_answered.exchange(true)) {
            return;
        }
        http::response<http::empty_body> head = nativeHead(response);
        head.chunked(true);
        m_streaming = true;
        m_connection->send(textOf(head), false);
    }

    bool write(std::string_view chunk) override
    {
        if (!m_streaming || m_connection->gone()) {
            return false;
        }
        m_connection->send(chunkOf(chunk), false);
        return true;
    }

    void endStream() override
    {
        if (m_streaming.exchange(false)) {
            m_connection->send("0\r\n\r\n", true);
        }
    }

    void abortStream() override
    {
        if (m_streaming.exchange(false)) {
            m_connection->closeAfterSending();
        }
    }

    void drop() override
    {
        m_answered = true;
        m_streaming = false;
        m_connection->closeNow([] {});
    }

private:
    std::shared_ptr<Connection> m_connection;
    std::atomic<bool> m_answered{false};
    std::atomic<bool> m_streaming{false};
};

void Connection::readNext()
{
    m_parser.emplace();
    m_parser->body_limit(MaxBodyBytes);
    http::async_read(m_socket, m_buffer, *m_parser, [self = shared_from_this()](error_code error, std::size_t) {
        self->received(error);
    });
}

void Connection::received(error_code error)
{
    if (error) {
        close();
        return;
    }
    const auto responder = std::make_shared<ConnectionResponder>(shared_from_this());
    try {
        m_handler(fromNative(m_parser->release()), responder);
    } catch (const std::exception &unreadable) {
        responder->reply(
            errorResponse({ErrorCode::InvalidArgument, std::string("unreadable request: ") + unreadable.what()}));
    }
}

} // namespace

struct CrashableHttpServer::Impl : std::enable_shared_from_this<Impl>
{
    Impl(asio::io_context &ioContext, Address listenAddress, Handler requestHandler)
        : context(ioContext)
        , strand(asio::make_strand(ioContext))
        , acceptor(strand)
        , address(std::move(listenAddress))
        , handler(std::move(requestHandler))
    { }

    /// Runs `task` on the strand and waits for it.
    void onStrand(const std::function<void()> &task)
    {
        std::promise<void> done;
        asio::post(strand, [&] {
            task();
            done.set_value();
        });
        done.get_future().wait();
    }

    /// A port that was not asked for by number stays ours when the server stops.
    void reservePort()
    {
        if (address.port == 0) {
            reserved = std::make_unique<ReservedPort>(address.ip);
            address = reserved->address();
        }
    }

    error_code open()
    {
        error_code error;
        reservePort();
        if (address.port == 0) {
            return make_error_code(boost::system::errc::address_not_available);
        }
        const tcp::endpoint endpoint(asio::ip::make_address(address.ip, error), address.port);
        acceptor.open(tcp::v4(), error);
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
        if (reserved) {
            ReservedPort::allowSharing(acceptor.native_handle());
        }
        acceptor.bind(endpoint, error);
        if (!error) {
            acceptor.listen(asio::socket_base::max_listen_connections, error);
        }
        if (error) {
            error_code ignored;
            acceptor.close(ignored);
            return error;
        }
        acceptNext();
        return {};
    }

    void acceptNext()
    {
        acceptor.async_accept(asio::make_strand(context),
                              [self = shared_from_this()](error_code error, tcp::socket socket) {
                                  if (!self->acceptor.is_open()) {
                                      return;
                                  }
                                  if (!error) {
                                      self->serve(std::move(socket));
                                  }
                                  self->acceptNext();
                              });
    }

    void serve(tcp::socket socket)
    {
        error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        const auto connection = std::make_shared<Connection>(std::move(socket), handler);
        std::erase_if(connections, [](const std::weak_ptr<Connection> &known) {
            return known.expired();
        });
        connections.push_back(connection);
        connection->readNext();
    }

    void closePort()
    {
        error_code ignored;
        acceptor.close(ignored);
    }

    asio::io_context &context;
    asio::strand<asio::io_context::executor_type> strand;
    tcp::acceptor acceptor;
    Address address;
    std::unique_ptr<ReservedPort> reserved;
    Handler handler;
    std::list<std::weak_ptr<Connection>> connections;
};

CrashableHttpServer::CrashableHttpServer(IoThreads &threads, Address address, Handler handler)
    : m_impl(std::make_shared<Impl>(threads.impl().context, std::move(address), std::move(handler)))
{ }

CrashableHttpServer::~CrashableHttpServer()
{
    stop();
}

Result<void> CrashableHttpServer::start()
{
    error_code error;
    m_impl->onStrand([&] {
        error = m_impl->open();
    });
    if (error) {
        return failure(ErrorCode::Unavailable,
                       "cannot listen on " + toString(m_impl->address) + ": " + error.message());
    }
    return {};
}

Address CrashableHttpServer::address() const
{
    return m_impl->address;
}

void CrashableHttpServer::stop()
{
    std::list<std::weak_ptr<Connection>> connections;
    m_impl->onStrand([&] {
        m_impl->closePort();
        connections.swap(m_impl->connections);
    });
    for (const std::weak_ptr<Connection> &weak : connections) {
        if (const std::shared_ptr<Connection> connection = weak.lock()) {
            std::promise<void> closed;
            connection->closeNow([&closed] {
                closed.set_value();
            });
            closed.get_future().wait();
        }
    }
}

} // namespace bergamot
