#include "bergamot/samples/cursor.h"

#include "bergamot/base/hash.h"

#include <bit>

#include <cpprest/asyncrt_utils.h>

namespace bergamot
{

namespace
{

constexpr std::uint8_t FormatVersion = 1;
constexpr std::uint32_t BitsPerByte = 8;
constexpr std::size_t MaxTextBytes = 64U << 10U;

void appendNumber(std::vector<unsigned char> &bytes, std::uint64_t number, std::size_t width)
{
    for (std::size_t i = 0; i < width; ++i) {
        bytes.push_back(static_cast<unsigned char>(number >> (BitsPerByte * i)));
    }
}

std::uint64_t checksum(const std::vector<unsigned char> &bytes, std::size_t size)
{
    return stableHash(std::string_view(reinterpret_cast<const char *>(bytes.data()), size), FormatVersion);
}

/// Reads little-endian numbers. A read past the end returns zeros and sets `overrun`.
class ByteReader
{
public:
    explicit ByteReader(const std::vector<unsigned char> &bytes)
        : m_bytes(bytes)
    { }

    std::uint64_t number(std::size_t width)
    {
        std::uint64_t number = 0;
        for (std::size_t i = 0; i < width; ++i) {
            number |= static_cast<std::uint64_t>(next()) << (BitsPerByte * i);
        }
        return number;
    }

    std::string text(std::size_t size)
    {
        std::string text;
        for (std::size_t i = 0; i < size && !m_overrun; ++i) {
            text.push_back(static_cast<char>(next()));
        }
        return text;
    }

    bool overrun() const
    {
        return m_overrun;
    }

    std::size_t position() const
    {
        return m_position;
    }

private:
    unsigned char next()
    {
        if (m_position >= m_bytes.size()) {
            m_overrun = true;
            return 0;
        }
        return m_bytes[m_position++];
    }

    const std::vector<unsigned char> &m_bytes;
    std::size_t m_position = 0;
    bool m_overrun = false;
};

Result<std::vector<unsigned char>> fromBase64(std::string_view text)
{
    try {
        return utility::conversions::from_base64(std::string(text));
    } catch (const std::exception &) {
        return failure(ErrorCode::InvalidArgument, "the text is not valid base64");
    }
}

} // namespace

Cursor::Cursor(StepKey step, std::uint64_t stepDigest, std::uint32_t sampleCount)
    : m_step(std::move(step))
    , m_stepDigest(stepDigest)
    , m_sampleCount(sampleCount)
    , m_bits((sampleCount + BitsPerByte - 1) / BitsPerByte)
{ }

bool Cursor::has(std::uint32_t offset) const
{
    return offset < m_sampleCount && ((m_bits[offset / BitsPerByte] >> (offset % BitsPerByte)) & 1U) != 0;
}

void Cursor::mark(std::uint32_t offset)
{
    if (offset < m_sampleCount) {
        m_bits[offset / BitsPerByte] |= static_cast<std::uint8_t>(1U << (offset % BitsPerByte));
    }
}

std::uint32_t Cursor::count() const
{
    std::uint32_t marked = 0;
    for (const std::uint8_t byte : m_bits) {
        marked += static_cast<std::uint32_t>(std::popcount(byte));
    }
    return marked;
}

std::string encodeCursor(const Cursor &cursor)
{
    std::vector<unsigned char> bytes;
    appendNumber(bytes, FormatVersion, 1);
    const std::string &trainer = cursor.m_step.trainer.value();
    appendNumber(bytes, trainer.size(), 2);
    bytes.insert(bytes.end(), trainer.begin(), trainer.end());
    appendNumber(bytes, cursor.m_step.step, sizeof(std::uint64_t));
    appendNumber(bytes, cursor.m_stepDigest, sizeof(std::uint64_t));
    appendNumber(bytes, cursor.m_sampleCount, sizeof(std::uint32_t));
    bytes.insert(bytes.end(), cursor.m_bits.begin(), cursor.m_bits.end());
    appendNumber(bytes, checksum(bytes, bytes.size()), sizeof(std::uint64_t));
    return utility::conversions::to_base64(bytes);
}

Result<Cursor> decodeCursor(std::string_view text)
{
    const auto malformed =
        failure(ErrorCode::InvalidArgument,
                "cursor is malformed; send back the cursor of the last draw unchanged, or \"\" for none");
    if (text.size() > MaxTextBytes) {
        return malformed;
    }
    const Result<std::vector<unsigned char>> bytes = fromBase64(text);
    if (!bytes) {
        return malformed;
    }
    ByteReader reader(*bytes);
    const bool known = reader.number(1) == FormatVersion;
    StepKey step;
    step.trainer = TrainerId(reader.text(reader.number(2)));
    step.step = reader.number(sizeof(std::uint64_t));
    const std::uint64_t digest = reader.number(sizeof(std::uint64_t));
    const auto sampleCount = static_cast<std::uint32_t>(reader.number(sizeof(std::uint32_t)));
    const std::size_t bitBytes = (std::size_t{sampleCount} + BitsPerByte - 1) / BitsPerByte;
    if (!known || reader.overrun() || reader.position() + bitBytes + sizeof(std::uint64_t) != bytes->size()) {
        return malformed;
    }
    Cursor cursor(std::move(step), digest, sampleCount);
    for (std::uint8_t &byte : cursor.m_bits) {
        byte = static_cast<std::uint8_t>(reader.number(1));
    }
    if (reader.number(sizeof(std::uint64_t)) != checksum(*bytes, bytes->size() - sizeof(std::uint64_t))) {
        return malformed;
    }
    return cursor;
}

} // namespace bergamot
