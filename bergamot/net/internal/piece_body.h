#pragma once

// Body type for Beast parsers that collects the bytes of one read. Unlike `http::string_body` it reserves nothing for
// the announced length, which any peer can set to any number.

#include <cstdint>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

namespace bergamot::net::internal
{

struct PieceBody
{
    using value_type = std::string;

    class reader
    {
    public:
        template<bool IsRequest, class Fields>
        reader(boost::beast::http::header<IsRequest, Fields> &, value_type &body)
            : m_body(body)
        { }

        void init(const boost::optional<std::uint64_t> &, boost::system::error_code &error)
        {
            error = {};
        }

        template<class Buffers>
        std::size_t put(const Buffers &buffers, boost::system::error_code &error)
        {
            error = {};
            std::size_t bytes = 0;
            for (const boost::asio::const_buffer buffer : boost::beast::buffers_range_ref(buffers)) {
                m_body.append(static_cast<const char *>(buffer.data()), buffer.size());
                bytes += buffer.size();
            }
            return bytes;
        }

        void finish(boost::system::error_code &error)
        {
            error = {};
        }

    private:
        value_type &m_body;
    };
};

} // namespace bergamot::net::internal
