#pragma once

// Body type for Beast parsers of requests. Unlike `http::string_body` it reserves nothing for an announced length until
// a part of it has arrived, and grows so that little more than the body is resident while it is moved.

#include <algorithm>

#include <boost/beast/core/buffer_traits.hpp>

#include "bergamot/net/internal/piece_body.h"

namespace bergamot::net::internal
{

struct RequestBody
{
    using value_type = std::string;

    class reader : public PieceBody::reader
    {
    public:
        template<bool IsRequest, class Fields>
        reader(boost::beast::http::header<IsRequest, Fields> &head, value_type &body)
            : PieceBody::reader(head, body)
            , m_body(body)
        { }

        void init(const boost::optional<std::uint64_t> &length, boost::system::error_code &error)
        {
            m_length = length.value_or(0);
            PieceBody::reader::init(length, error);
        }

        template<class Buffers>
        std::size_t put(const Buffers &buffers, boost::system::error_code &error)
        {
            constexpr std::uint64_t KnownGrowth = 4; // an announced length allows larger steps without waste
            const std::uint64_t size = m_body.size() + boost::beast::buffer_bytes(buffers);
            if (m_length > 0 && size > m_body.capacity()) {
                m_body.reserve(std::max(size, std::min(m_length, KnownGrowth * size)));
            }
            return PieceBody::reader::put(buffers, error);
        }

    private:
        value_type &m_body;
        std::uint64_t m_length = 0; // announced; 0: not known
    };
};

} // namespace bergamot::net::internal
