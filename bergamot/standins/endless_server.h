#pragma once

// A server for tests whose answers never end: after a request it sends the start of an answer, then the same piece
// again and again until the caller closes the connection. It counts what it could send, and so what its callers have
// accepted.
//
//     EndlessServer server({.start = "HTTP/1.1 200 OK\r\n\r\n", .piece = "x"});
//     call(server.address());
//     EXPECT_LT(server.mostBytesSent(), EndlessServer::BufferBytes + limit);

#include <atomic>
#include <memory>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "bergamot/base/address.h"
#include "bergamot/base/clock.h"

namespace bergamot
{

struct EndlessAnswer
{
    std::string start;
    std::string piece;
    Duration pause{}; // between two pieces; zero: as fast as the connection takes them
};

/// Runs on a thread of its own. Thread-safe.
class EndlessServer
{
public:
    /// Upper bound of what the send and receive buffers of one connection on loopback hold.
    static constexpr std::size_t BufferBytes = std::size_t{16} * 1024 * 1024;

    /// Listens on a free port of 127.0.0.1.
    explicit EndlessServer(EndlessAnswer answer);
    ~EndlessServer();
    EndlessServer(const EndlessServer &) = delete;
    EndlessServer &operator=(const EndlessServer &) = delete;

    Address address() const;
    /// The largest number of bytes that one connection took.
    std::size_t mostBytesSent() const;
    std::size_t connections() const;
    /// Connections that the caller closed with a reset.
    std::size_t resets() const;
    /// Connections that the caller closed in any way.
    std::size_t closed() const;

private:
    struct Peer;

    void accept();
    void countEnd(const boost::system::error_code &error);
    void awaitRequest(const std::shared_ptr<Peer> &peer);
    void send(const std::shared_ptr<Peer> &peer, const std::string &bytes);

    EndlessAnswer m_answer;
    std::string m_block; // pieces sent by one write
    boost::asio::io_context m_loop;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<std::size_t> m_mostBytesSent{0};
    std::atomic<std::size_t> m_connections{0};
    std::atomic<std::size_t> m_resets{0};
    std::atomic<std::size_t> m_closed{0};
    std::thread m_thread;
};

} // namespace bergamot
