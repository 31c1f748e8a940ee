#pragma once

// A server for tests that answers as soon as a request begins, and ends the connection a little later.
//
//     EarlyServer server(loop, {.answer = "HTTP/1.1 200 OK\r\n\r\npartial"});
//     call(server.address());

#include <array>
#include <chrono>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "bergamot/base/address.h"

namespace bergamot
{

enum class EarlyEnding {
    Reset,
    Close, // with unread bytes, if the request is not read, which resets the connection as well
    ShutDown, // in order; the connection stays open
};

struct EarlyServerOptions
{
    std::string answer;
    EarlyEnding ending = EarlyEnding::Reset;
    bool readsAll = false; // reads the request; else only its beginning
};

/// Listens on a free port of 127.0.0.1. Not thread-safe.
class EarlyServer
{
public:
    EarlyServer(boost::asio::io_context &loop, EarlyServerOptions options)
        : m_acceptor(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , m_options(std::move(options))
    {
        accept();
    }

    Address address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

    std::size_t answers() const
    {
        return m_answers;
    }

private:
    using tcp = boost::asio::ip::tcp;
    using error_code = boost::system::error_code;

    struct Peer
    {
        explicit Peer(tcp::socket accepted)
            : socket(std::move(accepted))
            , timer(socket.get_executor())
        { }

        tcp::socket socket;
        boost::asio::steady_timer timer;
        std::array<char, 4096> bytes{};
        bool answered = false;
    };

    void accept()
    {
        m_acceptor.async_accept([this](const error_code &error, tcp::socket socket) {
            if (error) {
                return;
            }
            read(std::make_shared<Peer>(std::move(socket)));
            accept();
        });
    }

    void read(const std::shared_ptr<Peer> &peer)
    {
        peer->socket.async_read_some(boost::asio::buffer(peer->bytes),
                                     [this, peer](const error_code &error, std::size_t) {
                                         if (error) {
                                             return;
                                         }
                                         if (!std::exchange(peer->answered, true)) {
                                             answer(peer);
                                         }
                                         if (m_options.readsAll) {
                                             read(peer);
                                         }
                                     });
    }

    void answer(const std::shared_ptr<Peer> &peer)
    {
        constexpr auto EndDelay = std::chrono::milliseconds(50); // the client reads the answer meanwhile
        ++m_answers;
        error_code ignored; // the client may have closed
        boost::asio::write(peer->socket, boost::asio::buffer(m_options.answer), ignored);
        peer->timer.expires_after(EndDelay);
        peer->timer.async_wait([peer, ending = m_options.ending](const error_code &) {
            error_code closed; // the client may have closed
            if (ending == EarlyEnding::ShutDown) {
                peer->socket.shutdown(tcp::socket::shutdown_send, closed);
                return;
            }
            if (ending == EarlyEnding::Reset) {
                peer->socket.set_option(boost::asio::socket_base::linger(true, 0), closed);
            }
            peer->socket.close(closed);
        });
    }

    tcp::acceptor m_acceptor;
    EarlyServerOptions m_options;
    std::size_t m_answers = 0;
};

} // namespace bergamot
