#include "bergamot/samples/labels.h"

namespace bergamot
{

Result<void> checkLabels(const Generation &generation, std::uint32_t maxTokens)
{
    std::uint64_t tokens = 0;
    for (const TokenSpan &span : generation.spans) {
        if (span.version == 0) {
            return failure(ErrorCode::InvalidArgument, "a span names no version");
        }
        if (span.tokenCount == 0) {
            return failure(ErrorCode::InvalidArgument, "a span is empty");
        }
        tokens += span.tokenCount;
    }
    if (generation.finish != "stop" && generation.finish != "length") {
        return failure(ErrorCode::InvalidArgument, "the generation ended as '" + generation.finish + "'");
    }
    // A token has at least one byte, so spans with more tokens than the text has bytes belong to another text.
    if (tokens == 0 || tokens > generation.text.size()) {
        return failure(ErrorCode::InvalidArgument, "the spans do not cover the text");
    }
    const bool tooShort = generation.finish == "length" && tokens < maxTokens;
    if (tokens > maxTokens || tooShort) {
        return failure(ErrorCode::InvalidArgument, "the spans do not cover the tokens");
    }
    return {};
}

} // namespace bergamot
