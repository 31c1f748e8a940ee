#pragma once

// Frames of the inner protocol: a 4-byte little-endian length, then one FlatBuffers `Frame`. Every buffer is verified
// before a field is read. Used by the peer server and client; other code handles `inner::FrameT` values.
//
//     inner::BodyUnion body;
//     body.Set(inner::DigestT {});
//     const std::string bytes = encodeFrame(makeFrame({"i1", "east"}, 7, std::move(body)));
//     FrameSplitter splitter;
//     splitter.feed(bytes);
//     Result<std::optional<std::string>> payload = splitter.next();
//     Result<inner::FrameT> frame = decodeFrame(**payload);

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

#include "bergamot/base/error.h"
#include "bergamot/protocol/generated/inner_generated.h"

namespace bergamot
{

inline constexpr std::uint32_t NewestProtocol = 1;
inline constexpr std::uint32_t OldestProtocol = 1;
inline constexpr std::uint64_t NeverWholeAge = std::numeric_limits<std::uint64_t>::max(); // in a ViewReply
inline constexpr std::size_t FrameLengthBytes = 4;
inline constexpr std::size_t MaxFrameBytes = 16U << 20U;

/// Who sends a frame, and which versions of the protocol it reads.
struct PeerIdentity
{
    std::string sender;
    std::string domain;
    std::uint32_t protocol = NewestProtocol;
    std::uint32_t oldestProtocol = OldestProtocol;
};

/// Traffic of one server or client since its start.
struct Traffic
{
    std::uint64_t bytesReceived = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t framesReceived = 0;
    std::uint64_t framesSent = 0;
};

inner::FrameT makeFrame(const PeerIdentity &from, std::uint64_t correlation, inner::BodyUnion body);

/// A body that refuses a request; `code` is the name of an `ErrorCode` or one of the codes below.
inner::BodyUnion makeRefusal(std::string_view code, std::string message, std::uint64_t retryAfterMilliseconds = 0);
inner::BodyUnion makeRefusal(const Error &error);

inline constexpr std::string_view ProtocolRefusal = "protocol-version";
inline constexpr std::string_view UnknownBodyRefusal = "unknown-body";

/// The error that a refusal stands for; `Unavailable` if its code is not one of `ErrorCode`.
Error toError(const inner::RefusalT &refusal);

/// The whole frame, length first.
std::string encodeFrame(const inner::FrameT &frame);

/// Reads a frame without its length. `InvalidArgument` if it does not verify. A body of a type that this program does
/// not know becomes `Body::NONE`, so that the sender can be told so.
Result<inner::FrameT> decodeFrame(std::string_view payload);

/// Why a frame cannot be understood by `reader`, or nothing.
std::optional<std::string> protocolMismatch(const inner::FrameT &frame, const PeerIdentity &reader);

/// Cuts a byte stream into frames. Not thread-safe.
class FrameSplitter
{
public:
    explicit FrameSplitter(std::size_t maxFrameBytes = MaxFrameBytes);

    void feed(std::string_view bytes);
    /// The next whole frame without its length, or nothing yet. `InvalidArgument` once a length is out of bounds; the
    /// stream is then useless.
    Result<std::optional<std::string>> next();

private:
    std::size_t m_maxFrameBytes;
    std::string m_buffer;
    std::size_t m_read = 0;
};

} // namespace bergamot
