#include "bergamot/protocol/peer_server.h"

#include <list>
#include <thread>

#include "bergamot/protocol/internal/frame_stream.h"

namespace bergamot
{

namespace asio = boost::asio;
using internal::FrameStream;

struct PeerServer::Impl : std::enable_shared_from_this<PeerServer::Impl>
{
    using StreamPtr = std::shared_ptr<FrameStream>;

    Impl(PeerServerOptions newOptions, Handler newHandler)
        : options(std::move(newOptions))
        , handler(std::move(newHandler))
    { }

    Result<void> open()
    {
        boost::system::error_code error;
        const asio::ip::address ip = asio::ip::make_address(options.address.ip, error);
        const asio::ip::tcp::endpoint endpoint(ip, options.address.port);
        if (!error) {
            acceptor.open(endpoint.protocol(), error);
        }
        if (!error) {
            acceptor.set_option(asio::socket_base::reuse_address(true), error);
            acceptor.bind(endpoint, error);
        }
        if (!error) {
            acceptor.listen(asio::socket_base::max_listen_connections, error);
        }
        if (error) {
            return failure(ErrorCode::Unavailable,
                           "cannot listen on " + toString(options.address) + ": " + error.message());
        }
        bound = {options.address.ip, acceptor.local_endpoint().port()};
        return {};
    }

    void accept()
    {
        acceptor.async_accept(
            [self = shared_from_this()](const boost::system::error_code &error, asio::ip::tcp::socket socket) {
                if (error == asio::error::operation_aborted) {
                    return;
                }
                if (!error) {
                    self->adopt(std::move(socket));
                }
                self->accept();
            });
    }

    void adopt(asio::ip::tcp::socket socket)
    {
        if (streams.size() >= options.maxConnections) {
            const StreamPtr idlest = streams.front();
            idlest->close();
        }
        const auto stream = std::make_shared<FrameStream>(
            std::move(socket), FrameStream::Limits{options.maxFrameBytes, options.maxQueuedBytes}, counters);
        const auto place = streams.insert(streams.end(), stream);
        stream->start({[this, place](inner::FrameT frame) {
                           streams.splice(streams.end(), streams, place);
                           receive(*place, std::move(frame));
                       },
                       [this, place] {
                           streams.erase(place);
                       }});
    }

    void receive(const StreamPtr &stream, inner::FrameT frame)
    {
        const std::uint64_t correlation = frame.correlation;
        if (const std::optional<std::string> mismatch = protocolMismatch(frame, options.identity)) {
            stream->send(makeFrame(options.identity, correlation, makeRefusal(ProtocolRefusal, *mismatch)));
            return;
        }
        if (frame.body.type == inner::Body::NONE) {
            stream->send(makeFrame(options.identity,
                                   correlation,
                                   makeRefusal(UnknownBodyRefusal, "this program does not know that body")));
            return;
        }
        if (framesInFlight->load() >= options.maxFramesInFlight) {
            const Error busy{ErrorCode::Overloaded, "too many frames in flight", std::chrono::milliseconds(1000)};
            stream->send(makeFrame(options.identity, correlation, makeRefusal(busy)));
            return;
        }
        handler(std::move(frame), makeReply(stream, correlation));
    }

    /// Counts a request as in flight until its reply is given or dropped.
    struct InFlight
    {
        explicit InFlight(std::shared_ptr<std::atomic<std::size_t>> newCount)
            : count(std::move(newCount))
        {
            ++*count;
        }
        ~InFlight()
        {
            --*count;
        }
        InFlight(const InFlight &) = delete;
        InFlight &operator=(const InFlight &) = delete;

        std::shared_ptr<std::atomic<std::size_t>> count;
        std::atomic<bool> answered{false};
    };

    Reply makeReply(const StreamPtr &stream, std::uint64_t correlation)
    {
        return [server = weak_from_this(),
                stream = std::weak_ptr(stream),
                correlation,
                inFlight = std::make_shared<InFlight>(framesInFlight)](inner::BodyUnion body) {
            const std::shared_ptr<Impl> self = server.lock();
            if (!self || inFlight->answered.exchange(true)) {
                return;
            }
            const auto frame =
                std::make_shared<inner::FrameT>(makeFrame(self->options.identity, correlation, std::move(body)));
            asio::post(self->context, [stream, frame] {
                if (const StreamPtr open = stream.lock()) {
                    open->send(*frame);
                }
            });
        };
    }

    void stop()
    {
        asio::post(context, [this] {
            boost::system::error_code ignored;
            acceptor.close(ignored);
            while (!streams.empty()) {
                const StreamPtr stream = streams.front();
                stream->close();
            }
            work.reset();
        });
        if (thread.joinable()) {
            thread.join();
        }
    }

    PeerServerOptions options;
    Handler handler;
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> work = asio::make_work_guard(context);
    asio::ip::tcp::acceptor acceptor{context};
    Address bound;
    std::list<StreamPtr> streams; // the one that has been idle the longest first
    std::shared_ptr<std::atomic<std::size_t>> framesInFlight = std::make_shared<std::atomic<std::size_t>>(0);
    internal::TrafficCounters counters;
    std::thread thread;
};

PeerServer::PeerServer(PeerServerOptions options, Handler handler)
    : m_impl(std::make_shared<Impl>(std::move(options), std::move(handler)))
{ }

PeerServer::~PeerServer()
{
    stop();
}

Result<void> PeerServer::start()
{
    if (Result<void> opened = m_impl->open(); !opened) {
        return opened;
    }
    m_impl->accept();
    m_impl->thread = std::thread([impl = m_impl.get()] {
        impl->context.run();
    });
    return {};
}

Address PeerServer::address() const
{
    return m_impl->bound;
}

Traffic PeerServer::traffic() const
{
    return m_impl->counters.read();
}

void PeerServer::stop()
{
    m_impl->stop();
}

} // namespace bergamot
