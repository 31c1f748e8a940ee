#include "bergamot/journal/checkpoint.h"

#include "bergamot/base/hash.h"
#include "bergamot/base/json.h"

namespace bergamot
{

namespace
{

std::string checkpointHash(const StreamCheckpoint &checkpoint)
{
    return sha256Hex(std::to_string(checkpoint.offset) + "\n" + checkpoint.state);
}

/// Returns true for UTF-8 continuation bytes, which are all bytes of a character but its first.
bool continuesCharacter(char byte)
{
    constexpr unsigned TopTwoBits = 0xC0;
    constexpr unsigned Continuation = 0x80;
    return (static_cast<unsigned char>(byte) & TopTwoBits) == Continuation;
}

/// Returns the end of the first piece of `text`, which must be longer than `bytes`.
std::size_t pieceEnd(std::string_view text, std::size_t bytes)
{
    std::size_t end = bytes;
    while (end > 0 && continuesCharacter(text[end])) {
        --end;
    }
    if (end > 0) {
        return end;
    }
    end = bytes;
    while (end < text.size() && continuesCharacter(text[end])) {
        ++end;
    }
    return end;
}

/// Splits `text` into pieces of at most `bytes`, or of one character if that character is longer.
std::vector<std::string_view> splitState(std::string_view text, std::size_t bytes)
{
    std::vector<std::string_view> pieces;
    while (text.size() > bytes) {
        const std::size_t end = pieceEnd(text, bytes);
        pieces.push_back(text.substr(0, end));
        text.remove_prefix(end);
    }
    if (!text.empty()) {
        pieces.push_back(text);
    }
    return pieces;
}

} // namespace

std::vector<std::string> checkpointPayloads(const StreamCheckpoint &checkpoint, std::size_t partBytes)
{
    const std::string hash = checkpointHash(checkpoint);
    const std::vector<std::string_view> pieces = splitState(checkpoint.state, partBytes);
    std::vector<std::string> payloads;
    payloads.reserve(pieces.size());
    for (const std::string_view piece : pieces) {
        web::json::value json = web::json::value::object();
        json["state"] = web::json::value(std::string(piece));
        json["offset"] = web::json::value::number(checkpoint.offset);
        json["hash"] = web::json::value(hash);
        if (pieces.size() > 1) {
            json["part"] = web::json::value::number(static_cast<std::uint64_t>(payloads.size()));
            json["parts"] = web::json::value::number(static_cast<std::uint64_t>(pieces.size()));
        }
        payloads.push_back(json.serialize());
    }
    return payloads;
}

Result<CheckpointPart> parseCheckpointPart(const std::string &payload)
{
    const Result<web::json::value> json = parseJson(payload);
    if (!json) {
        return tl::unexpected(json.error());
    }
    FieldReader reader(*json, "checkpoint");
    CheckpointPart part;
    part.state = reader.requiredString("state");
    part.offset = reader.requiredUnsigned("offset");
    part.hash = reader.requiredString("hash");
    part.part = reader.optionalUnsigned("part", 0);
    part.parts = reader.optionalUnsigned("parts", 1);
    if (part.part >= part.parts) {
        reader.reject("part", "must be less than parts");
    }
    if (Result<void> read = reader.finish(); !read) {
        return tl::unexpected(read.error());
    }
    return part;
}

bool isIntact(const StreamCheckpoint &checkpoint, const std::string &hash)
{
    return checkpointHash(checkpoint) == hash;
}

std::optional<StreamCheckpoint> CheckpointAssembler::add(CheckpointPart part)
{
    const Key key{part.offset, part.hash, part.parts};
    std::map<std::uint64_t, std::string> &received = m_incomplete[key];
    received.emplace(part.part, std::move(part.state));
    if (received.size() < key.parts) {
        if (m_incomplete.size() > MaxIncomplete) {
            m_incomplete.erase(m_incomplete.begin());
        }
        return std::nullopt;
    }
    StreamCheckpoint assembled{key.offset, {}};
    for (const auto &[index, state] : received) {
        assembled.state += state;
    }
    m_incomplete.erase(key);
    return assembled;
}

} // namespace bergamot
