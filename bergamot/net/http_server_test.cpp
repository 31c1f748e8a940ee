#include "bergamot/net/http_server.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace bergamot::net
{
namespace
{

using boost::asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

class HttpServerTest : public testing::Test
{
protected:
    HttpServerTest()
        : m_server(m_loop, [this](std::shared_ptr<Exchange> exchange) {
            m_exchanges.push_back(exchange);
            if (m_onRequest) {
                m_onRequest(*exchange);
            }
        })
    {
        EXPECT_TRUE(m_server.listen({"127.0.0.1", 0}));
        m_caller.connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), m_server.port()));
    }

    void send(std::string_view text)
    {
        boost::asio::write(m_caller, boost::asio::buffer(text));
    }

    /// Runs the loop until `done`. The bound on the iterations is reached only if the server hangs.
    template<typename Done>
    void runUntil(Done done)
    {
        for (int iteration = 0; iteration < 5000 && !done(); ++iteration) {
            m_loop.run_one_for(20ms);
        }
        ASSERT_TRUE(done());
    }

    void awaitRequests(std::size_t count)
    {
        runUntil([this, count] {
            return m_exchanges.size() >= count;
        });
    }

    /// Reads until the received data contains `text` or the connection has ended; returns the data.
    std::string receive(std::string_view text)
    {
        m_caller.non_blocking(true);
        std::string received;
        runUntil([&] {
            std::array<char, 4096> bytes{};
            error_code error;
            const std::size_t got = m_caller.read_some(boost::asio::buffer(bytes), error);
            received.append(bytes.data(), got);
            m_connectionEnded = error && error != boost::asio::error::would_block;
            return m_connectionEnded || received.find(text) != std::string::npos;
        });
        return received;
    }

    boost::asio::io_context m_loop;
    std::vector<std::shared_ptr<Exchange>> m_exchanges;
    std::function<void(Exchange &)> m_onRequest;
    HttpServer m_server;
    tcp::socket m_caller{m_loop};
    bool m_connectionEnded = false;
};

struct BodyCase
{
    const char *name;
    const char *request;
    const char *body;
};

class BodyTest : public HttpServerTest, public testing::WithParamInterface<BodyCase>
{ };

TEST_P(BodyTest, ReadsBodiesWithALengthOrInChunks)
{
    send(GetParam().request);
    awaitRequests(1);
    EXPECT_EQ(m_exchanges.front()->request().body, GetParam().body);
    m_exchanges.front()->respond({.status = 200, .body = "done"});
    EXPECT_NE(receive("done").find("HTTP/1.1 200 OK\r\n"), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(
    Bodies,
    BodyTest,
    testing::Values(
        BodyCase{"None", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", ""},
        BodyCase{"Length", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", "abc"},
        BodyCase{"Chunks",
                 "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n2\r\nbc\r\n0\r\n\r\n",
                 "abc"}),
    [](const auto &test) {
        return test.param.name;
    });

struct SplitCase
{
    const char *name;
    std::string fields;
    std::string content; // behind the head
    std::string body;
};

/// A shape of a request, and the bytes of each piece in which it arrives.
using SplitParam = std::tuple<SplitCase, std::size_t>;

class SplitRequestTest : public HttpServerTest, public testing::WithParamInterface<SplitParam>
{ };

TEST_P(SplitRequestTest, ARequestMayArriveInPiecesOfAnySize)
{
    const auto &[shape, pieceBytes] = GetParam();
    const std::string request = "POST /a HTTP/1.1\r\n" + shape.fields + "\r\n" + shape.content;
    for (std::size_t position = 0; position < request.size(); position += pieceBytes) {
        send(std::string_view(request).substr(position, pieceBytes));
        m_loop.poll();
        m_loop.run_one_for(1ms);
    }
    awaitRequests(1);
    EXPECT_EQ(m_exchanges.front()->request().body, shape.body);
    m_exchanges.front()->respond({.body = "done"});
    EXPECT_NE(receive("done").find("HTTP/1.1 200 OK\r\n"), std::string::npos);
}

const std::string ChunkedField = "Transfer-Encoding: chunked\r\n";

INSTANTIATE_TEST_SUITE_P(
    Shapes,
    SplitRequestTest,
    testing::Combine(testing::Values(SplitCase{"Length", "Content-Length: 3\r\n", "abc", "abc"},
                                     SplitCase{"OnlyLastChunk", ChunkedField, "0\r\n\r\n", ""},
                                     SplitCase{"Chunks", ChunkedField, "3\r\nabc\r\n1\r\nd\r\n0\r\n\r\n", "abcd"},
                                     SplitCase{"Extensions", ChunkedField, "3;a=b\r\nabc\r\n0;c\r\n\r\n", "abc"},
                                     SplitCase{"LastChunkExtension", ChunkedField, "0;c=d\r\n\r\n", ""},
                                     SplitCase{"Trailer", ChunkedField, "0\r\nT: 1\r\n\r\n", ""},
                                     SplitCase{"ChunkAndTrailer", ChunkedField, "1\r\nx\r\n00\r\nT: 1\r\n\r\n", "x"}),
                     testing::Values(1, 2, 3, 4, 5, 7, 1000)),
    [](const auto &test) {
        return std::get<0>(test.param).name + std::to_string(std::get<1>(test.param));
    });

/// A peer that resets a connection discards what the other side has not read.
class RefusalTest : public HttpServerTest, public testing::WithParamInterface<const char *>
{ };

TEST_P(RefusalTest, ARefusalReachesACallerThatStillSends)
{
    m_server.setLimits({.headerBytes = 200, .bodyBytes = 10});
    const std::string request = GetParam();
    m_caller.non_blocking(true);
    const std::string rest(std::size_t{64} * 1024, 'x');
    std::size_t sent = 0;
    error_code error;
    send(request);
    constexpr std::size_t RestBytes = std::size_t{8} * 1024 * 1024; // exceeds the buffers of a connection
    runUntil([&] {
        sent += m_caller.write_some(boost::asio::buffer(rest), error);
        return sent >= RestBytes || (error && error != boost::asio::error::would_block);
    });
    EXPECT_GE(sent, RestBytes) << error.message();
    EXPECT_NE(receive("\r\n\r\n").find("HTTP/1.1 4"), std::string::npos);
    EXPECT_TRUE(m_exchanges.empty());
}

INSTANTIATE_TEST_SUITE_P(Requests,
                         RefusalTest,
                         testing::Values("POST / HTTP/1.1\r\nContent-Length: 90000000\r\n\r\n",
                                         "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5000000\r\n",
                                         "POST / HTTP/1.1\r\nLong: "));

class UnboundedFramingTest : public HttpServerTest, public testing::WithParamInterface<std::tuple<const char *, bool>>
{ };

TEST_P(UnboundedFramingTest, FramingIsBoundedLikeTheHead)
{
    const auto &[framing, drips] = GetParam();
    m_server.setLimits({.headerBytes = 200});
    send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + std::string(framing));
    const std::string piece = drips ? "x" : std::string(400, 'x');
    for (int count = 0; count < (drips ? 400 : 1); ++count) {
        send(piece);
        m_loop.poll();
    }
    EXPECT_NE(receive("\r\n\r\n").find(" 431 "), std::string::npos);
    EXPECT_TRUE(m_exchanges.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Shapes,
    UnboundedFramingTest,
    testing::Combine(testing::Values("5;name=", "0;name=", "0\r\n", "0\r\nName: ", "1\r\na\r\n0\r\nName: "),
                     testing::Bool()));

struct RejectCase
{
    const char *name;
    std::string request;
    const char *status;
};

class RejectTest : public HttpServerTest, public testing::WithParamInterface<RejectCase>
{ };

TEST_P(RejectTest, OversizedAndMalformedRequestsAreRefusedWithTheirStatus)
{
    m_server.setLimits({.headerBytes = 200, .bodyBytes = 10});
    send(GetParam().request);
    EXPECT_NE(receive("\r\n\r\n").find(GetParam().status), std::string::npos);
    EXPECT_TRUE(m_exchanges.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Requests,
    RejectTest,
    testing::Values(RejectCase{"LongHead", "GET / HTTP/1.1\r\nLong: " + std::string(400, 'x') + "\r\n\r\n", " 431 "},
                    RejectCase{"LongBody", "POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n", " 413 "},
                    RejectCase{"Garbage", "\x01\x02 nothing\r\n\r\n", " 400 "}),
    [](const auto &test) {
        return test.param.name;
    });

struct DisconnectCase
{
    const char *name;
    bool streaming;
    bool responded;
    bool notified;
};

class DisconnectTest : public HttpServerTest, public testing::WithParamInterface<DisconnectCase>
{ };

TEST_P(DisconnectTest, ADisconnectIsReportedWhileTheResponseIsPending)
{
    send("GET /a HTTP/1.1\r\n\r\n");
    awaitRequests(1);
    bool notified = false;
    m_exchanges.front()->onCallerDisconnected([&notified] {
        notified = true;
    });
    if (GetParam().streaming) {
        m_exchanges.front()->beginStream({.status = 200});
        m_exchanges.front()->write("first");
        receive("first");
    }
    if (GetParam().responded) {
        m_exchanges.front()->respond({.body = "all"});
        receive("all");
    }
    m_caller.close();
    runUntil([this] {
        return m_server.connections() == 0;
    });
    EXPECT_EQ(notified, GetParam().notified);
    EXPECT_EQ(m_server.pending(), 0U);
}

INSTANTIATE_TEST_SUITE_P(Moments,
                         DisconnectTest,
                         testing::Values(DisconnectCase{"BeforeTheResponse", false, false, true},
                                         DisconnectCase{"DuringAStream", true, false, true},
                                         DisconnectCase{"AfterTheResponse", false, true, false}),
                         [](const auto &test) {
                             return test.param.name;
                         });

TEST_F(HttpServerTest, AnAbortedStreamDoesNotLookComplete)
{
    send("GET /a HTTP/1.1\r\n\r\n");
    awaitRequests(1);
    m_exchanges.front()->beginStream({.status = 200});
    m_exchanges.front()->write("part");
    std::string received = receive("part");
    m_exchanges.front()->abort();
    received += receive("never");
    EXPECT_TRUE(m_connectionEnded);
    EXPECT_EQ(received.find("0\r\n\r\n"), std::string::npos);
}

TEST_F(HttpServerTest, PipelinedRequestsAreAnsweredInOrder)
{
    send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    awaitRequests(1);
    EXPECT_EQ(m_exchanges.size(), 1U);
    m_exchanges.front()->respond({.body = "first"});
    awaitRequests(2);
    EXPECT_EQ(m_exchanges.front()->request().target, "/2"); // a connection reuses its exchange object
    m_exchanges.back()->respond({.body = "second"});
    EXPECT_NE(receive("second").find("first"), std::string::npos);
}

TEST_F(HttpServerTest, WhileDrainingAResponseClosesItsConnection)
{
    send("GET /1 HTTP/1.1\r\n\r\n");
    awaitRequests(1);
    m_server.drain();
    m_exchanges.front()->respond({.body = "last"});
    std::string received = receive("last");
    EXPECT_NE(received.find("Connection: close"), std::string::npos);
    receive("never");
    EXPECT_TRUE(m_connectionEnded);
}

TEST_F(HttpServerTest, CloseIdleKeepsConnectionsWithPendingRequests)
{
    send("GET /1 HTTP/1.1\r\n\r\n");
    awaitRequests(1);
    m_server.closeIdle();
    EXPECT_EQ(m_server.connections(), 1U);
    m_exchanges.front()->respond({.body = "whole"});
    EXPECT_NE(receive("whole").find("whole"), std::string::npos);
    runUntil([this] {
        return m_server.pending() == 0;
    });
    m_server.closeIdle();
    EXPECT_EQ(m_server.connections(), 0U);
}

TEST_F(HttpServerTest, APendingRequestIsAnsweredOnceForAll)
{
    send("GET /1 HTTP/1.1\r\n\r\n");
    awaitRequests(1);
    m_server.answerPending({.status = 504, .body = "the last"});
    m_exchanges.front()->respond({.body = "too late"});
    std::string received = receive("the last");
    EXPECT_NE(received.find("HTTP/1.1 504"), std::string::npos);
    received += receive("never");
    EXPECT_TRUE(m_connectionEnded);
    EXPECT_EQ(received.find("too late"), std::string::npos);
}

TEST_F(HttpServerTest, AnIncompleteRequestHeadTimesOut)
{
    m_server.setLimits({.requestTimeout = 50ms});
    send("GET /1 HTT");
    receive("never");
    EXPECT_TRUE(m_connectionEnded);
}

TEST_F(HttpServerTest, AnAnswerAfterAStreamHasBegunBreaksTheStreamOff)
{
    send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    awaitRequests(1);
    m_exchanges[0]->beginStream({.status = 200});
    m_exchanges[0]->write("first");
    EXPECT_NE(receive("first").find("first"), std::string::npos);
    m_exchanges[0]->respond({.status = 500, .body = "failed"});
    const std::string received = receive("never sent");
    EXPECT_TRUE(m_connectionEnded);
    EXPECT_EQ(received.find("HTTP/1.1 500"), std::string::npos);
    EXPECT_EQ(received.find("0\r\n\r\n"), std::string::npos);
}

} // namespace
} // namespace bergamot::net
