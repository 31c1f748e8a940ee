#include "bergamot/entry/data_path_test_fixture.h"
#include "bergamot/entry/peer_control_link.h"
#include "bergamot/protocol/peer_server.h"
#include "bergamot/standins/faulty_tcp_server.h"

// The control process beside an entry process stops answering with its connections open, as after SIGSTOP, while an
// endpoint leaves; then it wakes with what it knew. Requests are counted at the endpoints.

namespace bergamot
{

namespace
{

using namespace std::chrono_literals;

/// What a control process says to entry processes.
struct Said
{
    inner::ViewT view;
    std::uint64_t hash = 0;
    std::uint64_t ageMs = 0;
};

/// A control process on a port of its own.
class TestControl
{
public:
    explicit TestControl(const std::string &name)
        : m_server({.address = {"127.0.0.1", 0}, .identity = {name, "a"}},
                   [this](const inner::FrameT &frame, const PeerServer::Reply &reply) {
                       take(*frame.body.AsViewRequest(), reply);
                   })
    {
        EXPECT_TRUE(m_server.start());
    }

    ~TestControl()
    {
        m_server.stop();
    }

    Address address() const
    {
        return m_server.address();
    }

    void say(Said said)
    {
        const std::lock_guard lock(m_mutex);
        m_said = std::move(said);
        m_isFrozen = false;
    }

    void freeze()
    {
        const std::lock_guard lock(m_mutex);
        m_isFrozen = true;
    }

    /// Waits until an answer given from now on has been used: a later question has come.
    bool waitUntilTaken()
    {
        std::unique_lock lock(m_mutex);
        const std::uint64_t enough = m_answers + 2;
        return m_changed.wait_for(lock, TestLimit, [&] {
            return m_answers >= enough;
        });
    }

private:
    void take(const inner::ViewRequestT &request, const PeerServer::Reply &reply)
    {
        const std::lock_guard lock(m_mutex);
        if (m_isFrozen) {
            m_unanswered.push_back(reply);
            return;
        }
        inner::ViewReplyT answer;
        answer.view_hash = m_said.hash;
        answer.age_ms = m_said.ageMs;
        if (request.view_hash != m_said.hash) {
            answer.view = std::make_unique<inner::ViewT>(m_said.view);
        }
        inner::BodyUnion body;
        body.Set(std::move(answer));
        reply(std::move(body));
        ++m_answers;
        m_changed.notify_all();
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    Said m_said;
    bool m_isFrozen = true;
    std::vector<PeerServer::Reply> m_unanswered;
    std::uint64_t m_answers = 0;
    PeerServer m_server;
};

class FrozenControl : public DataPathTest
{
protected:
    Said said(const std::vector<Listed> &endpoints, std::uint64_t hash, std::chrono::milliseconds age = 0ms)
    {
        Said all{viewOf(endpoints), hash, static_cast<std::uint64_t>(age.count())};
        for (const auto &[name, address] : {std::pair{"entry-9", m_own.address()}, {"entry-8", m_other.address()}}) {
            auto member = std::make_unique<inner::MemberStatusT>();
            member->instance = name;
            member->domain = "a";
            member->control_address = toString(address);
            all.view.members.push_back(std::move(member));
        }
        return all;
    }

    void expectAnswered(DataPath &path, int count)
    {
        for (; count > 0; --count) {
            EXPECT_EQ(send(path, read("item-" + std::to_string(++m_items)))->outcome(), "answered");
        }
    }

    FaultyTcpServer m_leaving{FaultyTcpServerOptions{}};
    FaultyTcpServer m_staying{FaultyTcpServerOptions{}};
    TestControl m_own{"entry-9"};
    TestControl m_other{"entry-8"};
    int m_items = 0;
};

TEST_F(FrozenControl, anotherInstanceTellsThatAnEndpointLeavesAndTheWokenOneBringsNothingBack)
{
    constexpr int Requests = 10;
    const auto link =
        std::make_shared<PeerControlLink>(PeerIdentity{.sender = "entry-9", .domain = "a"}, m_own.address());
    m_own.say(said({{m_leaving.address()}}, 1));
    DataPath path(options("entry-9"), m_clock, link, m_metrics);
    ASSERT_TRUE(m_own.waitUntilTaken());
    expectAnswered(path, 1);
    EXPECT_EQ(m_leaving.requestCount(), 1U);

    m_own.freeze();
    m_other.say(said({{m_leaving.address(), true}, {m_staying.address()}}, 2));
    ASSERT_TRUE(m_other.waitUntilTaken()) << "no other control process is asked";
    expectAnswered(path, Requests);
    EXPECT_EQ(m_leaving.requestCount(), 1U) << "a leaving endpoint got new work";

    m_own.say(said({{m_leaving.address()}}, 1, 4s));
    ASSERT_TRUE(m_own.waitUntilTaken());
    expectAnswered(path, Requests);
    EXPECT_EQ(m_leaving.requestCount(), 1U) << "the woken control process brought its old view back";

    m_own.say(said({{m_staying.address()}}, 3));
    ASSERT_TRUE(m_own.waitUntilTaken());
    m_other.freeze();
    expectAnswered(path, Requests);
    EXPECT_EQ(m_leaving.requestCount(), 1U);
    EXPECT_EQ(m_staying.requestCount(), 3U * Requests);
}

TEST_F(FrozenControl, withNobodyElseToAskTheLastViewGoesOn)
{
    const auto link =
        std::make_shared<PeerControlLink>(PeerIdentity{.sender = "entry-9", .domain = "a"}, m_own.address());
    m_own.say(said({{m_staying.address()}}, 1));
    DataPath path(options("entry-9"), m_clock, link, m_metrics);
    ASSERT_TRUE(m_own.waitUntilTaken());
    m_own.freeze();
    expectAnswered(path, 3);
    EXPECT_TRUE(path.ready());
    m_own.say(said({{m_staying.address()}}, 1, 10s));
    ASSERT_TRUE(m_own.waitUntilTaken());
    expectAnswered(path, 3);
}

} // namespace

} // namespace bergamot
