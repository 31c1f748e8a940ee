#include "bergamot/standins/endless_server.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace bergamot
{

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace
{

constexpr std::size_t BlockBytes = std::size_t{16} * 1024; // fast answers are sent in blocks of about this size

} // namespace

struct EndlessServer::Peer
{
    explicit Peer(tcp::socket accepted)
        : socket(std::move(accepted))
        , timer(socket.get_executor())
    { }

    tcp::socket socket;
    boost::asio::steady_timer timer;
    std::string request;
    std::size_t bytesSent = 0;
};

EndlessServer::EndlessServer(EndlessAnswer answer)
    : m_answer(std::move(answer))
    , m_acceptor(m_loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
{
    m_block = m_answer.piece;
    while (m_answer.pause == Duration::zero() && m_block.size() < BlockBytes) {
        m_block += m_answer.piece;
    }
    accept();
    m_thread = std::thread([this] {
        m_loop.run();
    });
}

EndlessServer::~EndlessServer()
{
    m_loop.stop();
    m_thread.join();
}

Address EndlessServer::address() const
{
    return {"127.0.0.1", m_acceptor.local_endpoint().port()};
}

std::size_t EndlessServer::mostBytesSent() const
{
    return m_mostBytesSent;
}

std::size_t EndlessServer::connections() const
{
    return m_connections;
}

std::size_t EndlessServer::resets() const
{
    return m_resets;
}

std::size_t EndlessServer::closed() const
{
    return m_closed;
}

void EndlessServer::countEnd(const error_code &error)
{
    ++m_closed;
    m_resets += error == boost::asio::error::connection_reset ? 1 : 0;
}

void EndlessServer::accept()
{
    m_acceptor.async_accept([this](const error_code &error, tcp::socket socket) {
        if (error) {
            return;
        }
        ++m_connections;
        awaitRequest(std::make_shared<Peer>(std::move(socket)));
        accept();
    });
}

void EndlessServer::awaitRequest(const std::shared_ptr<Peer> &peer)
{
    boost::asio::async_read_until(peer->socket,
                                  boost::asio::dynamic_buffer(peer->request),
                                  "\r\n\r\n",
                                  [this, peer](const error_code &error, std::size_t) {
                                      error ? countEnd(error) : send(peer, m_answer.start);
                                  });
}

void EndlessServer::send(const std::shared_ptr<Peer> &peer, const std::string &bytes)
{
    boost::asio::async_write(
        peer->socket, boost::asio::buffer(bytes), [this, peer](const error_code &error, std::size_t sent) {
            peer->bytesSent += sent;
            m_mostBytesSent = std::max<std::size_t>(m_mostBytesSent, peer->bytesSent);
            if (error) {
                countEnd(error);
                return;
            }
            if (m_answer.pause == Duration::zero()) {
                send(peer, m_block);
                return;
            }
            peer->timer.expires_after(m_answer.pause);
            peer->timer.async_wait([this, peer](const error_code &cancelled) {
                if (!cancelled) {
                    send(peer, m_block);
                }
            });
        });
}

} // namespace bergamot
