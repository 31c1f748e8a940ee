#include "bergamot/node/endpoint_reach.h"

#include <fcntl.h>
#include <unistd.h>

#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

namespace bergamot::node
{
namespace
{

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

constexpr Duration LongestAnswer = 1s; // the instance that asks waits no longer
constexpr std::uint64_t Seed = 7;

/// The endpoints that an instance knows when another one asks whether it reaches endpoints.
struct QuestionCase
{
    const char *name;
    std::size_t listening;
    std::size_t refusing;
    bool connectedBefore; // to a listening endpoint
    bool reaches;
};

class QuestionTest : public testing::TestWithParam<QuestionCase>
{
protected:
    ~QuestionTest() override
    {
        ::close(m_output);
    }

    Address listen(bool refuses)
    {
        tcp::acceptor acceptor(m_loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
        Address address{"127.0.0.1", acceptor.local_endpoint().port()};
        if (!refuses) {
            m_acceptors.push_back(std::move(acceptor));
        }
        return address;
    }

    /// The answer to a question that is asked now.
    std::optional<bool> ask()
    {
        std::optional<bool> answer;
        m_reach.find([&answer](bool reaches) {
            answer = reaches;
        });
        m_loop.poll(); // connections over the loopback interface are established or refused at once
        m_loop.restart();
        m_reach.tick(BootClock::now());
        if (!answer) {
            m_reach.tick(BootClock::now() + LongestAnswer);
        }
        return answer;
    }

    boost::asio::io_context m_loop;
    int m_output = ::open("/dev/null", O_WRONLY | O_CLOEXEC);
    EventLog m_log{m_output, {}};
    net::HttpClient m_client{m_loop, {}};
    EndpointReach m_reach{m_loop, m_client, m_log, Seed};
    std::vector<tcp::acceptor> m_acceptors;
};

TEST_P(QuestionTest, IsAnsweredByConnectionsSinceThen)
{
    std::set<Address> endpoints;
    for (std::size_t index = 0; index < GetParam().listening; ++index) {
        endpoints.insert(listen(false));
    }
    for (std::size_t index = 0; index < GetParam().refusing; ++index) {
        endpoints.insert(listen(true));
    }
    m_reach.setEndpoints(endpoints);
    if (GetParam().connectedBefore) {
        ASSERT_EQ(ask(), true);
        m_acceptors.clear();
    }
    EXPECT_EQ(ask(), GetParam().reaches);
}

INSTANTIATE_TEST_SUITE_P(Questions,
                         QuestionTest,
                         testing::Values(QuestionCase{"NoEndpointIsKnown", 0, 0, false, false},
                                         QuestionCase{"AllRefuse", 0, 4, false, false},
                                         QuestionCase{"OneListens", 1, 0, false, true},
                                         QuestionCase{"ThreeListen", 3, 0, false, true},
                                         QuestionCase{"ThreeOfFourListen", 3, 1, false, true},
                                         QuestionCase{"LinksLostSinceTheLastConnection", 3, 0, true, false}),
                         [](const auto &test) {
                             return test.param.name;
                         });

} // namespace
} // namespace bergamot::node
