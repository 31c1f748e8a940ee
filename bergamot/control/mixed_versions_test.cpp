#include <utility>

#include <boost/asio.hpp>

#include "bergamot/control/control_fleet_fixture.h"

// Programs of several versions in one fleet, as during a replacement of all instances: ranges of protocol versions that
// overlap, and frames as a later program would send them.

namespace bergamot
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

/// The versions of the inner protocol that a program reads.
struct Range
{
    std::uint32_t newest = NewestProtocol;
    std::uint32_t oldest = OldestProtocol;
};

constexpr Range Present{};
constexpr Range Next{NewestProtocol + 1, OldestProtocol}; // the next program still reads the present one's frames
constexpr Range AfterNext{NewestProtocol + 1, NewestProtocol + 1}; // no longer

class MixedVersions : public ControlFleet
{
protected:
    void startAs(const std::string &instance, const Range &range)
    {
        ControlOptions options = optionsFor(instance);
        options.protocol = range.newest;
        options.oldestProtocol = range.oldest;
        start(options);
    }

    /// Kills `instance`, takes it off the list, and starts another one in its place.
    void replace(const std::string &instance, const std::string &by, const Range &range)
    {
        kill(instance);
        m_members.erase(instance);
        ASSERT_EQ(post(m_standin.listAddress(), "/instances/remove", R"({"id":")" + instance + R"("})").status, 200);
        startAs(by, range);
    }

    void change(const std::string &at, std::uint64_t version)
    {
        const std::string set =
            R"({"domains":["a"],"services":{"stock":{"timeout_ms":)" + std::to_string(1000 + version) + "}}}";
        configure(at, "intent-" + std::to_string(version), set, version);
    }
};

TEST_F(MixedVersions, aChangeIsInForceEverywhereAfterEachStepOfAReplacementOfAll)
{
    startThree();
    change("i1", 1);
    std::uint64_t version = 1;
    for (const auto &[range, name] : {std::pair{Next, "next-"}, {AfterNext, "after-"}}) {
        std::vector<std::string> old;
        for (const auto &[instance, member] : m_members) {
            old.push_back(instance);
        }
        for (const std::string &instance : old) {
            const std::string by = name + instance;
            replace(instance, by, range);
            for (const auto &member : m_members) {
                const std::string &other = member.first;
                EXPECT_TRUE(eventually([&] {
                    return versionAt(other) == version;
                })) << other
                    << " fell back or stays behind";
            }
            change(by, ++version);
        }
    }
}

/// A frame as a later program sends it.
struct LaterFrame
{
    std::string name;
    std::uint32_t protocol;
    std::uint32_t oldestProtocol;
    bool isUnknownBody;
    std::string refusal; // its code; empty: it is answered
};

class LaterFrames : public MixedVersions, public testing::WithParamInterface<LaterFrame>
{
protected:
    static constexpr flatbuffers::voffset_t LaterField = 4 + 2 * 60; // no table has so many fields yet
    static constexpr std::uint8_t LaterBody = 200;

    /// A question for a view with a field more in each table, or a body of a type that is not known yet.
    static std::string encode(const LaterFrame &later)
    {
        flatbuffers::FlatBufferBuilder buffer;
        const auto sender = buffer.CreateString("later");
        const auto domain = buffer.CreateString(std::string(FleetDomain));
        inner::ViewRequestBuilder request(buffer);
        request.add_view_hash(0);
        buffer.AddElement<std::uint64_t>(LaterField, 42, 0);
        const auto body = request.Finish();
        inner::FrameBuilder frame(buffer);
        frame.add_protocol(later.protocol);
        frame.add_oldest_protocol(later.oldestProtocol);
        frame.add_correlation(7);
        frame.add_sender(sender);
        frame.add_domain(domain);
        frame.add_body_type(later.isUnknownBody ? static_cast<inner::Body>(LaterBody) : inner::Body::ViewRequest);
        frame.add_body(body.Union());
        buffer.AddElement<std::uint64_t>(LaterField, 43, 0);
        buffer.Finish(frame.Finish());
        std::string bytes(FrameLengthBytes, '\0');
        for (std::size_t index = 0; index < FrameLengthBytes; ++index) {
            bytes[index] = static_cast<char>(buffer.GetSize() >> (8 * index));
        }
        bytes.append(reinterpret_cast<const char *>(buffer.GetBufferPointer()), buffer.GetSize());
        return bytes;
    }

    static inner::FrameT exchange(const Address &with, const std::string &bytes)
    {
        asio::io_context context;
        tcp::socket socket(context);
        socket.connect(tcp::endpoint(asio::ip::make_address(with.ip), with.port));
        asio::write(socket, asio::buffer(bytes));
        FrameSplitter splitter;
        std::array<char, 4096> buffer{};
        for (;;) {
            const auto payload = splitter.next();
            if (payload && payload->has_value()) {
                return std::move(*decodeFrame(**payload));
            }
            splitter.feed({buffer.data(), socket.read_some(asio::buffer(buffer))});
        }
    }
};

TEST_P(LaterFrames, areAnsweredOrRefusedWithAClearErrorAndNothingElseSuffers)
{
    startAs("i1", Present);
    change("i1", 1);
    const inner::FrameT reply = exchange(m_members.at("i1").frames, encode(GetParam()));
    EXPECT_EQ(reply.correlation, 7U);
    EXPECT_EQ(reply.protocol, NewestProtocol);
    if (GetParam().refusal.empty()) {
        ASSERT_NE(reply.body.AsViewReply(), nullptr);
        EXPECT_EQ(reply.body.AsViewReply()->view->config_version, 1U);
    } else {
        ASSERT_NE(reply.body.AsRefusal(), nullptr);
        EXPECT_EQ(reply.body.AsRefusal()->code, GetParam().refusal);
        EXPECT_FALSE(reply.body.AsRefusal()->message.empty());
    }
    EXPECT_EQ(versionAt("i1"), 1U);
}

INSTANTIATE_TEST_SUITE_P(
    Table,
    LaterFrames,
    testing::Values(LaterFrame{"laterFields", Present.newest, Present.oldest, false, ""},
                    LaterFrame{"nextVersion", Next.newest, Next.oldest, false, ""},
                    LaterFrame{
                        "versionAfterNext", AfterNext.newest, AfterNext.oldest, false, std::string(ProtocolRefusal)},
                    LaterFrame{"unknownBody", Next.newest, Next.oldest, true, std::string(UnknownBodyRefusal)}),
    [](const auto &testCase) {
        return testCase.param.name;
    });

} // namespace
} // namespace bergamot
