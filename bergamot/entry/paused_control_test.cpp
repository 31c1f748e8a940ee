#include "bergamot/entry/data_path_test_fixture.h"
#include "bergamot/entry/peer_control_link.h"
#include "bergamot/protocol/peer_server.h"
#include "bergamot/standins/faulty_tcp_server.h"

// The local control process of an entry process is paused: it stops answering with its connections open, as after
// SIGSTOP, while an endpoint leaves. Then it resumes with its outdated view. Requests are counted at the endpoints.

namespace bergamot
{

namespace
{

using namespace std::chrono_literals;

/// The view that a control process sends to entry processes.
struct ViewState
{
    inner::ViewT view;
    std::uint64_t hash = 0;
    std::uint64_t ageMs = 0;
};

/// A fake control process that listens on its own port; it is paused until a view is set.
class TestControl
{
public:
    explicit TestControl(const std::string &name)
        : m_server({.address = {"127.0.0.1", 0}, .identity = {name, "a"}},
                   [this](const inner::FrameT &frame, const PeerServer::Reply &reply) {
                       handleRequest(*frame.body.AsViewRequest(), reply);
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

    void setView(ViewState viewState)
    {
        const std::lock_guard lock(m_mutex);
        m_viewState = std::move(viewState);
        m_isPaused = false;
    }

    void pause()
    {
        const std::lock_guard lock(m_mutex);
        m_isPaused = true;
    }

    /// Waits until an answer sent from now on has been applied: a later request for a view was received.
    bool waitUntilViewApplied()
    {
        std::unique_lock lock(m_mutex);
        const std::uint64_t enough = m_answerCount + 2;
        return m_changed.wait_for(lock, TestTimeout, [&] {
            return m_answerCount >= enough;
        });
    }

private:
    void handleRequest(const inner::ViewRequestT &request, const PeerServer::Reply &reply)
    {
        const std::lock_guard lock(m_mutex);
        if (m_isPaused) {
            m_unanswered.push_back(reply);
            return;
        }
        inner::ViewReplyT answer;
        answer.view_hash = m_viewState.hash;
        answer.age_ms = m_viewState.ageMs;
        if (request.view_hash != m_viewState.hash) {
            answer.view = std::make_unique<inner::ViewT>(m_viewState.view);
        }
        inner::BodyUnion body;
        body.Set(std::move(answer));
        reply(std::move(body));
        ++m_answerCount;
        m_changed.notify_all();
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    ViewState m_viewState;
    bool m_isPaused = true;
    std::vector<PeerServer::Reply> m_unanswered;
    std::uint64_t m_answerCount = 0;
    PeerServer m_server;
};

class PausedControl : public DataPathTest
{
protected:
    ViewState
    viewState(const std::vector<RegisteredEndpoint> &endpoints, std::uint64_t hash, std::chrono::milliseconds age = 0ms)
    {
        ViewState all{viewOf(endpoints), hash, static_cast<std::uint64_t>(age.count())};
        for (const auto &[name, address] : {std::pair{"entry-9", m_local.address()}, {"entry-8", m_other.address()}}) {
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
    TestControl m_local{"entry-9"};
    TestControl m_other{"entry-8"};
    int m_items = 0;
};

TEST_F(PausedControl, leavingEndpointIsLearnedFromAnotherInstanceAndTheResumedProcessRestoresNoOldView)
{
    constexpr int Requests = 10;
    const auto link =
        std::make_shared<PeerControlLink>(PeerIdentity{.sender = "entry-9", .domain = "a"}, m_local.address());
    m_local.setView(viewState({{m_leaving.address()}}, 1));
    DataPath path(options("entry-9"), m_clock, link, m_metrics);
    ASSERT_TRUE(m_local.waitUntilViewApplied());
    expectAnswered(path, 1);
    EXPECT_EQ(m_leaving.requestCount(), 1U);

    m_local.pause();
    m_other.setView(viewState({{m_leaving.address(), true}, {m_staying.address()}}, 2));
    ASSERT_TRUE(m_other.waitUntilViewApplied()) << "no other control process was asked";
    expectAnswered(path, Requests);
    EXPECT_EQ(m_leaving.requestCount(), 1U) << "a leaving endpoint received new requests";

    m_local.setView(viewState({{m_leaving.address()}}, 1, 4s));
    ASSERT_TRUE(m_local.waitUntilViewApplied());
    expectAnswered(path, Requests);
    EXPECT_EQ(m_leaving.requestCount(), 1U) << "the resumed control process restored its old view";

    m_local.setView(viewState({{m_staying.address()}}, 3));
    ASSERT_TRUE(m_local.waitUntilViewApplied());
    m_other.pause();
    expectAnswered(path, Requests);
    EXPECT_EQ(m_leaving.requestCount(), 1U);
    EXPECT_EQ(m_staying.requestCount(), 3U * Requests);
}

TEST_F(PausedControl, withoutAnotherReachableControlProcessTheLastViewStaysInUse)
{
    const auto link =
        std::make_shared<PeerControlLink>(PeerIdentity{.sender = "entry-9", .domain = "a"}, m_local.address());
    m_local.setView(viewState({{m_staying.address()}}, 1));
    DataPath path(options("entry-9"), m_clock, link, m_metrics);
    ASSERT_TRUE(m_local.waitUntilViewApplied());
    m_local.pause();
    expectAnswered(path, 3);
    EXPECT_TRUE(path.ready());
    m_local.setView(viewState({{m_staying.address()}}, 1, 10s));
    ASSERT_TRUE(m_local.waitUntilViewApplied());
    expectAnswered(path, 3);
}

} // namespace

} // namespace bergamot
