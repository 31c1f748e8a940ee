#include "review/standins-3/watched_proxy.h"

#include <array>
#include <charconv>

#include <boost/asio/write.hpp>

namespace bergamot::review
{

namespace
{

using boost::asio::ip::tcp;

constexpr std::size_t ChunkBytes = std::size_t{64} * 1024;
constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr std::string_view LastChunk = "0\r\n\r\n";

std::size_t bodyLength(std::string_view head)
{
    constexpr std::string_view Name = "Content-Length: ";
    const std::size_t found = head.find(Name);
    std::size_t length = 0;
    if (found != std::string_view::npos) {
        const std::string_view digits = head.substr(found + Name.size());
        std::from_chars(digits.data(), digits.data() + digits.size(), length);
    }
    return length;
}

} // namespace

/// A connection of a caller and the one to the target that belongs to it.
class WatchedProxy::Link : public std::enable_shared_from_this<Link>
{
public:
    Link(WatchedProxy &proxy, tcp::socket caller)
        : m_proxy(proxy)
        , m_caller{.socket = std::move(caller)}
        , m_target{.socket = tcp::socket(proxy.m_loop)}
    { }

    void start()
    {
        const tcp::endpoint target(boost::asio::ip::make_address(m_proxy.m_target.ip), m_proxy.m_target.port);
        m_target.socket.async_connect(target, [self = shared_from_this()](const boost::system::error_code &error) {
            if (error || self->m_closed) {
                self->close();
                return;
            }
            self->pump(self->m_caller, self->m_target);
            self->pump(self->m_target, self->m_caller);
        });
    }

    void close()
    {
        if (std::exchange(m_closed, true)) {
            return;
        }
        for (Side *side : {&m_caller, &m_target}) {
            boost::system::error_code ignored; // the peer may have closed first
            // What the caller has given up must not reach the target later.
            side->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
            side->socket.close(ignored);
        }
        ended(false);
        m_proxy.m_links.erase(shared_from_this());
    }

private:
    struct Side
    {
        tcp::socket socket;
        std::array<char, ChunkBytes> chunk{};
    };

    void pump(Side &from, Side &to)
    {
        from.socket.async_read_some(
            boost::asio::buffer(from.chunk),
            [self = shared_from_this(), &from, &to](const boost::system::error_code &error, std::size_t bytes) {
                if (error || self->m_closed) {
                    self->close();
                    return;
                }
                const bool fromCaller = &from == &self->m_caller;
                self->m_silent = self->m_silent || self->m_proxy.cut; // what was on its way is lost
                if (self->m_silent) {
                    self->pump(from, to);
                    return;
                }
                if (fromCaller) {
                    self->observe({from.chunk.data(), bytes});
                    if (self->m_closed) {
                        return;
                    }
                } else {
                    self->observeAnswer({from.chunk.data(), bytes});
                }
                boost::asio::async_write(to.socket,
                                         boost::asio::buffer(from.chunk, bytes),
                                         [self, &from, &to](const boost::system::error_code &failed, std::size_t) {
                                             if (failed) {
                                                 self->close();
                                                 return;
                                             }
                                             self->pump(from, to);
                                         });
            });
    }

    void observe(std::string_view data)
    {
        m_request += data;
        const std::size_t headEnd = m_request.find(HeadEnd);
        if (headEnd == std::string::npos) {
            return;
        }
        const std::size_t bodyBegin = headEnd + HeadEnd.size();
        const std::size_t end = bodyBegin + bodyLength(std::string_view(m_request).substr(0, bodyBegin));
        if (m_request.size() < end) {
            return;
        }
        WatchedRequest request{.line = m_request.substr(0, m_request.find('\r')),
                               .head = m_request.substr(0, headEnd),
                               .body = m_request.substr(bodyBegin, end - bodyBegin)};
        m_request.clear();
        const AnswerFate fate = m_proxy.m_observer(request);
        if (fate == AnswerFate::Done || fate == AnswerFate::Full) {
            answer(fate == AnswerFate::Done ? "200 OK" : "507 Insufficient Storage");
            return;
        }
        request.body.clear();
        m_running = std::move(request);
    }

    void observeAnswer(std::string_view data)
    {
        m_answerTail.append(data.substr(data.size() - std::min(data.size(), LastChunk.size())));
        m_answerTail.erase(0, m_answerTail.size() - std::min(m_answerTail.size(), LastChunk.size()));
        if (m_answerTail == LastChunk) {
            ended(true);
        }
    }

    void ended(bool whole)
    {
        const std::optional<WatchedRequest> request = std::exchange(m_running, std::nullopt);
        if (request && m_proxy.onEnd) {
            m_proxy.onEnd(*request, whole);
        }
    }

    void answer(std::string_view status)
    {
        m_request = "HTTP/1.1 " + std::string(status)
            + "\r\nContent-Type: application/json\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}";
        m_closed = true;
        boost::system::error_code ignored; // the target may have closed first
        m_target.socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        m_target.socket.close(ignored);
        boost::asio::async_write(m_caller.socket,
                                 boost::asio::buffer(m_request),
                                 [self = shared_from_this()](const boost::system::error_code &, std::size_t) {
                                     boost::system::error_code unread; // the caller may have closed first
                                     self->m_caller.socket.close(unread);
                                     self->m_proxy.m_links.erase(self);
                                 });
    }

    WatchedProxy &m_proxy;
    Side m_caller;
    Side m_target;
    std::string m_request; // received so far
    std::optional<WatchedRequest> m_running; // without its body; its answer is not complete
    std::string m_answerTail;
    bool m_silent = false; // cut off: nothing more passes, but for what is being forwarded
    bool m_closed = false;
};

WatchedProxy::WatchedProxy(boost::asio::io_context &loop, Address target, Observer observer)
    : m_loop(loop)
    , m_target(std::move(target))
    , m_observer(std::move(observer))
    , m_acceptor(loop)
{ }

WatchedProxy::~WatchedProxy()
{
    shutDown();
}

void WatchedProxy::shutDown()
{
    boost::system::error_code ignored; // it may be closed
    m_acceptor.close(ignored);
    const std::set<std::shared_ptr<Link>> links = m_links;
    for (const std::shared_ptr<Link> &link : links) {
        link->close();
    }
}

bool WatchedProxy::listen()
{
    boost::system::error_code error;
    m_acceptor.open(tcp::v4(), error);
    if (!error) {
        m_acceptor.bind({boost::asio::ip::make_address("127.0.0.1"), 0}, error);
    }
    if (!error) {
        m_acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    }
    if (!error) {
        accept();
    }
    return !error;
}

Address WatchedProxy::address() const
{
    return {"127.0.0.1", m_acceptor.local_endpoint().port()};
}

void WatchedProxy::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
        if (error) {
            return;
        }
        boost::system::error_code ignored; // small packets may be delayed, nothing else
        socket.set_option(tcp::no_delay(true), ignored);
        const auto link = std::make_shared<Link>(*this, std::move(socket));
        m_links.insert(link);
        link->start();
        accept();
    });
}

} // namespace bergamot::review
