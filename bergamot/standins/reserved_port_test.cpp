#include "bergamot/standins/reserved_port.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <gtest/gtest.h>

#include "bergamot/standins/crashable_http_server.h"
#include "bergamot/standins/faulty_tcp_server.h"

namespace bergamot
{

namespace
{

/// Whether a process that knows nothing of the reservation can take the port.
bool strangerCanBind(const Address &address)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    const int yes = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(address.port);
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool bound = ::bind(descriptor, reinterpret_cast<sockaddr *>(&name), sizeof(name)) == 0;
    ::close(descriptor);
    return bound;
}

bool connects(const Address &address)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(address.port);
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool connected = ::connect(descriptor, reinterpret_cast<sockaddr *>(&name), sizeof(name)) == 0;
    ::close(descriptor);
    return connected;
}

TEST(ReservedPort, refusesConnectionsAndStaysOurs)
{
    const ReservedPort port("127.0.0.1");
    ASSERT_TRUE(port.held());
    EXPECT_FALSE(connects(port.address()));
    EXPECT_FALSE(strangerCanBind(port.address()));
}

TEST(ReservedPort, textThatIsNoIpNumberIsNotHeld)
{
    EXPECT_FALSE(ReservedPort("nowhere").held());
}

TEST(ReservedPort, scriptedServerThatRefusesKeepsItsPort)
{
    FaultyTcpServer server(FaultyTcpServerOptions{});
    EXPECT_TRUE(connects(server.address()));
    server.refuseConnections();
    EXPECT_FALSE(connects(server.address()));
    EXPECT_FALSE(strangerCanBind(server.address()));
}

TEST(ReservedPort, stoppedServerKeepsItsPortAndComesBackToIt)
{
    IoThreads threads(1);
    CrashableHttpServer server(threads, {"127.0.0.1", 0}, [](HttpRequest, DroppableResponderPtr) {});
    ASSERT_TRUE(server.start());
    const Address address = server.address();
    EXPECT_TRUE(connects(address));
    server.stop();
    EXPECT_FALSE(connects(address));
    EXPECT_FALSE(strangerCanBind(address));
    ASSERT_TRUE(server.start());
    EXPECT_EQ(server.address(), address);
    EXPECT_TRUE(connects(address));
}

} // namespace

} // namespace bergamot
