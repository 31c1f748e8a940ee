#pragma once

// Records which samples of a step a trainer has received: one bit per sample, with the step's key and digest, encoded
// as an opaque string with a checksum. The trainer sends it with its next draw, and the instance that owns the trainer
// at that time continues from it, so that the service does not have to store it.
//
//     Result<Cursor> cursor = decodeCursor(text);
//     cursor->mark(17);
//     const std::string next = encodeCursor(*cursor);

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "bergamot/base/error.h"
#include "bergamot/samples/sample_id.h"

namespace bergamot
{

class Cursor
{
public:
    Cursor() = default;
    /// Creates a cursor that marks no sample of a step with `sampleCount` samples and digest `stepDigest`.
    Cursor(StepKey step, std::uint64_t stepDigest, std::uint32_t sampleCount);

    const StepKey &step() const
    {
        return m_step;
    }

    std::uint64_t stepDigest() const
    {
        return m_stepDigest;
    }

    std::uint32_t sampleCount() const
    {
        return m_sampleCount;
    }

    bool has(std::uint32_t offset) const;
    void mark(std::uint32_t offset);
    /// Number of marked samples.
    std::uint32_t count() const;

    bool isComplete() const
    {
        return count() == m_sampleCount;
    }

    bool operator==(const Cursor &) const = default;

private:
    friend std::string encodeCursor(const Cursor &cursor);
    friend Result<Cursor> decodeCursor(std::string_view text);

    StepKey m_step;
    std::uint64_t m_stepDigest = 0;
    std::uint32_t m_sampleCount = 0;
    std::vector<std::uint8_t> m_bits;
};

std::string encodeCursor(const Cursor &cursor);

/// Returns `InvalidArgument` if `text` was not made by `encodeCursor`.
Result<Cursor> decodeCursor(std::string_view text);

} // namespace bergamot
