// The bounds of the server against callers on raw sockets, which do what no client library would.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <future>

#include <gtest/gtest.h>

#include "bergamot/http/internal/connection_watch.h"
#include "bergamot/http/server.h"

namespace bergamot
{
namespace
{

using namespace std::chrono_literals;

constexpr std::chrono::seconds Patience{20};
constexpr std::size_t BodyLimit = 100'000;
constexpr std::size_t HeadLimit = 4096;
constexpr std::size_t MoreThanAKernelKeeps = 32U << 20U;
constexpr std::size_t Endless = 1U << 30U; // far above every bound here and what a kernel keeps for a connection

/// A raw connection to a server.
class RawCaller
{
public:
    explicit RawCaller(const Address &to)
        : m_descriptor(::socket(AF_INET, SOCK_STREAM, 0))
    {
        const timeval limit{.tv_sec = Patience.count(), .tv_usec = 0};
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
        sockaddr_in name{};
        name.sin_family = AF_INET;
        name.sin_port = htons(to.port);
        inet_pton(AF_INET, to.ip.c_str(), &name.sin_addr);
        m_connected = ::connect(m_descriptor, reinterpret_cast<sockaddr *>(&name), sizeof(name)) == 0;
    }

    ~RawCaller()
    {
        ::close(m_descriptor);
    }

    RawCaller(const RawCaller &) = delete;
    RawCaller &operator=(const RawCaller &) = delete;

    bool connected() const
    {
        return m_connected;
    }

    /// False once the server has closed the connection.
    bool send(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            const ssize_t sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

    /// What has come up to `text`, or up to the end of the connection.
    std::string readUntil(std::string_view text) const
    {
        std::string received;
        char byte = 0;
        while (received.find(text) == std::string::npos && ::recv(m_descriptor, &byte, 1, 0) == 1) {
            received.push_back(byte);
        }
        return received;
    }

    /// Whether the server ends the connection before `Patience` has passed; what comes before is dropped.
    bool ends() const
    {
        std::string part(4096, '\0');
        ssize_t count = 1;
        while (count > 0) {
            count = ::recv(m_descriptor, part.data(), part.size(), 0);
        }
        return count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    }

    /// Whether the server ends this connection before `other`; neither may have been sent anything.
    bool endsBefore(const RawCaller &other) const
    {
        std::array<pollfd, 2> both{pollfd{m_descriptor, POLLIN, 0}, pollfd{other.m_descriptor, POLLIN, 0}};
        const int limit = static_cast<int>(std::chrono::milliseconds(Patience).count());
        EXPECT_GT(::poll(both.data(), both.size(), limit), 0);
        return both[0].revents != 0;
    }

private:
    int m_descriptor;
    bool m_connected = false;
};

class ServerBounds : public testing::Test
{
protected:
    static HttpServerOptions options()
    {
        HttpServerOptions options;
        options.address = {"127.0.0.1", 0};
        options.maxBodyBytes = BodyLimit;
        options.maxHeadBytes = HeadLimit;
        options.refusalHeaders["X-Refused"] = "here";
        return options;
    }

    /// Serves with `options`; each request is counted and answered with its path, but for "/held".
    void serve(HttpServerOptions options)
    {
        m_server = std::make_unique<HttpServer>(std::move(options),
                                                [this](const HttpRequest &request, const ResponderPtr &responder) {
                                                    ++m_handled;
                                                    if (request.path == "/held") {
                                                        m_held.set_value(responder);
                                                    } else {
                                                        responder->reply({.body = request.path});
                                                    }
                                                });
        ASSERT_TRUE(m_server->start());
    }

    /// What the server does each second, with other limits; how many connections there were.
    std::size_t lookOnce(const ConnectionLimits &limits) const
    {
        return http_internal::ConnectionWatch(m_server->address(), limits).closeByLimits();
    }

    /// Waits until the server has accepted `count` connections.
    void waitForConnections(std::size_t count) const
    {
        const auto limit = std::chrono::steady_clock::now() + Patience;
        while (lookOnce({}) < count && std::chrono::steady_clock::now() < limit) {
            std::this_thread::yield();
        }
    }

    std::atomic<int> m_handled{0};
    std::promise<ResponderPtr> m_held;
    std::unique_ptr<HttpServer> m_server;
};

struct EndlessCase
{
    std::string name;
    std::string head;
    std::string part; // sent again and again
};

class EndlessRequest : public ServerBounds, public testing::WithParamInterface<EndlessCase>
{ };

TEST_P(EndlessRequest, isCutOff)
{
    HttpServerOptions limited = options();
    limited.connections.period = 1ms;
    serve(std::move(limited));
    const RawCaller caller(m_server->address());
    ASSERT_TRUE(caller.send(GetParam().head));
    std::size_t sent = 0;
    while (sent < Endless && caller.send(GetParam().part)) {
        sent += GetParam().part.size();
    }
    EXPECT_LT(sent, Endless);
    EXPECT_EQ(m_handled, 0);
    EXPECT_TRUE(m_server->drain(Patience));
}

INSTANTIATE_TEST_SUITE_P(Table,
                         EndlessRequest,
                         testing::Values(EndlessCase{"head", "GET / HTTP/1.1\r\nX-Long: ", std::string(0x10000, 'x')},
                                         EndlessCase{"chunked",
                                                     "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n",
                                                     "10000\r\n" + std::string(0x10000, 'x') + "\r\n"},
                                         EndlessCase{"declared",
                                                     "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000000\r\n\r\n",
                                                     std::string(0x10000, 'x')}),
                         [](const testing::TestParamInfo<EndlessCase> &test) {
                             return test.param.name;
                         });

TEST_F(ServerBounds, aHeadAboveTheLimitIsRefused)
{
    serve(options());
    const RawCaller caller(m_server->address());
    ASSERT_TRUE(caller.send("GET / HTTP/1.1\r\nHost: x\r\nX-Long: " + std::string(HeadLimit, 'x') + "\r\n\r\n"));
    const std::string head = caller.readUntil("\r\n\r\n");
    EXPECT_EQ(head.rfind("HTTP/1.1 431", 0), 0U) << head;
    EXPECT_NE(head.find("X-Refused: here"), std::string::npos) << head;
    EXPECT_EQ(m_handled, 0);
}

TEST_F(ServerBounds, aSilentConnectionIsClosed)
{
    HttpServerOptions limited = options();
    limited.connections.idle = 50ms;
    limited.connections.period = 10ms;
    serve(std::move(limited));
    const RawCaller silent(m_server->address());
    EXPECT_TRUE(silent.ends());
}

TEST_F(ServerBounds, idleConnectionsAreClosedWhateverCameBefore)
{
    serve(options());
    const RawCaller silent(m_server->address());
    const RawCaller halfHead(m_server->address());
    const RawCaller answered(m_server->address());
    ASSERT_TRUE(halfHead.send("GET / HT"));
    ASSERT_TRUE(answered.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n"));
    EXPECT_NE(answered.readUntil("/a").find("200"), std::string::npos);
    waitForConnections(3);
    EXPECT_EQ(lookOnce({.idle = 0ms}), 3U);
    EXPECT_TRUE(silent.ends());
    EXPECT_TRUE(halfHead.ends());
    EXPECT_TRUE(answered.ends());
}

TEST_F(ServerBounds, anAnswerThatTakesLongerThanAnIdleConnectionMayIsWhole)
{
    serve(options());
    const RawCaller caller(m_server->address());
    ASSERT_TRUE(caller.send("GET /held HTTP/1.1\r\nHost: x\r\n\r\n"));
    const ResponderPtr held = m_held.get_future().get();
    EXPECT_EQ(lookOnce({.idle = 0ms}), 1U);
    held->beginStream({});
    EXPECT_TRUE(held->write("one"));
    EXPECT_NE(caller.readUntil("one").find("200"), std::string::npos);
    EXPECT_TRUE(held->write("two"));
    held->endStream();
    EXPECT_NE(caller.readUntil("\r\n0\r\n\r\n").find("two"), std::string::npos);
    EXPECT_TRUE(caller.ends());
}

TEST_F(ServerBounds, aCallerThatTakesNothingIsCutOff)
{
    HttpServerOptions limited = options();
    limited.maxStreamBacklogBytes = Endless;
    limited.maxStreamBacklogBytesInAll = Endless;
    limited.connections.stalled = 50ms;
    limited.connections.period = 10ms;
    serve(std::move(limited));
    const RawCaller caller(m_server->address());
    ASSERT_TRUE(caller.send("GET /held HTTP/1.1\r\nHost: x\r\n\r\n"));
    const ResponderPtr held = m_held.get_future().get();
    held->beginStream({});
    EXPECT_TRUE(held->write(std::string(MoreThanAKernelKeeps, 'x')));
    EXPECT_TRUE(m_server->drain(Patience));
    EXPECT_FALSE(held->write("more"));
}

TEST_F(ServerBounds, aConnectionAboveTheLimitIsClosed)
{
    serve(options());
    const RawCaller first(m_server->address());
    const RawCaller second(m_server->address());
    waitForConnections(2);
    EXPECT_EQ(lookOnce({.most = 1}), 2U);
    const RawCaller &left = first.endsBefore(second) ? second : first;
    ASSERT_TRUE(left.send("GET /b HTTP/1.1\r\nHost: x\r\n\r\n"));
    const std::string answer = left.readUntil("/b");
    EXPECT_NE(answer.find("200"), std::string::npos) << answer;
}

TEST_F(ServerBounds, aStoppedServerRefusesAtOnceWhileAnotherIsOpen)
{
    HttpServer other({.address = {"127.0.0.1", 0}}, [](const HttpRequest &, const ResponderPtr &responder) {
        responder->reply({});
    });
    ASSERT_TRUE(other.start());
    serve(options());
    const Address address = m_server->address();
    m_server->stop();
    for (const bool destroyed : {false, true}) {
        if (destroyed) {
            m_server.reset();
        }
        const RawCaller caller(address);
        if (caller.connected()) {
            ASSERT_TRUE(caller.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n"));
            const std::string head = caller.readUntil("\r\n\r\n");
            EXPECT_EQ(head.rfind("HTTP/1.1 503", 0), 0U) << head;
            EXPECT_NE(head.find("Retry-After: 1"), std::string::npos) << head;
            EXPECT_NE(head.find("X-Refused: here"), std::string::npos) << head;
        }
    }
    EXPECT_EQ(m_handled, 0);
    other.stop();
    EXPECT_FALSE(RawCaller(address).connected()) << "the last server that stops closes every port";
}

TEST_F(ServerBounds, aStoppedServerServesAgainOnItsPort)
{
    HttpServer other({.address = {"127.0.0.1", 0}}, [](const HttpRequest &, const ResponderPtr &) {});
    ASSERT_TRUE(other.start());
    serve(options());
    m_server->stop();
    ASSERT_TRUE(m_server->start());
    const RawCaller caller(m_server->address());
    ASSERT_TRUE(caller.send("GET /again HTTP/1.1\r\nHost: x\r\n\r\n"));
    EXPECT_NE(caller.readUntil("/again").find("200"), std::string::npos);
}

TEST_F(ServerBounds, theHandlerNoLongerRunsOnceStopReturns)
{
    serve(options());
    const RawCaller caller(m_server->address());
    ASSERT_TRUE(caller.send("POST /late HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nab"));
    HttpServer other({.address = {"127.0.0.1", 0}}, [](const HttpRequest &, const ResponderPtr &) {});
    ASSERT_TRUE(other.start());
    m_server->stop();
    ASSERT_TRUE(caller.send("cd"));
    EXPECT_EQ(caller.readUntil("\r\n\r\n").rfind("HTTP/1.1 503", 0), 0U);
    EXPECT_EQ(m_handled, 0);
}

} // namespace
} // namespace bergamot
