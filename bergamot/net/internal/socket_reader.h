#pragma once

// Reads a non-blocking socket until no data is left. Asio's own reads treat a short read as a sign that the socket is
// empty and then wait for the next edge of epoll; if the rest of the data has already arrived, that edge may never
// come.

#include <array>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/error.hpp>

namespace bergamot::net::internal
{

inline constexpr std::size_t ReadBytes = 16 * 1024; // read by one system call; a few TCP segments

/// Appends available data to `pending`. Returns false if there is none, and sets `error` if the connection has ended.
inline bool readAvailable(boost::asio::ip::tcp::socket &socket, std::string &pending, boost::system::error_code &error)
{
    static thread_local std::array<char, ReadBytes> scratch;
    const std::size_t got = socket.read_some(boost::asio::buffer(scratch), error);
    if (error == boost::asio::error::would_block || error == boost::asio::error::try_again) {
        error = {};
        return false;
    }
    if (!error) {
        pending.append(scratch.data(), got);
    }
    return !error;
}

} // namespace bergamot::net::internal
