#include "bergamot/standins/generated_text.h"

#include <charconv>
#include <cstdio>

#include "bergamot/base/hash.h"

namespace bergamot
{

namespace
{

constexpr std::string_view HandlePrefix = "kv:";

std::string promptDigest(std::string_view prompt)
{
    std::array<char, 9> digits{};
    const auto low = static_cast<std::uint32_t>(stableHash(prompt));
    std::snprintf(digits.data(), digits.size(), "%08x", low);
    return digits.data();
}

/// Reads a number at the start of `text`, followed by `end`, and drops both; false if they are not there.
template<typename Number>
bool readNumber(std::string_view &text, char end, Number &number)
{
    const auto [next, status] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (status != std::errc() || next == text.data() + text.size() || *next != end) {
        return false;
    }
    text.remove_prefix(static_cast<std::size_t>(next - text.data()) + 1);
    return true;
}

} // namespace

std::string generatedToken(std::string_view prompt, WeightVersion version)
{
    return promptDigest(prompt) + ":" + std::to_string(version) + " ";
}

std::string generatedText(std::string_view prompt, const std::vector<TokenSpan> &spans)
{
    std::string text;
    for (const TokenSpan &span : spans) {
        const std::string token = generatedToken(prompt, span.version);
        for (std::uint32_t i = 0; i < span.tokenCount; ++i) {
            text += token;
        }
    }
    return text;
}

void appendToken(Generation &generation, std::string_view prompt, WeightVersion version)
{
    generation.text += generatedToken(prompt, version);
    if (generation.spans.empty() || generation.spans.back().version != version) {
        generation.spans.push_back({version, 0});
    }
    ++generation.spans.back().tokenCount;
}

std::uint32_t tokenCount(const Generation &generation)
{
    std::uint32_t count = 0;
    for (const TokenSpan &span : generation.spans) {
        count += span.tokenCount;
    }
    return count;
}

std::string cacheHandle(std::string_view prompt, const std::vector<TokenSpan> &spans)
{
    std::string handle = std::string(HandlePrefix) + promptDigest(prompt) + ":";
    for (const TokenSpan &span : spans) {
        handle += std::to_string(span.version) + "x" + std::to_string(span.tokenCount) + ",";
    }
    return handle;
}

Result<std::vector<TokenSpan>> parseCacheHandle(std::string_view handle, std::string_view prompt)
{
    const std::string malformed = "resume_from is no handle of an export; leave it out to start afresh";
    if (!handle.starts_with(HandlePrefix)) {
        return failure(ErrorCode::InvalidArgument, malformed);
    }
    handle.remove_prefix(HandlePrefix.size());
    const std::string digest = promptDigest(prompt) + ":";
    if (!handle.starts_with(digest)) {
        return failure(ErrorCode::Conflict, "resume_from belongs to another prompt");
    }
    handle.remove_prefix(digest.size());
    std::vector<TokenSpan> spans;
    while (!handle.empty()) {
        TokenSpan span;
        if (!readNumber(handle, 'x', span.version) || !readNumber(handle, ',', span.tokenCount)) {
            return failure(ErrorCode::InvalidArgument, malformed);
        }
        spans.push_back(span);
    }
    return spans;
}

} // namespace bergamot
