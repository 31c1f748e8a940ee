#pragma once

// Body type for Beast parsers of requests. Unlike `http::string_body` it reserves nothing for an announced length until
// a part of it has arrived, and grows so that little more than the body is resident while it is moved.

#include <algorithm>
#include <cstdint>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

namespace bergamot::net::internal
{

struct RequestBody
{
    using value_type = std::string;

    class reader
    {
    public:
        template<bool IsRequest, class Fields>
        reader(boost::beast::http::header<IsRequest, Fields> &, value_type &body)
            : m_body(body)
        { }

        void init(const boost::optional<std::uint64_t> &length, boost::system::error_code &error)
        {
            m_length = length.value_or(0);
            error = {};
        }

        template<class Buffers>
        std::size_t put(const Buffers &buffers, boost::system::error_code &error)
        {
            error = {};
            std::size_t bytes = 0;
            for (const boost::asio::const_buffer buffer : boost::beast::buffers_range_ref(buffers)) {
                growBy(buffer.size());
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
        void growBy(std::size_t bytes)
        {
            constexpr std::uint64_t KnownGrowth = 4; // an announced length allows larger steps without waste
            const std::uint64_t size = m_body.size() + bytes;
            if (m_length > 0 && size > m_body.capacity()) {
                m_body.reserve(std::max(size, std::min(m_length, KnownGrowth * size)));
            }
        }

        value_type &m_body;
        std::uint64_t m_length = 0; // announced; 0: not known
    };
};

} // namespace bergamot::net::internal
