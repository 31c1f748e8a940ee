#pragma once

// One TCP connection that carries frames both ways; shared by the peer server and client. Confined to the thread of
// its io_context. Lives until `close`, or until the other side closes or breaks the protocol.

#include <atomic>
#include <deque>
#include <functional>
#include <memory>

#include <boost/asio.hpp>

#include "bergamot/protocol/frame.h"

namespace bergamot::internal
{

/// Counted on the I/O thread, read from any thread.
struct TrafficCounters
{
    std::atomic<std::uint64_t> bytesReceived{0};
    std::atomic<std::uint64_t> bytesSent{0};
    std::atomic<std::uint64_t> framesReceived{0};
    std::atomic<std::uint64_t> framesSent{0};

    Traffic read() const;
};

class FrameStream : public std::enable_shared_from_this<FrameStream>
{
public:
    struct Limits
    {
        std::size_t maxFrameBytes = MaxFrameBytes;
        std::size_t maxQueuedBytes = 4 * MaxFrameBytes;
    };
    struct Events
    {
        std::function<void(inner::FrameT frame)> received;
        std::function<void()> closed; // once; the socket is gone
    };

    FrameStream(boost::asio::ip::tcp::socket socket, Limits limits, TrafficCounters &counters);

    boost::asio::ip::tcp::socket &socket();
    /// Starts reading. `events` are dropped after `closed`.
    void start(Events events);
    void send(const inner::FrameT &frame);
    void close();

private:
    void read();
    void consume(std::size_t byteCount);
    void write();

    boost::asio::ip::tcp::socket m_socket;
    Limits m_limits;
    TrafficCounters &m_counters;
    Events m_events;
    FrameSplitter m_splitter;
    std::vector<char> m_input;
    std::deque<std::string> m_output;
    std::size_t m_queuedBytes = 0;
    bool m_closed = false;
};

} // namespace bergamot::internal
