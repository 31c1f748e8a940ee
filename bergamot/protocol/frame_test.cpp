#include "bergamot/protocol/frame.h"

#include <random>

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

inner::FrameT claimFrame()
{
    inner::KeyClaimT claim;
    claim.key = "lot-7";
    claim.body_digest = "abc";
    inner::BodyUnion body;
    body.Set(std::move(claim));
    return makeFrame({"i1", "east"}, 9, std::move(body));
}

std::string payloadOf(const inner::FrameT &frame)
{
    return encodeFrame(frame).substr(FrameLengthBytes);
}

std::string withUnionType(std::uint8_t type)
{
    std::string payload = payloadOf(claimFrame());
    auto *table = const_cast<inner::Frame *>(inner::GetFrame(payload.data()));
    const_cast<std::uint8_t *>(reinterpret_cast<flatbuffers::Table *>(table)->GetAddressOf(14))[0] = type;
    return payload;
}

TEST(Frame, keepsItsFields)
{
    const Result<inner::FrameT> frame = decodeFrame(payloadOf(claimFrame()));
    ASSERT_TRUE(frame);
    EXPECT_EQ(frame->correlation, 9U);
    EXPECT_EQ(frame->sender, "i1");
    ASSERT_NE(frame->body.AsKeyClaim(), nullptr);
    EXPECT_EQ(frame->body.AsKeyClaim()->key, "lot-7");
}

struct MalformedCase
{
    std::string name;
    std::string payload;
};

class MalformedFrame : public testing::TestWithParam<MalformedCase>
{ };

TEST_P(MalformedFrame, isRefused)
{
    const Result<inner::FrameT> frame = decodeFrame(GetParam().payload);
    ASSERT_FALSE(frame);
    EXPECT_EQ(frame.error().code, ErrorCode::InvalidArgument);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         MalformedFrame,
                         testing::Values(MalformedCase{"empty", ""},
                                         MalformedCase{"oneByte", "x"},
                                         MalformedCase{"zeros", std::string(3, '\0')},
                                         MalformedCase{"ones", std::string(64, '\xff')},
                                         MalformedCase{"text", "GET / HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n"},
                                         MalformedCase{"half", payloadOf(claimFrame()).substr(0, 40)}),
                         [](const auto &testCase) {
                             return testCase.param.name;
                         });

TEST(Frame, everyTruncationIsRefusedOrStillVerifies)
{
    const std::string whole = payloadOf(claimFrame());
    for (std::size_t size = 0; size + 8 < whole.size(); ++size) {
        const Result<inner::FrameT> frame = decodeFrame(std::string_view(whole).substr(0, size));
        if (frame) {
            EXPECT_EQ(frame->correlation, 9U) << size;
        }
    }
    EXPECT_FALSE(decodeFrame(std::string_view(whole).substr(0, whole.size() / 2)));
}

class FlippedBits : public testing::TestWithParam<std::uint32_t>
{ };

TEST_P(FlippedBits, neverCrashTheReader)
{
    std::mt19937_64 random(GetParam());
    const std::string whole = payloadOf(claimFrame());
    for (int round = 0; round < 5000; ++round) {
        std::string flipped = whole;
        for (std::uint64_t flips = 1 + random() % 4; flips > 0; --flips) {
            const std::uint64_t bit = random() % (flipped.size() * 8);
            flipped[bit / 8] = static_cast<char>(flipped[bit / 8] ^ (1 << (bit % 8)));
        }
        const Result<inner::FrameT> frame = decodeFrame(flipped);
        if (frame && frame->body.type != inner::Body::NONE) {
            EXPECT_NE(frame->body.value, nullptr);
            EXPECT_FALSE(encodeFrame(*frame).empty());
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, FlippedBits, testing::Values(1U, 2U, 3U, 4U));

TEST(Frame, unknownUnionTypeBecomesNone)
{
    const Result<inner::FrameT> frame = decodeFrame(withUnionType(200));
    ASSERT_TRUE(frame);
    EXPECT_EQ(frame->body.type, inner::Body::NONE);
    EXPECT_EQ(frame->correlation, 9U);
}

TEST(Frame, wrongUnionTypeIsRefusedOrReadSafely)
{
    for (std::uint8_t type = 1; type <= static_cast<std::uint8_t>(inner::Body::MAX); ++type) {
        const Result<inner::FrameT> frame = decodeFrame(withUnionType(type));
        if (frame) {
            EXPECT_EQ(static_cast<std::uint8_t>(frame->body.type), type);
            EXPECT_NE(frame->body.value, nullptr);
        }
    }
}

TEST(FrameSplitter, findsFramesHoweverTheyAreCut)
{
    const std::string bytes = encodeFrame(claimFrame()) + encodeFrame(claimFrame());
    for (std::size_t step = 1; step <= bytes.size(); ++step) {
        FrameSplitter splitter;
        std::size_t found = 0;
        for (std::size_t at = 0; at < bytes.size(); at += step) {
            splitter.feed(std::string_view(bytes).substr(at, step));
            for (auto payload = splitter.next(); payload && payload->has_value(); payload = splitter.next()) {
                EXPECT_TRUE(decodeFrame(**payload));
                ++found;
            }
        }
        EXPECT_EQ(found, 2U) << "cut every " << step << " bytes";
    }
}

TEST(FrameSplitter, refusesLengthsOutOfBounds)
{
    for (const std::string &length : {std::string(4, '\0'), std::string("\x65\0\0\0", 4), std::string(4, '\xff')}) {
        FrameSplitter splitter(100);
        splitter.feed(length);
        EXPECT_FALSE(splitter.next());
    }
}

struct VersionCase
{
    std::uint32_t peerNewest;
    std::uint32_t peerOldest;
    bool understood;
};

class ProtocolVersions : public testing::TestWithParam<VersionCase>
{ };

TEST_P(ProtocolVersions, overlapIsEnough)
{
    const PeerIdentity reader{"me", "east", 3, 2};
    inner::FrameT frame;
    frame.protocol = GetParam().peerNewest;
    frame.oldest_protocol = GetParam().peerOldest;
    EXPECT_EQ(!protocolMismatch(frame, reader).has_value(), GetParam().understood);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         ProtocolVersions,
                         testing::Values(VersionCase{3, 3, true},
                                         VersionCase{3, 2, true},
                                         VersionCase{2, 1, true},
                                         VersionCase{9, 3, true},
                                         VersionCase{9, 4, false},
                                         VersionCase{1, 1, false}));

class RefusalCodes : public testing::TestWithParam<ErrorCode>
{ };

TEST_P(RefusalCodes, surviveTheWire)
{
    const Error error{GetParam(), "why", std::chrono::milliseconds(250)};
    const inner::BodyUnion body = makeRefusal(error);
    EXPECT_EQ(toError(*body.AsRefusal()), error);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         RefusalCodes,
                         testing::Values(ErrorCode::InvalidArgument,
                                         ErrorCode::Conflict,
                                         ErrorCode::Overloaded,
                                         ErrorCode::Unavailable,
                                         ErrorCode::Unknown,
                                         ErrorCode::Internal));

TEST(Refusal, unknownCodeIsUnavailable)
{
    EXPECT_EQ(toError(*makeRefusal("from-the-future", "why").AsRefusal()).code, ErrorCode::Unavailable);
}

} // namespace
} // namespace bergamot
