#include "bergamot/evidence/sample_receipt.h"

#include "bergamot/base/hash.h"

#include <charconv>

namespace bergamot
{

namespace
{

constexpr std::size_t DigestLength = 64;

std::string positionText(const EvidencePosition &position)
{
    return position.instance + "/" + std::to_string(position.incarnation) + "/" + std::to_string(position.sequence);
}

bool readNumber(std::string_view text, std::uint64_t &number)
{
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), number);
    return !text.empty() && status == std::errc() && end == text.data() + text.size();
}

/// Cuts the part after the last '/' off `text`.
std::optional<std::string_view> cutLast(std::string_view &text)
{
    const std::size_t slash = text.rfind('/');
    if (slash == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view last = text.substr(slash + 1);
    text = text.substr(0, slash);
    return last;
}

} // namespace

std::string spansText(const std::vector<TokenSpan> &spans)
{
    std::string text;
    for (const TokenSpan &span : spans) {
        text += (text.empty() ? "" : ",") + std::to_string(span.version) + ":" + std::to_string(span.tokenCount);
    }
    return text;
}

SampleReceipt makeReceipt(std::string_view identity,
                          std::string_view textDigest,
                          std::string_view spans,
                          const EvidencePosition &position)
{
    std::string bound(identity);
    bound += '\n';
    bound += textDigest;
    bound += '\n';
    bound += spans;
    bound += '\n';
    bound += positionText(position);
    return {.position = position, .digest = sha256Hex(bound)};
}

std::string toText(const SampleReceipt &receipt)
{
    return positionText(receipt.position) + "/" + receipt.digest;
}

Result<SampleReceipt> parseReceipt(std::string_view text)
{
    const auto malformed =
        failure(ErrorCode::InvalidArgument,
                "'" + std::string(text) + "' is not a receipt; expected instance/incarnation/sequence/digest");
    std::string_view rest = text;
    const std::optional<std::string_view> digest = cutLast(rest);
    const std::optional<std::string_view> sequence = cutLast(rest);
    const std::optional<std::string_view> incarnation = cutLast(rest);
    if (!digest || !sequence || !incarnation || digest->size() != DigestLength || rest.empty()) {
        return malformed;
    }
    SampleReceipt receipt;
    receipt.position.instance = std::string(rest);
    receipt.digest = std::string(*digest);
    if (!readNumber(*incarnation, receipt.position.incarnation) || !readNumber(*sequence, receipt.position.sequence)) {
        return malformed;
    }
    return receipt;
}

} // namespace bergamot
