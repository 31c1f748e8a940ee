#include "bergamot/protocol/peer_client.h"

#include <map>
#include <set>
#include <thread>

#include "bergamot/protocol/internal/frame_stream.h"

namespace bergamot
{

namespace asio = boost::asio;
using internal::FrameStream;

namespace
{

/// A connection to one peer with the requests that wait for it or for their answer.
struct Connection : std::enable_shared_from_this<Connection>
{
    struct Waiting
    {
        inner::BodyUnion body; // until it is sent
        Callback<inner::FrameT> done;
        std::shared_ptr<asio::steady_timer> timer;
    };

    std::shared_ptr<FrameStream> stream;
    bool open = false;
    bool retired = false; // takes no new requests
    std::map<std::uint64_t, Waiting> waiting;
};

using ConnectionPtr = std::shared_ptr<Connection>;

Error lost(bool sent, const Address &to, const std::string &why)
{
    const std::string text = "peer " + toString(to) + ": " + why;
    return {sent ? ErrorCode::Unknown : ErrorCode::Unavailable, text, std::nullopt};
}

Result<inner::FrameT> readReply(inner::FrameT frame, const PeerIdentity &reader)
{
    if (const std::optional<std::string> mismatch = protocolMismatch(frame, reader)) {
        return failure(ErrorCode::InvalidArgument, *mismatch);
    }
    if (const inner::RefusalT *refusal = frame.body.AsRefusal()) {
        return tl::unexpected(toError(*refusal));
    }
    return frame;
}

} // namespace

struct PeerClient::Impl : std::enable_shared_from_this<PeerClient::Impl>
{
    Impl(PeerIdentity newIdentity, std::size_t newMaxFrameBytes)
        : identity(std::move(newIdentity))
        , maxFrameBytes(newMaxFrameBytes)
    { }

    void
    request(const Address &to, inner::BodyUnion body, std::chrono::milliseconds timeout, Callback<inner::FrameT> done)
    {
        if (stopping) {
            done(failure(ErrorCode::Cancelled, "the client is closing"));
            return;
        }
        const ConnectionPtr connection = connectionTo(to);
        const std::uint64_t correlation = ++lastCorrelation;
        const auto timer = std::make_shared<asio::steady_timer>(context, timeout);
        timer->async_wait([this, to, connection, correlation, timer](const boost::system::error_code &error) {
            if (!error) {
                expire(to, connection, correlation);
            }
        });
        connection->waiting[correlation] = {std::move(body), std::move(done), timer};
        if (connection->open) {
            send(*connection, correlation);
        }
    }

    ConnectionPtr connectionTo(const Address &to)
    {
        ConnectionPtr &connection = connections[to];
        if (connection) {
            return connection;
        }
        connection = std::make_shared<Connection>();
        connection->stream = std::make_shared<FrameStream>(
            asio::ip::tcp::socket(context), FrameStream::Limits{maxFrameBytes, 4 * maxFrameBytes}, counters);
        connect(to, connection);
        return connection;
    }

    void connect(const Address &to, const ConnectionPtr &connection)
    {
        boost::system::error_code error;
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(to.ip, error), to.port);
        if (error) {
            asio::post(context, [this, to, connection] {
                fail(to, connection, "not an IP number");
            });
            return;
        }
        connection->stream->socket().async_connect(
            endpoint, [this, to, connection](const boost::system::error_code &failed) {
                if (failed) {
                    fail(to, connection, failed.message());
                    return;
                }
                connection->open = true;
                connection->stream->start({[this, connection](inner::FrameT frame) {
                                               receive(*connection, std::move(frame));
                                           },
                                           [this, to, connection] {
                                               fail(to, connection, "the connection closed");
                                           }});
                sendAll(*connection);
            });
    }

    void sendAll(Connection &connection)
    {
        std::vector<std::uint64_t> correlations;
        for (const auto &[correlation, entry] : connection.waiting) {
            correlations.push_back(correlation);
        }
        for (const std::uint64_t correlation : correlations) {
            send(connection, correlation);
        }
    }

    void send(Connection &connection, std::uint64_t correlation)
    {
        const auto entry = connection.waiting.find(correlation);
        if (entry == connection.waiting.end()) {
            return; // an earlier frame closed the connection
        }
        const std::shared_ptr<FrameStream> stream = connection.stream;
        stream->send(makeFrame(identity, correlation, std::move(entry->second.body)));
    }

    void receive(Connection &connection, inner::FrameT frame)
    {
        const auto entry = connection.waiting.find(frame.correlation);
        if (entry == connection.waiting.end()) {
            return;
        }
        const Callback<inner::FrameT> done = take(connection, entry);
        closeIfDone(connection.shared_from_this());
        done(readReply(std::move(frame), identity));
    }

    Callback<inner::FrameT> take(Connection &connection, std::map<std::uint64_t, Connection::Waiting>::iterator entry)
    {
        entry->second.timer->cancel();
        Callback<inner::FrameT> done = std::move(entry->second.done);
        connection.waiting.erase(entry);
        return done;
    }

    void closeIfDone(const ConnectionPtr &connection)
    {
        if (connection->retired && connection->waiting.empty()) {
            retired.erase(connection);
            connection->stream->close();
        }
    }

    void retire(const Address &to, const ConnectionPtr &connection)
    {
        connection->retired = true;
        if (!connection->waiting.empty()) {
            retired.insert(connection);
        }
        const auto current = connections.find(to);
        if (current != connections.end() && current->second == connection) {
            connections.erase(current);
        }
    }

    void expire(const Address &to, const ConnectionPtr &connection, std::uint64_t correlation)
    {
        const auto entry = connection->waiting.find(correlation);
        if (entry == connection->waiting.end()) {
            return;
        }
        const bool sent = connection->open;
        const Callback<inner::FrameT> done = take(*connection, entry);
        retire(to, connection);
        closeIfDone(connection);
        done(tl::unexpected(lost(sent, to, "no answer in time")));
    }

    void fail(const Address &to, const ConnectionPtr &connection, const std::string &why)
    {
        retire(to, connection);
        retired.erase(connection);
        const std::map<std::uint64_t, Connection::Waiting> waiting = std::exchange(connection->waiting, {});
        for (const auto &[correlation, entry] : waiting) {
            entry.timer->cancel();
            entry.done(tl::unexpected(lost(connection->open, to, why)));
        }
    }

    void stop()
    {
        stopping = true;
        const std::map<Address, ConnectionPtr> all = std::exchange(connections, {});
        for (const auto &[to, connection] : all) {
            connection->stream->close();
        }
        const std::set<ConnectionPtr> waitingStill = retired;
        for (const ConnectionPtr &connection : waitingStill) {
            connection->stream->close();
        }
        work.reset();
    }

    PeerIdentity identity;
    std::size_t maxFrameBytes;
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> work = asio::make_work_guard(context);
    internal::TrafficCounters counters;
    std::map<Address, ConnectionPtr> connections;
    std::set<ConnectionPtr> retired; // those with requests still waiting
    std::uint64_t lastCorrelation = 0;
    bool stopping = false;
    std::thread thread;
};

PeerClient::PeerClient(PeerIdentity identity, std::size_t maxFrameBytes)
    : m_impl(std::make_shared<Impl>(std::move(identity), maxFrameBytes))
{
    m_impl->thread = std::thread([impl = m_impl.get()] {
        impl->context.run();
    });
}

PeerClient::~PeerClient()
{
    asio::post(m_impl->context, [impl = m_impl.get()] {
        impl->stop();
    });
    m_impl->thread.join();
}

void PeerClient::request(const Address &to,
                         inner::BodyUnion body,
                         std::chrono::milliseconds timeout,
                         Callback<inner::FrameT> done)
{
    const auto moved = std::make_shared<inner::BodyUnion>(std::move(body));
    asio::post(m_impl->context, [impl = m_impl.get(), to, moved, timeout, done = std::move(done)] {
        impl->request(to, std::move(*moved), timeout, done);
    });
}

Traffic PeerClient::traffic() const
{
    return m_impl->counters.read();
}

} // namespace bergamot
