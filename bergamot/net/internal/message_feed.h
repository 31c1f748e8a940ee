#pragma once

// Feeds received bytes to a Beast parser. Beast 1.74 stops the process with a failed assertion when it has seen the
// size line of a last chunk and gets less than five bytes at its next call, so the end of a chunked body is only passed
// on in one piece.
//
//     MessageFeed feed;
//     feed.attach(parser);
//     feed.put(parser, pending, error);

#include <cstdint>
#include <functional>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

namespace bergamot::net::internal
{

/// For parsers with a string as body. Not thread-safe.
class MessageFeed
{
public:
    MessageFeed() = default;
    MessageFeed(const MessageFeed &) = delete;
    MessageFeed &operator=(const MessageFeed &) = delete;

    /// Call it for each new parser, which must not outlive this object.
    template<typename Parser>
    void attach(Parser &parser)
    {
        m_chunkLeft = 0;
        m_onChunkHeader = [this,
                           &parser](std::uint64_t size, boost::beast::string_view, boost::system::error_code &error) {
            m_chunkLeft = size;
            m_countedBytes = parser.get().body().size();
            error = {};
        };
        parser.on_chunk_header(m_onChunkHeader);
    }

    /// Feeds `pending` to the parser and removes what the parser consumed.
    template<typename Parser>
    void put(Parser &parser, std::string &pending, boost::system::error_code &error)
    {
        while (!pending.empty() && !parser.is_done()) {
            const bool atChunkHeader = parser.is_header_done() && parser.chunked() && m_chunkLeft == 0;
            if (atChunkHeader && pending.size() < ShortestEnd.size()) {
                return;
            }
            m_countedBytes = parser.get().body().size();
            const std::size_t used = parser.put(boost::asio::buffer(pending), error);
            pending.erase(0, used);
            m_chunkLeft -= m_chunkLeft == 0 ? 0 : parser.get().body().size() - m_countedBytes;
            if (error == boost::beast::http::error::need_more) {
                error = {};
                return;
            }
            if (error || used == 0) {
                return;
            }
        }
    }

private:
    static constexpr std::string_view ShortestEnd = "0\r\n\r\n"; // follows the data of every chunk

    std::function<void(std::uint64_t, boost::beast::string_view, boost::system::error_code &)> m_onChunkHeader;
    std::uint64_t m_chunkLeft = 0; // bytes of the current chunk that have not arrived
    std::size_t m_countedBytes = 0; // of the body, before the bytes that count for the current chunk
};

} // namespace bergamot::net::internal
