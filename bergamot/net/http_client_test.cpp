#include "bergamot/net/http_client.h"

#include <boost/asio/ip/tcp.hpp>
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

constexpr std::size_t LongBody = std::size_t{32} * 1024 * 1024; // exceeds the send and receive buffers of a connection

/// A server on the client's loop that sends exactly the bytes that a test specifies.
class ScriptedPeer
{
public:
    explicit ScriptedPeer(boost::asio::io_context &loop)
        : m_acceptor(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    {
        accept();
    }

    Address address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

    /// The next one is sent whenever a connection has received data.
    std::vector<std::string> replies;
    bool closeAfterReply = false;
    bool resetAfterReply = false;
    bool readNothing = false;
    std::vector<std::shared_ptr<tcp::socket>> connections;
    std::string received;

private:
    void accept()
    {
        m_acceptor.async_accept([this](const error_code &error, tcp::socket socket) {
            if (error) {
                return;
            }
            connections.push_back(std::make_shared<tcp::socket>(std::move(socket)));
            if (!readNothing) {
                read(connections.back());
            }
            accept();
        });
    }

    void read(const std::shared_ptr<tcp::socket> &socket)
    {
        auto bytes = std::make_shared<std::array<char, 4096>>();
        socket->async_read_some(boost::asio::buffer(*bytes),
                                [this, socket, bytes](const error_code &error, size_t got) {
                                    if (error) {
                                        return;
                                    }
                                    received.append(bytes->data(), got);
                                    reply(*socket);
                                    if (socket->is_open()) {
                                        read(socket);
                                    }
                                });
    }

    void reply(tcp::socket &socket)
    {
        if (replies.empty()) {
            return;
        }
        const std::string reply = replies.front();
        replies.erase(replies.begin());
        error_code ignored; // the client may have closed
        boost::asio::write(socket, boost::asio::buffer(reply), ignored);
        if (resetAfterReply) {
            socket.set_option(boost::asio::socket_base::linger(true, 0));
        }
        if (closeAfterReply || resetAfterReply) {
            socket.close();
        }
    }

    tcp::acceptor m_acceptor;
};

struct Observed
{
    int status = 0;
    std::string body;
    std::optional<CallEnd> end;
};

class HttpClientTest : public testing::Test
{
protected:
    std::shared_ptr<ClientCall> start(Observed &observed, ClientRequest request)
    {
        request.to = m_peer.address();
        request.target = "/work";
        return m_client.start(std::move(request),
                              {.onHead =
                                   [&observed](const ResponseHead &head) {
                                       observed.status = head.status;
                                   },
                               .onData =
                                   [&observed](std::string_view data) {
                                       observed.body += data;
                                   },
                               .onEnd =
                                   [&observed](const CallEnd &end) {
                                       observed.end = end;
                                   }});
    }

    /// Runs the loop until `done`. The bound on the iterations is reached only if the client hangs.
    template<typename Done>
    void runUntil(Done done)
    {
        for (int iteration = 0; iteration < 5000 && !done(); ++iteration) {
            m_loop.run_one_for(20ms);
        }
        ASSERT_TRUE(done());
    }

    void finish(Observed &observed)
    {
        runUntil([&observed] {
            return observed.end.has_value();
        });
    }

    boost::asio::io_context m_loop;
    ScriptedPeer m_peer{m_loop};
    HttpClient m_client{m_loop, {}};
};

struct ResponseCase
{
    const char *name;
    const char *reply;
    bool closes;
    bool resets;
    CallFailure failure;
    const char *body;
};

class ResponseTest : public HttpClientTest, public testing::WithParamInterface<ResponseCase>
{ };

TEST_P(ResponseTest, OnlyACompleteResponseToThisRequestSucceeds)
{
    m_peer.replies = {GetParam().reply};
    m_peer.closeAfterReply = GetParam().closes;
    m_peer.resetAfterReply = GetParam().resets;
    Observed observed;
    start(observed, {.expectedEcho = "a1", .echoHeader = "Echo"});
    finish(observed);
    EXPECT_EQ(observed.end->failure, GetParam().failure) << observed.end->detail;
    if (GetParam().failure == CallFailure::None) {
        EXPECT_EQ(observed.body, GetParam().body);
    }
}

INSTANTIATE_TEST_SUITE_P(
    Responses,
    ResponseTest,
    testing::Values(
        ResponseCase{
            "Complete", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false, false, CallFailure::None, "ok"},
        ResponseCase{"Chunked",
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
                     false,
                     false,
                     CallFailure::None,
                     "ok"},
        ResponseCase{"EndsWithTheConnection", "HTTP/1.1 200 OK\r\n\r\nok", true, false, CallFailure::None, "ok"},
        ResponseCase{"ResetWithoutLength", "HTTP/1.1 200 OK\r\n\r\nok", false, true, CallFailure::Lost, ""},
        ResponseCase{"Truncated", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", true, false, CallFailure::Lost, ""},
        ResponseCase{"TruncatedChunks",
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
                     true,
                     false,
                     CallFailure::Lost,
                     ""},
        ResponseCase{"NoResponse", "", true, false, CallFailure::Lost, ""},
        ResponseCase{"Garbage", "%&/ what is this\r\n\r\n", false, false, CallFailure::Malformed, ""},
        ResponseCase{"OfAnotherRequest",
                     "HTTP/1.1 200 OK\r\nEcho: b2\r\nContent-Length: 2\r\n\r\nok",
                     false,
                     false,
                     CallFailure::Malformed,
                     ""}),
    [](const auto &test) {
        return test.param.name;
    });

struct CutCase
{
    const char *name;
    std::string answer;
    std::size_t wholeFrom; // bytes after which a close ends the answer properly
};

using CutParam = std::tuple<CutCase, bool>; // whether the connection is reset

class CutAnswerTest : public HttpClientTest, public testing::WithParamInterface<CutParam>
{ };

TEST_P(CutAnswerTest, AnAnswerThatIsCutAfterAnyByteIsNoSuccess)
{
    const auto &[cut, reset] = GetParam();
    for (std::size_t sent = 1; sent <= cut.answer.size(); ++sent) {
        m_peer.replies = {cut.answer.substr(0, sent)};
        m_peer.closeAfterReply = !reset;
        m_peer.resetAfterReply = reset;
        Observed observed;
        start(observed, {.newConnection = true});
        finish(observed);
        if (observed.end->failure == CallFailure::None) {
            EXPECT_GE(sent, cut.wholeFrom) << "cut after " << sent;
            EXPECT_FALSE(reset && sent < cut.answer.size()) << "reset after " << sent;
        }
    }
}

const std::string Length = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nanswer";
const std::string Chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nans\r\n3\r\nwer\r\n0\r\n\r\n";
const std::string UntilCloseHead = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n";
const std::string EventHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
const std::string Event = "id: 1\ndata: a\n\n";

INSTANTIATE_TEST_SUITE_P(
    Framings,
    CutAnswerTest,
    testing::Combine(testing::Values(CutCase{"Length", Length, Length.size()},
                                     CutCase{"Chunks", Chunks, Chunks.size()},
                                     CutCase{"UntilClose", UntilCloseHead + "answer", UntilCloseHead.size()}),
                     testing::Bool()),
    [](const auto &test) {
        return std::get<0>(test.param).name + std::string(std::get<1>(test.param) ? "Reset" : "Closed");
    });

TEST_F(HttpClientTest, AStreamWithoutLengthThatEndsWithinAnEventIsNotComplete)
{
    const std::string answer = EventHead + Event + "id: 2\ndata: b\n\n";
    for (std::size_t sent = 1; sent <= answer.size(); ++sent) {
        m_peer.replies = {answer.substr(0, sent)};
        m_peer.closeAfterReply = true;
        Observed observed;
        start(observed, {.newConnection = true, .acceptsStream = [](const ResponseHead &) {
                             return true;
                         }});
        finish(observed);
        const bool behindEvent = sent == EventHead.size() + Event.size() || sent == answer.size();
        EXPECT_EQ(observed.end->failure == CallFailure::None, behindEvent) << "cut after " << sent;
    }
}

struct SplitCase
{
    const char *name;
    std::string content; // behind the head
    std::string body;
};

/// A shape of a chunked response, and the bytes of each piece in which it arrives.
using SplitParam = std::tuple<SplitCase, std::size_t>;

class SplitResponseTest : public HttpClientTest, public testing::WithParamInterface<SplitParam>
{ };

TEST_P(SplitResponseTest, AResponseMayArriveInPiecesOfAnySize)
{
    const auto &[shape, pieceBytes] = GetParam();
    Observed observed;
    start(observed, {});
    runUntil([this] {
        return !m_peer.received.empty();
    });
    const std::string response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + shape.content;
    for (std::size_t position = 0; position < response.size(); position += pieceBytes) {
        boost::asio::write(*m_peer.connections.front(),
                           boost::asio::buffer(std::string_view(response).substr(position, pieceBytes)));
        m_loop.poll();
        m_loop.run_one_for(1ms);
    }
    finish(observed);
    EXPECT_EQ(observed.end->failure, CallFailure::None) << observed.end->detail;
    EXPECT_EQ(observed.body, shape.body);
}

INSTANTIATE_TEST_SUITE_P(Shapes,
                         SplitResponseTest,
                         testing::Combine(testing::Values(SplitCase{"OnlyLastChunk", "0\r\n\r\n", ""},
                                                          SplitCase{
                                                              "Chunks", "3\r\nabc\r\n1\r\nd\r\n0\r\n\r\n", "abcd"},
                                                          SplitCase{"LastChunkExtension", "0;c=d\r\n\r\n", ""},
                                                          SplitCase{"Trailer", "0\r\nT: 1\r\n\r\n", ""}),
                                          testing::Values(1, 2, 3, 4, 5, 7, 1000)),
                         [](const auto &test) {
                             return std::get<0>(test.param).name + std::to_string(std::get<1>(test.param));
                         });

TEST_F(HttpClientTest, AChunkIsPassedOnBeforeTheNextOneBegins)
{
    Observed observed;
    start(observed, {});
    runUntil([this] {
        return !m_peer.received.empty();
    });
    boost::asio::write(
        *m_peer.connections.front(),
        boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab")));
    runUntil([&observed] {
        return observed.body == "ab";
    });
    boost::asio::write(*m_peer.connections.front(), boost::asio::buffer(std::string("c")));
    runUntil([&observed] {
        return observed.body == "abc";
    });
    EXPECT_FALSE(observed.end.has_value());
}

struct LateBodyCase
{
    const char *name;
    std::string head;
    std::string body;
};

class LateBodyTest : public HttpClientTest, public testing::WithParamInterface<LateBodyCase>
{ };

// Guards against responses that end as "body limit exceeded" because their heads arrive before their bodies.
TEST_P(LateBodyTest, ABodyMayArriveAfterItsHead)
{
    m_peer.replies = {GetParam().head};
    Observed observed;
    start(observed, {});
    runUntil([&observed] {
        return observed.status != 0 || observed.end;
    });
    ASSERT_FALSE(observed.end) << observed.end->detail;
    boost::asio::write(*m_peer.connections.back(), boost::asio::buffer(GetParam().body));
    finish(observed);
    EXPECT_EQ(observed.end->failure, CallFailure::None) << observed.end->detail;
    EXPECT_EQ(observed.body.empty(), GetParam().body.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Framings,
    LateBodyTest,
    testing::Values(LateBodyCase{"OneByte", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n", "x"},
                    LateBodyCase{"Length", "HTTP/1.1 200 OK\r\nContent-Length: 3000\r\n\r\n", std::string(3000, 'x')},
                    LateBodyCase{"Failure", "HTTP/1.1 500 Failed\r\nContent-Length: 6\r\n\r\n", "reason"},
                    LateBodyCase{
                        "Chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n0\r\n\r\n"}),
    [](const auto &test) {
        return test.param.name;
    });

TEST_F(HttpClientTest, ABodyLargerThanOneReadArrivesWithoutWaiting)
{
    // The body exceeds one read: the rest must be read without waiting for another epoll edge.
    const std::string piece(100000, 'x');
    m_peer.replies = {"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + piece};
    Observed observed;
    start(observed, {.bodyGapTimeout = 30s});
    finish(observed);
    EXPECT_EQ(observed.end->failure, CallFailure::None);
    EXPECT_EQ(observed.body, piece);
}

TEST_F(HttpClientTest, AConnectionIsReusedUnlessBytesFollowTheResponse)
{
    const std::string completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    m_peer.replies = {
        completeResponse, completeResponse + "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad", completeResponse};
    for (const bool reused : {false, true, false}) {
        Observed observed;
        start(observed, {});
        finish(observed);
        EXPECT_EQ(observed.end->failure, CallFailure::None);
        EXPECT_EQ(observed.end->reused, reused);
        EXPECT_EQ(observed.body, "ok");
    }
    EXPECT_EQ(m_client.connectionsOpened(), 2U);
}

TEST_F(HttpClientTest, AnUnexpectedResponseClosesTheIdleConnection)
{
    const std::string completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    m_peer.replies = {completeResponse, completeResponse};
    Observed first;
    start(first, {});
    finish(first);
    boost::asio::write(*m_peer.connections.front(), boost::asio::buffer(completeResponse));
    m_loop.run_for(50ms);
    Observed second;
    start(second, {});
    finish(second);
    EXPECT_FALSE(second.end->reused);
}

struct ReuseCase
{
    const char *name;
    const char *header;
    bool reused;
};

class ReuseTest : public HttpClientTest, public testing::WithParamInterface<ReuseCase>
{ };

TEST_P(ReuseTest, TheHeadersOfThePeerDecideWhetherTheConnectionIsReused)
{
    const std::string response = "HTTP/1.1 200 OK\r\n" + std::string(GetParam().header) + "Content-Length: 2\r\n\r\nok";
    m_peer.replies = {response, response};
    Observed first;
    start(first, {});
    finish(first);
    Observed second;
    start(second, {});
    finish(second);
    EXPECT_EQ(second.end->reused, GetParam().reused);
}

INSTANTIATE_TEST_SUITE_P(Headers,
                         ReuseTest,
                         testing::Values(ReuseCase{"None", "", true},
                                         ReuseCase{"Close", "Connection: close\r\n", false},
                                         ReuseCase{"LongTime", "Keep-Alive: timeout=10\r\n", true},
                                         ReuseCase{"NoTime", "Keep-Alive: timeout=0\r\n", false}),
                         [](const auto &test) {
                             return test.param.name;
                         });

TEST_F(HttpClientTest, AConnectionIsNotReusedAfterAResponseToAPartlySentRequest)
{
    m_peer.replies = {"HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno"};
    Observed observed;
    start(observed, {.method = "POST", .body = std::string(LongBody, 'x')});
    finish(observed);
    EXPECT_EQ(observed.status, 413);
    m_peer.replies = {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"};
    Observed next;
    start(next, {});
    finish(next);
    EXPECT_FALSE(next.end->reused);
}

/// The unsent bytes of a cancelled request must not reach the peer later.
TEST_F(HttpClientTest, ACancelledRequestIsReset)
{
    m_peer.readNothing = true;
    Observed observed;
    const std::shared_ptr<ClientCall> call = start(observed, {.method = "POST", .body = std::string(LongBody, 'x')});
    runUntil([this] {
        return !m_peer.connections.empty();
    });
    m_loop.run_for(50ms);
    call->cancel();
    m_loop.run_for(50ms);
    std::vector<char> bytes(2 * LongBody);
    error_code error;
    boost::asio::read(*m_peer.connections.front(), boost::asio::buffer(bytes), error);
    EXPECT_EQ(error, boost::asio::error::connection_reset);
    EXPECT_FALSE(observed.end.has_value());
}

TEST_F(HttpClientTest, ASilentPeerTimesOut)
{
    Observed observed;
    start(observed, {.headTimeout = 100ms});
    finish(observed);
    EXPECT_EQ(observed.end->failure, CallFailure::TimedOut);
}

TEST_F(HttpClientTest, ARefusedConnectionIsReportedAsNotConnected)
{
    tcp::acceptor closed(m_loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    const Address address{"127.0.0.1", closed.local_endpoint().port()};
    closed.close();
    std::optional<CallEnd> end;
    m_client.start({.to = address, .target = "/"}, {.onEnd = [&end](const CallEnd &ended) {
                       end = ended;
                   }});
    runUntil([&end] {
        return end.has_value();
    });
    EXPECT_EQ(end->failure, CallFailure::NotConnected);
}

} // namespace
} // namespace bergamot::net
