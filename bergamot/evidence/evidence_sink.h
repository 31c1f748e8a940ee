#pragma once

// Where every part of the system leaves its evidence: one record for each decision that an auditor may ask about.
// Parts depend on this interface alone; `EvidenceChain` is the implementation that reaches the log.
//
//     sink.record("order-sent", fields);

#include <cstdint>
#include <string>

#include <cpprest/json.h>

namespace bergamot
{

/// Names one record of one process's chain.
struct EvidencePosition
{
    std::string instance;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;

    bool operator==(const EvidencePosition &) const = default;
};

/// Thread-confined.
class EvidenceSink
{
public:
    virtual ~EvidenceSink() = default;

    /// Adds a record of `kind` (a reason code such as "sample-handed-over"). `fields` is a JSON object; the names
    /// "sequence", "kind" and "at_ms" belong to the sink.
    virtual void record(std::string kind, web::json::value fields) = 0;

    /// The position that the next record will get.
    virtual EvidencePosition nextPosition() const
    {
        return {};
    }
};

} // namespace bergamot
