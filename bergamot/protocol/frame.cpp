#include "bergamot/protocol/frame.h"

#include <array>

namespace bergamot
{

namespace
{

constexpr std::size_t MaxTableDepth = 16;
constexpr std::size_t MaxTables = 1U << 20U;

std::uint32_t readLength(std::string_view bytes)
{
    std::uint32_t length = 0;
    for (std::size_t i = FrameLengthBytes; i > 0; --i) {
        length = (length << 8U) | static_cast<unsigned char>(bytes[i - 1]);
    }
    return length;
}

std::array<char, FrameLengthBytes> writeLength(std::size_t length)
{
    std::array<char, FrameLengthBytes> bytes{};
    for (char &byte : bytes) {
        byte = static_cast<char>(length & 0xffU);
        length >>= 8U;
    }
    return bytes;
}

bool isKnownBody(const inner::BodyUnion &body)
{
    return body.value != nullptr && body.type > inner::Body::NONE && body.type <= inner::Body::MAX;
}

} // namespace

inner::FrameT makeFrame(const PeerIdentity &from, std::uint64_t correlation, inner::BodyUnion body)
{
    inner::FrameT frame;
    frame.protocol = from.protocol;
    frame.oldest_protocol = from.oldestProtocol;
    frame.correlation = correlation;
    frame.sender = from.sender;
    frame.domain = from.domain;
    frame.body = std::move(body);
    return frame;
}

inner::BodyUnion makeRefusal(std::string_view code, std::string message, std::uint64_t retryAfterMilliseconds)
{
    inner::RefusalT refusal;
    refusal.code = std::string(code);
    refusal.message = std::move(message);
    refusal.retry_after_ms = retryAfterMilliseconds;
    inner::BodyUnion body;
    body.Set(std::move(refusal));
    return body;
}

inner::BodyUnion makeRefusal(const Error &error)
{
    const std::chrono::milliseconds retryAfter = error.retryAfter.value_or(std::chrono::milliseconds(0));
    return makeRefusal(errorCodeName(error.code), error.message, static_cast<std::uint64_t>(retryAfter.count()));
}

Error toError(const inner::RefusalT &refusal)
{
    Error error{ErrorCode::Unavailable, refusal.message, std::nullopt};
    for (int code = 0; code <= static_cast<int>(ErrorCode::Internal); ++code) {
        if (errorCodeName(static_cast<ErrorCode>(code)) == refusal.code) {
            error.code = static_cast<ErrorCode>(code);
        }
    }
    if (refusal.retry_after_ms > 0) {
        error.retryAfter = std::chrono::milliseconds(refusal.retry_after_ms);
    }
    return error;
}

std::string encodeFrame(const inner::FrameT &frame)
{
    flatbuffers::FlatBufferBuilder builder;
    inner::FinishFrameBuffer(builder, inner::Frame::Pack(builder, &frame));
    const std::array<char, FrameLengthBytes> length = writeLength(builder.GetSize());
    std::string bytes;
    bytes.reserve(length.size() + builder.GetSize());
    bytes.append(length.data(), length.size());
    bytes.append(reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize());
    return bytes;
}

Result<inner::FrameT> decodeFrame(std::string_view payload)
{
    const auto *bytes = reinterpret_cast<const std::uint8_t *>(payload.data());
    flatbuffers::Verifier verifier(bytes, payload.size(), MaxTableDepth, MaxTables);
    if (!inner::VerifyFrameBuffer(verifier)) {
        return failure(ErrorCode::InvalidArgument,
                       "the frame of " + std::to_string(payload.size()) + " bytes is malformed");
    }
    inner::FrameT frame;
    inner::GetFrame(bytes)->UnPackTo(&frame);
    if (!isKnownBody(frame.body)) {
        frame.body = inner::BodyUnion();
    }
    return frame;
}

std::optional<std::string> protocolMismatch(const inner::FrameT &frame, const PeerIdentity &reader)
{
    if (frame.oldest_protocol > reader.protocol) {
        return "the peer needs protocol " + std::to_string(frame.oldest_protocol) + " or newer, this program speaks "
            + std::to_string(reader.protocol) + "; replace this program first";
    }
    if (frame.protocol < reader.oldestProtocol) {
        return "the peer speaks protocol " + std::to_string(frame.protocol) + ", this program needs "
            + std::to_string(reader.oldestProtocol) + " or newer; replace the peer first";
    }
    return std::nullopt;
}

FrameSplitter::FrameSplitter(std::size_t maxFrameBytes)
    : m_maxFrameBytes(maxFrameBytes)
{ }

void FrameSplitter::feed(std::string_view bytes)
{
    if (m_read > 0) {
        m_buffer.erase(0, m_read);
        m_read = 0;
    }
    m_buffer.append(bytes);
}

Result<std::optional<std::string>> FrameSplitter::next()
{
    const std::string_view rest = std::string_view(m_buffer).substr(m_read);
    if (rest.size() < FrameLengthBytes) {
        return std::nullopt;
    }
    const std::size_t length = readLength(rest);
    if (length == 0 || length > m_maxFrameBytes) {
        return failure(ErrorCode::InvalidArgument,
                       "a frame of " + std::to_string(length) + " bytes is outside 1 to "
                           + std::to_string(m_maxFrameBytes));
    }
    if (rest.size() < FrameLengthBytes + length) {
        return std::nullopt;
    }
    m_read += FrameLengthBytes + length;
    return std::string(rest.substr(FrameLengthBytes, length));
}

} // namespace bergamot
