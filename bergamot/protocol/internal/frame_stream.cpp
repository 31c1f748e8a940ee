#include "bergamot/protocol/internal/frame_stream.h"

namespace bergamot::internal
{

namespace
{

constexpr std::size_t ReadBufferBytes = 16U << 10U;

} // namespace

Traffic TrafficCounters::read() const
{
    return {bytesReceived.load(), bytesSent.load(), framesReceived.load(), framesSent.load()};
}

FrameStream::FrameStream(boost::asio::ip::tcp::socket socket, Limits limits, TrafficCounters &counters)
    : m_socket(std::move(socket))
    , m_limits(limits)
    , m_counters(counters)
    , m_splitter(limits.maxFrameBytes)
    , m_input(ReadBufferBytes)
{ }

boost::asio::ip::tcp::socket &FrameStream::socket()
{
    return m_socket;
}

void FrameStream::start(Events events)
{
    m_events = std::move(events);
    boost::system::error_code ignored;
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    read();
}

void FrameStream::read()
{
    m_socket.async_read_some(
        boost::asio::buffer(m_input),
        [self = shared_from_this()](const boost::system::error_code &error, std::size_t byteCount) {
            if (error) {
                self->close();
                return;
            }
            self->consume(byteCount);
        });
}

void FrameStream::consume(std::size_t byteCount)
{
    m_counters.bytesReceived += byteCount;
    m_splitter.feed({m_input.data(), byteCount});
    while (!m_closed) {
        Result<std::optional<std::string>> payload = m_splitter.next();
        if (!payload) {
            close();
            return;
        }
        if (!payload->has_value()) {
            read();
            return;
        }
        Result<inner::FrameT> frame = decodeFrame(**payload);
        if (!frame) {
            close();
            return;
        }
        ++m_counters.framesReceived;
        m_events.received(std::move(*frame));
    }
}

void FrameStream::send(const inner::FrameT &frame)
{
    if (m_closed) {
        return;
    }
    std::string bytes = encodeFrame(frame);
    if (bytes.size() > m_limits.maxFrameBytes + FrameLengthBytes
        || m_queuedBytes + bytes.size() > m_limits.maxQueuedBytes) {
        close();
        return;
    }
    m_queuedBytes += bytes.size();
    ++m_counters.framesSent;
    m_output.push_back(std::move(bytes));
    if (m_output.size() == 1) {
        write();
    }
}

void FrameStream::write()
{
    boost::asio::async_write(
        m_socket,
        boost::asio::buffer(m_output.front()),
        [self = shared_from_this()](const boost::system::error_code &error, std::size_t byteCount) {
            self->m_counters.bytesSent += byteCount;
            if (error) {
                self->close();
                return;
            }
            self->m_queuedBytes -= byteCount;
            self->m_output.pop_front();
            if (!self->m_output.empty() && !self->m_closed) {
                self->write();
            }
        });
}

void FrameStream::close()
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    boost::system::error_code ignored;
    m_socket.close(ignored);
    const Events events = std::exchange(m_events, {});
    if (events.closed) {
        events.closed();
    }
}

} // namespace bergamot::internal
