#pragma once

// The receipt that goes with each sample: a digest that binds the sample's identity, text and version labels to one
// evidence record. A trainer that keeps receipts can prove later that a record was removed or rewritten.
//
//     const std::string receipt = toText(makeReceipt(identity, text, spans, sink.nextPosition()));
//     Result<SampleReceipt> read = parseReceipt(receipt);

#include <string>
#include <string_view>
#include <vector>

#include "bergamot/base/error.h"
#include "bergamot/evidence/evidence_sink.h"
#include "bergamot/platform/engine.h"

namespace bergamot
{

struct SampleReceipt
{
    EvidencePosition position; // of the record that tells of the hand-over
    std::string digest; // over identity, text digest, spans and position

    bool operator==(const SampleReceipt &) const = default;
};

/// The text form of version labels: "4:120,5:8" is 120 tokens of version 4, then 8 of version 5.
std::string spansText(const std::vector<TokenSpan> &spans);

/// `identity` is the text form of the sample's identity; `textDigest` is `sha256Hex` of its text.
SampleReceipt makeReceipt(std::string_view identity,
                          std::string_view textDigest,
                          std::string_view spans,
                          const EvidencePosition &position);

/// "instance/incarnation/sequence/digest".
std::string toText(const SampleReceipt &receipt);

/// The inverse of `toText`; `InvalidArgument` otherwise.
Result<SampleReceipt> parseReceipt(std::string_view text);

} // namespace bergamot
